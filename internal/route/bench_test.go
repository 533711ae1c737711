// Matching by the number of routes.
package route_test

import (
	"fmt"
	"testing"
	"time"

	"fordseam/internal/route"
)

func tableOf(routes, hosts int) *route.Table {
	t := &route.Table{Version: 1, Services: map[string]*route.Service{"s": {Name: "s"}}}
	for place := range routes {
		t.Routes = append(t.Routes, route.Route{Name: fmt.Sprint("r", place), Host: fmt.Sprintf("host-%d.example", place%hosts), Prefix: fmt.Sprintf("/v1/part-%d/", place),
			Timeout: time.Second, LatencyTarget: time.Second, Shares: []route.Share{{Service: "s", Weight: 1}}})
	}
	return t
}

func BenchmarkMatch(b *testing.B) {
	for _, hosts := range []int{1, 100} {
		for _, routes := range []int{100, 300, 1000} {
			b.Run(fmt.Sprintf("%d routes of %d hosts", routes, hosts), func(b *testing.B) {
				t := tableOf(routes, hosts)
				if err := t.BuildIndex(); err != nil {
					b.Fatal(err)
				}
				b.ReportAllocs()
				for b.Loop() {
					if t.Match("host-0.example", "/v1/part-0/turns?x=1") == nil {
						b.Fatal("no route")
					}
				}
			})
		}
	}
}

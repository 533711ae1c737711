package route_test

import (
	"fmt"
	"testing"
	"time"

	"fordseam/internal/route"
)

// newTable returns a table of routes spread over hosts.
func newTable(routes, hosts int) *route.Table {
	table := &route.Table{Version: 1, Services: map[string]*route.Service{"s": {Name: "s"}}}
	for i := range routes {
		table.Routes = append(table.Routes, route.Route{Name: fmt.Sprint("r", i), Host: fmt.Sprintf("host-%d.example", i%hosts), Prefix: fmt.Sprintf("/v1/part-%d/", i),
			Timeout: time.Second, LatencyTarget: time.Second, Shares: []route.Share{{Service: "s", Weight: 1}}})
	}
	return table
}

// BenchmarkMatch measures matching by the number of routes, with all routes on one host
// and spread over 100 hosts.
func BenchmarkMatch(b *testing.B) {
	for _, hosts := range []int{1, 100} {
		for _, routes := range []int{100, 300, 1000} {
			b.Run(fmt.Sprintf("%d routes of %d hosts", routes, hosts), func(b *testing.B) {
				t := newTable(routes, hosts)
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

// A request goes to the longest prefix of its host that begins its path.
package route_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"fordseam/internal/route"

	"github.com/matryer/is"
)

func TestTheLongestPrefixMatches(t *testing.T) {
	is := is.New(t)
	chance := rand.New(rand.NewPCG(1, 2))
	part := func() string { return []string{"a", "b", "a-b", ""}[chance.IntN(4)] }
	for range 200 {
		table := &route.Table{Version: 1, Services: map[string]*route.Service{"s": {Name: "s"}}}
		seen := map[string]bool{}
		for range 12 {
			prefix := "/"
			for range chance.IntN(4) {
				prefix += part() + "/"
			}
			host := fmt.Sprint("h", chance.IntN(2))
			if seen[host+prefix] {
				continue
			}
			seen[host+prefix] = true
			table.Routes = append(table.Routes, route.Route{Host: host, Prefix: prefix, Timeout: time.Second, Shares: []route.Share{{Service: "s", Weight: 1}}})
		}
		is.NoErr(table.BuildIndex())
		for range 40 {
			path := ""
			for range chance.IntN(5) {
				path += "/" + part()
			}
			var want *route.Route
			for place := range table.Routes {
				r := &table.Routes[place]
				if r.Host == "h0" && strings.HasPrefix(path, r.Prefix) && (want == nil || len(r.Prefix) > len(want.Prefix)) {
					want = r
				}
			}
			is.Equal(table.Match("H0:80", path+"?q=/a/b/"), want)
		}
	}
}

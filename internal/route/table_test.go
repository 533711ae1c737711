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

// TestLongestPrefixMatches compares Match with a search through all routes, on random
// tables and paths.
func TestLongestPrefixMatches(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	segment := func() string { return []string{"a", "b", "a-b", ""}[rng.IntN(4)] }
	for range 200 {
		table := &route.Table{Version: 1, Services: map[string]*route.Service{"s": {Name: "s"}}}
		seen := map[string]bool{}
		for range 12 {
			prefix := "/"
			for range rng.IntN(4) {
				prefix += segment() + "/"
			}
			host := fmt.Sprint("h", rng.IntN(2))
			if seen[host+prefix] {
				continue
			}
			seen[host+prefix] = true
			table.Routes = append(table.Routes, route.Route{Host: host, Prefix: prefix, Timeout: time.Second, Shares: []route.Share{{Service: "s", Weight: 1}}})
		}
		is.NoErr(table.BuildIndex())
		for range 40 {
			path := ""
			for range rng.IntN(5) {
				path += "/" + segment()
			}
			var want *route.Route
			for i := range table.Routes {
				r := &table.Routes[i]
				if r.Host == "h0" && strings.HasPrefix(path, r.Prefix) && (want == nil || len(r.Prefix) > len(want.Prefix)) {
					want = r
				}
			}
			is.Equal(table.Match("H0:80", path+"?q=/a/b/"), want)
		}
	}
}

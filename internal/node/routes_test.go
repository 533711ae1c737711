package node

import (
	"testing"

	"fordseam/internal/base"
	"fordseam/internal/relay"
	"fordseam/internal/route"

	"github.com/matryer/is"
)

// TestUnroutedRequestIsRejectedAsNotRun checks that a request without a
// configuration, or without a matching route, is reported as not executed.
func TestUnroutedRequestIsRejectedAsNotRun(t *testing.T) {
	is := is.New(t)
	clock := base.NewRealClock()
	g := &Gateway{common: &common{env: Env{Clock: clock}, bounds: newBounds(Config{})}, Routes: &base.AtomicPointer[route.Table]{}, routesChanged: base.NewNotifier(clock)}
	_, err := g.Handle(&relay.Call{ID: "x", Host: "a.example", Target: "/a"})
	is.Equal(base.ToRequestError(err).Status, 503) // no configuration is in force: another node may have one
	is.Equal(base.ToRequestError(err).Execution, base.NotRun)
	table := &route.Table{Version: 1, Services: map[string]*route.Service{}}
	is.NoErr(table.BuildIndex())
	g.Routes.Store(table)
	_, err = g.Handle(&relay.Call{ID: "x", Host: "a.example", Target: "/a"})
	is.Equal(base.ToRequestError(err).Status, 404)
	is.Equal(base.ToRequestError(err).Execution, base.NotRun)
}

// TestConnectionSharesStayWithinTheWorkerLimit checks that the shares of all gateways
// never exceed what the worker accepts, unless each has only one connection.
func TestConnectionSharesStayWithinTheWorkerLimit(t *testing.T) {
	is := is.New(t)
	for maxConns := 1; maxConns <= 600; maxConns++ {
		for _, gateways := range []int{1, 2, 3, 6, 9, 64, 400} {
			share := connectionShare(maxConns, gateways)
			is.True(share >= 1)
			is.True(share == 1 || share*gateways <= maxConns)
		}
	}
	is.Equal(connectionShare(6, 3), 2)
	is.Equal(connectionShare(480, 6), 60)
	is.Equal(connectionShare(440, 64), 6)
}

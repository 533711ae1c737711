package relay_test

import (
	"fmt"
	"testing"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/route"

	"github.com/matryer/is"
)

// Guards against a data race that a soak found: a worker was listed with another capacity or
// as draining while a request was being sent to it.
func TestListChangesWhileRequestsAreSent(t *testing.T) {
	is := is.New(t)
	f := &fleet{workers: map[string]*fakeWorker{}, clock: base.NewRealClock()}
	for i := range 3 {
		f.addWorker(fmt.Sprint("w", i), "z1", 4)
	}
	r := f.relay("z1")
	r.Backends = instantBackends{}
	const requests = 1000
	errs := make(chan error, 1)
	go func() {
		defer close(errs)
		for range requests {
			reply, err := r.Dispatch(base.NewCtx(f.clock, time.Minute), newRoute(route.KindIdempotent, 2), plainService, newCall(), nil)
			if err == nil {
				reply.Close()
			}
			errs <- err
		}
	}()
	for change := 0; ; change++ {
		list := f.list()
		list[0].Capacity = 4 + change%2
		list[1].Draining = change%3 == 0
		r.SetWorkers(list)
		err, sending := <-errs
		if !sending {
			return
		}
		is.NoErr(err)
	}
}

package node

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"fordseam/internal/base"
	"fordseam/internal/front"
	"fordseam/internal/memory"

	"github.com/matryer/is"
)

// The public server refuses a body for which there is no memory as not run, and goes on serving.
func TestPublicServerRefusesBodiesWithoutMemory(t *testing.T) {
	is := is.New(t)
	clock, counters := base.NewRealClock(), base.NewCounters()
	env := Env{Clock: clock, Counters: counters, Memory: memory.NewBudget(clock, counters, machineBytes)}
	server := NewPublicServer(env, 0, func() error { return nil }, func(_ *base.Ctx, r *front.Request) *front.Response {
		return &front.Response{Status: 200, Body: r.Body}
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = server.Serve(listener) }()
	defer listener.Close()
	post := func(size int) (int, string) {
		response, err := http.Post("http://"+listener.Addr().String()+"/x", "text/plain", bytes.NewReader(make([]byte, size)))
		is.NoErr(err)
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		return response.StatusCode, string(body)
	}
	status, body := post(2 << 20)
	is.Equal(status, 200)
	is.Equal(len(body), 2<<20)
	for env.Memory.NewLease().Grow(memory.SmallBytes+1) == nil {
	}
	status, body = post(100 << 10)
	is.Equal(status, 503)
	is.True(strings.Contains(body, "memory_short"))
	is.True(strings.Contains(body, "not_run"))
	status, _ = post(1000)
	is.Equal(status, 200)
}

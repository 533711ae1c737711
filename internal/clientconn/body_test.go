package clientconn

import (
	"io"
	"testing"

	"fordseam/internal/base"
	"fordseam/internal/memory"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// TestBodyCountsUntilItIsSent guards against bodies of responses that are held beside the budget.
func TestBodyCountsUntilItIsSent(t *testing.T) {
	for _, size := range []int{0, smallBodyBytes, smallBodyBytes + 1, 1 << 20} {
		is := is.New(t)
		budget := memory.NewBudget(base.NewRealClock(), base.NewCounters(), 100<<20)
		lease := budget.NewAnswerLease()
		is.NoErr(lease.Grow(size))
		r := &fasthttp.RequestCtx{}
		SetBody(r, make([]byte, size), lease)
		is.Equal(budget.Used() > 0, size > smallBodyBytes)
		is.NoErr(r.Response.BodyWriteTo(io.Discard))
		is.Equal(budget.Used(), int64(0))
	}
}

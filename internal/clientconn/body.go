package clientconn

import (
	"bytes"

	"fordseam/internal/memory"

	"github.com/valyala/fasthttp"
)

// heldBody is the body of a response that counts to the memory until the client has read it, or
// its connection has ended.
type heldBody struct {
	bytes.Reader
	lease *memory.Lease
}

// Close gives the memory back.
func (b *heldBody) Close() error {
	b.Reset(nil)
	b.lease.Close()
	return nil
}

// smallBodyBytes is the size of bodies that do not count while they are sent.
const smallBodyBytes = 16 << 10

// SetBody sets the body of a response, which the lease counts. The lease is closed once the body
// is not held any more.
func SetBody(r *fasthttp.RequestCtx, body []byte, lease *memory.Lease) {
	if len(body) <= smallBodyBytes {
		lease.Close()
		r.Response.SetBodyRaw(body)
		return
	}
	held := &heldBody{lease: lease}
	held.Reset(body)
	r.Response.SetBodyStream(held, len(body))
}

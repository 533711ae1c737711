package workerconn

import (
	"time"

	"fordseam/internal/base"
)

// Client sends requests to workers. A request that names a worker incarnation
// uses the pooled connections of that incarnation. Any other request gets a
// connection of its own, which is closed after it.
type Client struct{ pool *pool }

var _ base.BackendClient = (*Client)(nil)

// New returns a client that counts its connections in counters. All other
// timeouts of a connection are derived from dialTimeout.
func New(dialTimeout time.Duration, counters *base.Counters) *Client {
	return &Client{pool: newPool(dialTimeout, counters)}
}

// DropIdle closes the idle connections of a worker incarnation.
func (c *Client) DropIdle(worker string) { c.pool.forget(worker) }

// Call sends a request and returns once the head of the response was read. An
// error wraps base.NotSent only if no byte of the request was sent.
func (c *Client) Call(ctx *base.Ctx, addr string, request *base.BackendRequest) (base.BackendReply, error) {
	return c.pool.call(ctx, addr, request)
}

package workerconn

import (
	"io"
	"net"
	"sync/atomic"

	"github.com/juju/errors"
)

const (
	// freeOverheadBytes is how many bytes beside its body an answer may have in any case: heads,
	// sizes of chunks and their extensions, trailers, answers to other requests.
	freeOverheadBytes = 256 << 10
	// overheadPerBodyByte is how many more it may have for each byte of its body.
	overheadPerBodyByte = 2
)

// errOverhead means that an answer brings too little for the bytes that it takes.
var errOverhead = errors.New("the answer consists of little but framing")

// meteredConn counts what arrives on a connection for the current request. It fails reads of an
// answer that has far more framing than body, since such an answer may never end.
type meteredConn struct {
	net.Conn
	received  int
	bodyBytes int
	total     atomic.Int64 // received for all requests
}

// Read reads from the worker.
func (c *meteredConn) Read(buffer []byte) (int, error) {
	if c.received > freeOverheadBytes+(1+overheadPerBodyByte)*c.bodyBytes {
		return 0, errOverhead
	}
	n, err := c.Conn.Read(buffer)
	c.received += n
	c.total.Add(int64(n))
	return n, err
}

// begin starts the count for the next request.
func (c *meteredConn) begin() { c.received, c.bodyBytes = 0, 0 }

// meteredBody counts the bytes of a body.
type meteredBody struct {
	io.Reader
	conn *meteredConn
}

// Read reads from the body.
func (b meteredBody) Read(buffer []byte) (int, error) {
	n, err := b.Reader.Read(buffer)
	b.conn.bodyBytes += n
	return n, err
}

package workerconn

import (
	"net"
	"strconv"
	"sync"

	"fordseam/internal/base"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
)

// maxInlineBody is the longest body that is copied into the buffer of the head, so
// that both are sent in one write.
const maxInlineBody = 64 << 10

// errNotReady is returned if the connection's state does not allow a request.
var errNotReady = errors.New("the connection is not ready for a request")

// requestBuffers holds the buffers that requests are written to.
var requestBuffers = sync.Pool{New: func() any { return new([]byte) }}

// appendRequest writes the request's head, and its body if it is short, into a
// buffer. The caller returns the buffer to requestBuffers.
func appendRequest(addr string, request *base.BackendRequest) *[]byte {
	httpRequest := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(httpRequest)
	h := &httpRequest.Header
	h.DisableNormalizing()
	h.DisableSpecialHeader()
	h.SetMethod(request.Method)
	h.SetRequestURI(request.Path)
	host := request.Host
	if host == "" {
		host = addr
	}
	h.Add("Host", host)
	for _, name := range base.SortedKeys(request.Header) {
		h.Add(name, request.Header[name])
	}
	for _, line := range request.HeaderLines {
		h.Add(line.Name, line.Value)
	}
	if len(request.Body) > 0 || (request.Method != fasthttp.MethodGet && request.Method != fasthttp.MethodHead) {
		h.Add("Content-Length", strconv.Itoa(len(request.Body)))
	}
	buf := requestBuffers.Get().(*[]byte)
	*buf = h.AppendBytes((*buf)[:0])
	if len(request.Body) <= maxInlineBody {
		*buf = append(*buf, request.Body...)
	}
	return buf
}

// send writes the request and returns how many bytes may have been sent. body is
// written separately if it is too long to be part of buf.
func (c *conn) send(buf, body []byte) (int64, error) {
	c.apply(eventSend)
	if c.state != stateSending {
		return 0, errNotReady
	}
	c.metered.begin()
	sent, err := c.write(buf, body)
	if err != nil {
		c.apply(eventUnusable)
		return sent, err
	}
	c.apply(eventSent)
	return sent, nil
}

// write writes buf, and body if it is not part of buf.
func (c *conn) write(buf, body []byte) (int64, error) {
	if len(body) <= maxInlineBody {
		sent, err := c.Write(buf)
		return int64(sent), err
	}
	parts := net.Buffers{buf, body}
	return parts.WriteTo(c.Conn)
}

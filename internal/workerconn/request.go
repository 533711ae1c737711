package workerconn

import (
	"net"
	"strconv"
	"sync"

	"fordseam/internal/base"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
)

// joinLimit is the longest body that is copied behind its head, to leave in one
// write.
const joinLimit = 64 << 10

// errBusy says that the connection may not take a request now.
var errBusy = errors.New("the connection may not take a request")

// messages are buffers for requests on their way out.
var messages = sync.Pool{New: func() any { return new([]byte) }}

// appendRequest writes the head, and the body too if it is short. The buffer
// goes back to messages after use.
func appendRequest(addr string, request *base.BackRequest) *[]byte {
	head := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(head)
	h := &head.Header
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
	for _, line := range request.Lines {
		h.Add(line.Name, line.Value)
	}
	if len(request.Body) > 0 || (request.Method != fasthttp.MethodGet && request.Method != fasthttp.MethodHead) {
		h.Add("Content-Length", strconv.Itoa(len(request.Body)))
	}
	message := messages.Get().(*[]byte)
	*message = h.AppendBytes((*message)[:0])
	if len(request.Body) <= joinLimit {
		*message = append(*message, request.Body...)
	}
	return message
}

// send writes the request, and tells how many of its bytes may have left.
func (c *conn) send(message, body []byte) (int64, error) {
	c.move(eventSend)
	if c.state != stateSending {
		return 0, errBusy
	}
	sent, err := c.write(message, body)
	if err != nil {
		c.move(eventDoubt)
		return sent, err
	}
	c.move(eventSent)
	return sent, nil
}

func (c *conn) write(message, body []byte) (int64, error) {
	if len(body) <= joinLimit {
		sent, err := c.Write(message)
		return int64(sent), err
	}
	parts := net.Buffers{message, body}
	return parts.WriteTo(c.Conn)
}

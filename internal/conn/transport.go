package conn

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/tcp"

	"github.com/apex/log"
	"github.com/juju/errors"
	"github.com/panjf2000/gnet/v2"
)

// gnetLogger writes gnet's messages to the log at debug level, fatal ones at error
// level.
type gnetLogger struct{}

func (gnetLogger) Debugf(format string, args ...any) { log.Debugf(format, args...) }
func (gnetLogger) Infof(format string, args ...any)  { log.Debugf(format, args...) }
func (gnetLogger) Warnf(format string, args ...any)  { log.Debugf(format, args...) }
func (gnetLogger) Errorf(format string, args ...any) { log.Debugf(format, args...) }
func (gnetLogger) Fatalf(format string, args ...any) { log.Errorf(format, args...) }

// startLoops starts event loops without connections.
func startLoops() (*gnet.Client, error) {
	loops, err := gnet.NewClient(&eventHandler{}, gnet.WithNumEventLoop(2), gnet.WithLogger(gnetLogger{}), gnet.WithTCPNoDelay(gnet.TCPNoDelay))
	if err != nil {
		return nil, errors.Trace(err)
	}
	return loops, errors.Trace(loops.Start())
}

// enroll passes a connection to event loops, and closes it if they do not take it.
func enroll(loops *gnet.Client, netConn net.Conn) (net.Conn, error) {
	c := newEventConn(netConn.LocalAddr(), netConn.RemoteAddr())
	if _, err := loops.EnrollContext(netConn, c); err != nil {
		_ = netConn.Close()
		return nil, errors.Trace(err)
	}
	if c.raw == nil {
		return nil, net.ErrClosed
	}
	return c, nil
}

// errWrongReply means that a reply has the id of another message.
var errWrongReply = errors.New("the reply belongs to another message")

// errReplyTooLarge means that a reply was not read to its end.
var errReplyTooLarge = errors.New("the reply exceeds the size limit")

// connectTimeout bounds the time to establish a connection. A machine without power
// does not answer at all, so callers would otherwise wait for their whole deadline.
var connectTimeout = base.DefaultBounds().Recovery / 48

// Client is the HTTP client that twirp's clients use between nodes.
type Client struct {
	loops      *gnet.Client
	httpClient *http.Client
	onSend     func() // called for each message

	lastMessageID atomic.Uint64
}

// NewClient starts an event loop and returns a client. It calls onSend for each
// message.
func NewClient(onSend func()) (*Client, error) {
	loops, err := startLoops()
	if err != nil {
		return nil, err
	}
	c := &Client{loops: loops, onSend: onSend}
	transport := &http.Transport{
		DialContext:         c.dial,
		MaxIdleConnsPerHost: 32,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
	c.httpClient = &http.Client{Transport: transport}
	return c, nil
}

// dial establishes a connection. Its errors say that nothing was sent.
func (c *Client) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	tcpConn, err := tcp.NewDialer(connectTimeout).DialContext(ctx, network, addr)
	if err != nil {
		return nil, &base.NotSent{Cause: err}
	}
	conn, err := enroll(c.loops, tcpConn)
	if err != nil {
		return nil, &base.NotSent{Cause: err}
	}
	return conn, nil
}

// Do sends one message and reads the complete reply, so that the context's deadline
// covers the body as well. The reply must have the message's id: a reply left over on a
// pooled connection would otherwise be taken for the reply to the next message.
func (c *Client) Do(request *http.Request) (*http.Response, error) {
	ctx, ok := request.Context().Value(base.CtxKey).(*base.Ctx)
	timeLeft := 10 * time.Second
	if ok {
		timeLeft = ctx.Remaining()
	}
	if timeLeft <= 0 {
		return nil, &base.NotSent{Cause: context.DeadlineExceeded}
	}
	base.SetMessageHeaders(request, timeLeft)
	id := strconv.FormatUint(c.lastMessageID.Add(1), 36)
	request.Header.Set(base.MessageIDHeader, id)
	c.onSend()
	httpCtx, cancel := context.WithTimeout(request.Context(), timeLeft)
	defer cancel()
	response, err := c.httpClient.Do(request.WithContext(httpCtx))
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	// A node of an earlier version does not return the id.
	if replyID := response.Header.Get(base.MessageIDHeader); replyID != "" && replyID != id {
		c.discardConnection(response)
		return nil, errWrongReply
	}
	body, err := readReply(response)
	if err != nil {
		return nil, err
	}
	response.Body = io.NopCloser(bytes.NewReader(body))
	return response, nil
}

// readReply reads the body of a reply, into a buffer of its size where that is known.
func readReply(response *http.Response) ([]byte, error) {
	switch length := response.ContentLength; {
	case length >= maxUnreadBytes:
		return nil, errReplyTooLarge
	case length >= 0:
		body := make([]byte, length)
		_, err := io.ReadFull(response.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxUnreadBytes))
	if err == nil && len(body) == maxUnreadBytes {
		return nil, errReplyTooLarge
	}
	return body, err
}

// discardConnection closes the connection that a reply came on. If the reply has no
// body, the HTTP client may have pooled the connection already, so all idle
// connections are closed.
func (c *Client) discardConnection(response *http.Response) {
	_ = response.Body.Close() // the body is unread, so the HTTP client closes the connection
	c.httpClient.CloseIdleConnections()
}

// Close closes the idle connections and ends the event loop.
func (c *Client) Close() {
	c.httpClient.CloseIdleConnections()
	_ = c.loops.Stop()
}

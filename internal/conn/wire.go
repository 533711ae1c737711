// The real wire: a listener and a dialer made of gnet engines, and an HTTP
// client for twirp whose errors say whether a byte may have left. Replies are
// read whole inside Do, so that the time a visit has left covers them.

package conn

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"fordseam/internal/base"

	"github.com/apex/log"
	"github.com/juju/errors"
	"github.com/panjf2000/gnet/v2"
)

// quietLogger puts gnet's own words where an operator asks for them.
type quietLogger struct{}

func (quietLogger) Debugf(format string, args ...any) { log.Debugf(format, args...) }
func (quietLogger) Infof(format string, args ...any)  { log.Debugf(format, args...) }
func (quietLogger) Warnf(format string, args ...any)  { log.Debugf(format, args...) }
func (quietLogger) Errorf(format string, args ...any) { log.Debugf(format, args...) }
func (quietLogger) Fatalf(format string, args ...any) { log.Errorf(format, args...) }

type listener struct {
	engine   gnet.Engine
	addr     net.Addr
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Listen opens a gnet listener on an address given by number.
func Listen(addr string) (net.Listener, error) {
	parsed, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return nil, errors.Annotatef(err, "listen address %q", addr)
	}
	l := &listener{addr: parsed, accepted: make(chan net.Conn, 256), closed: make(chan struct{})}
	handler := &events{booted: make(chan gnet.Engine, 1)}
	handler.opened = func(c *eventConn) {
		select {
		case l.accepted <- c:
		default:
			_ = c.raw.Close()
		}
	}
	failed := make(chan error, 1)
	go func() {
		failed <- gnet.Run(handler, "tcp://"+addr, gnet.WithNumEventLoop(2), gnet.WithLogger(quietLogger{}),
			gnet.WithTCPNoDelay(gnet.TCPNoDelay), gnet.WithReuseAddr(true))
	}()
	select {
	case l.engine = <-handler.booted:
		return l, nil
	case err := <-failed:
		return nil, errors.Annotatef(err, "cannot listen on %s", addr)
	}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case accepted := <-l.accepted:
		return accepted, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		bounded, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = l.engine.Stop(bounded)
	})
	return nil
}

func (l *listener) Addr() net.Addr { return l.addr }

// errForeign says that an answer belongs to another message.
var errForeign = errors.New("the reply belongs to another message")

// errTooLong says that a reply was not read to its end.
var errTooLong = errors.New("the reply is too long")

// connectLimit bounds the making of a connection: a machine without power says
// nothing, and whoever waits for it is better told so soon.
var connectLimit = base.DefaultBounds().Recovery / 48

// Client is the HTTP client that twirp's clients use between nodes.
type Client struct {
	client *gnet.Client
	http   *http.Client
	sent   func()

	messages atomic.Uint64
}

// NewClient starts the dialing engine; sent is called for each message.
func NewClient(sent func()) (*Client, error) {
	handler := &events{booted: make(chan gnet.Engine, 1)}
	client, err := gnet.NewClient(handler, gnet.WithNumEventLoop(2), gnet.WithLogger(quietLogger{}), gnet.WithTCPNoDelay(gnet.TCPNoDelay))
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := client.Start(); err != nil {
		return nil, errors.Trace(err)
	}
	w := &Client{client: client, sent: sent}
	transport := &http.Transport{
		DialContext:         w.dial,
		MaxIdleConnsPerHost: 32,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
	w.http = &http.Client{Transport: transport}
	return w, nil
}

func (w *Client) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: connectLimit}
	plain, err := dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, &base.NotSent{Cause: err}
	}
	dialed := newEventConn(plain.LocalAddr(), plain.RemoteAddr())
	if _, err := w.client.EnrollContext(plain, dialed); err != nil {
		_ = plain.Close()
		return nil, &base.NotSent{Cause: err}
	}
	if dialed.raw == nil {
		return nil, &base.NotSent{Cause: net.ErrClosed}
	}
	return dialed, nil
}

// Do sends one message and reads its reply whole.
func (w *Client) Do(request *http.Request) (*http.Response, error) {
	ctx, ok := request.Context().Value(base.CtxKey).(*base.Ctx)
	left := 10 * time.Second
	if ok {
		left = ctx.Remaining()
	}
	if left <= 0 {
		return nil, &base.NotSent{Cause: context.DeadlineExceeded}
	}
	base.SetMessageHeaders(request, left)
	id := strconv.FormatUint(w.messages.Add(1), 36)
	request.Header.Set(base.MessageIDHeader, id)
	w.sent()
	bounded, cancel := context.WithTimeout(request.Context(), left)
	defer cancel()
	response, err := w.http.Do(request.WithContext(bounded))
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	// A node of an earlier version sends no id back.
	if got := response.Header.Get(base.MessageIDHeader); got != "" && got != id {
		w.abandon(response)
		return nil, errForeign
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, unreadLimit))
	if err != nil {
		return nil, err
	}
	if len(body) == unreadLimit {
		return nil, errTooLong
	}
	response.Body = io.NopCloser(bytes.NewReader(body))
	return response, nil
}

// abandon closes the connection that an answer came on. The HTTP client may
// have put it back already when the answer had no body, so all idle ones go.
func (w *Client) abandon(response *http.Response) {
	_ = response.Body.Close() // unread: the client closes the connection
	w.http.CloseIdleConnections()
}

// Close ends the dialing engine.
func (w *Client) Close() {
	w.http.CloseIdleConnections()
	_ = w.client.Stop()
}

// Package conn carries node-to-node traffic over gnet. gnet speaks in
// events; net/http, which twirp stands on, speaks in net.Conn and
// net.Listener. The one adapter here joins the two: bytes that arrive in an
// event go to a buffer that Read waits on, Write hands bytes to the event
// loop and waits until it took them, and deadlines wake both.
package conn

import (
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
)

const unreadLimit = 64 << 20

type flow struct {
	raw       gnet.Conn
	local     net.Addr
	remote    net.Addr
	mu        sync.Mutex
	news      *sync.Cond
	unread    []byte
	gone      bool
	readEnd   deadline
	writeEnd  deadline
	closeOnce sync.Once
}

type deadline struct {
	at    time.Time
	timer *time.Timer
}

func (d *deadline) set(at time.Time, wake func()) {
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
	d.at = at
	if !at.IsZero() {
		if left := time.Until(at); left > 0 {
			d.timer = time.AfterFunc(left, wake)
		}
	}
}

func (d *deadline) passed() bool { return !d.at.IsZero() && !time.Now().Before(d.at) }

func prepareFlow(local, remote net.Addr) *flow {
	f := &flow{local: local, remote: remote}
	f.news = sync.NewCond(&f.mu)
	return f
}

func (f *flow) wake() {
	f.mu.Lock()
	f.news.Broadcast()
	f.mu.Unlock()
}

func (f *flow) Read(into []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for {
		switch {
		case f.readEnd.passed():
			return 0, os.ErrDeadlineExceeded
		case len(f.unread) > 0:
			n := copy(into, f.unread)
			f.unread = f.unread[n:]
			return n, nil
		case f.gone:
			return 0, io.EOF
		}
		f.news.Wait()
	}
}

func (f *flow) Write(data []byte) (int, error) {
	taken, failed := false, error(nil)
	err := f.raw.AsyncWrite(append([]byte(nil), data...), func(_ gnet.Conn, err error) error {
		f.mu.Lock()
		taken, failed = true, err
		f.news.Broadcast()
		f.mu.Unlock()
		return nil
	})
	if err != nil {
		return 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for !taken {
		switch {
		case f.gone:
			return 0, net.ErrClosed
		case f.writeEnd.passed():
			return 0, os.ErrDeadlineExceeded
		}
		f.news.Wait()
	}
	if failed != nil {
		return 0, failed
	}
	return len(data), nil
}

func (f *flow) Close() error {
	f.closeOnce.Do(func() { _ = f.raw.Close() })
	f.lost()
	return nil
}

func (f *flow) lost() {
	f.mu.Lock()
	f.gone = true
	f.readEnd.set(time.Time{}, nil)
	f.writeEnd.set(time.Time{}, nil)
	f.news.Broadcast()
	f.mu.Unlock()
}

func (f *flow) LocalAddr() net.Addr  { return f.local }
func (f *flow) RemoteAddr() net.Addr { return f.remote }

func (f *flow) SetDeadline(at time.Time) error {
	_ = f.SetReadDeadline(at)
	return f.SetWriteDeadline(at)
}

func (f *flow) SetReadDeadline(at time.Time) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readEnd.set(at, f.wake)
	f.news.Broadcast()
	return nil
}

func (f *flow) SetWriteDeadline(at time.Time) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writeEnd.set(at, f.wake)
	f.news.Broadcast()
	return nil
}

func (f *flow) arrived(data []byte) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unread = append(f.unread, data...)
	f.news.Broadcast()
	return len(f.unread) <= unreadLimit
}

type events struct {
	gnet.BuiltinEventEngine
	booted chan gnet.Engine
	opened func(*flow)
}

func (e *events) OnBoot(engine gnet.Engine) gnet.Action {
	e.booted <- engine
	return gnet.None
}

func (e *events) OnOpen(raw gnet.Conn) ([]byte, gnet.Action) {
	f, ok := raw.Context().(*flow)
	if !ok {
		f = prepareFlow(raw.LocalAddr(), raw.RemoteAddr())
		raw.SetContext(f)
	}
	f.raw = raw
	if e.opened != nil {
		e.opened(f)
	}
	return nil, gnet.None
}

func (e *events) OnTraffic(raw gnet.Conn) gnet.Action {
	f, ok := raw.Context().(*flow)
	if !ok {
		return gnet.Close
	}
	data, _ := raw.Next(-1)
	if !f.arrived(data) {
		return gnet.Close
	}
	return gnet.None
}

func (e *events) OnClose(raw gnet.Conn, _ error) gnet.Action {
	if f, ok := raw.Context().(*flow); ok {
		f.lost()
	}
	return gnet.None
}

// Package sockets puts TCP round the platform's stand-ins: workers and the
// list of instances listen, clients and operators connect. A worker's side is
// written on bare connections, since its troubles are things that an HTTP
// server would not do.
package sockets

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/standin/platform"

	"github.com/juju/errors"
)

// WorkerServer is a worker with its listener and connections.
type WorkerServer struct {
	Worker *platform.Worker
	// DrawCloseAfterResponse draws whether an answer ends its connection though all is well.
	DrawCloseAfterResponse func() bool

	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
	opened   int
	forget   time.Duration
	group    sync.WaitGroup
}

// ListenWorker opens a worker at an address and serves; change sets what is
// not as usual.
func ListenWorker(worker *platform.Worker, address string, change func(s *WorkerServer)) (*WorkerServer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Annotatef(err, "worker %s", worker.ID)
	}
	worker.Address = listener.Addr().String()
	worker.Start()
	s := &WorkerServer{Worker: worker, listener: listener, conns: map[net.Conn]bool{}}
	if change != nil {
		change(s)
	}
	s.group.Add(1)
	go s.accept()
	return s, nil
}

// SetSilentDropAfter has the worker forget connections that were idle so long, without
// telling their other side: what comes on them later is reset.
func (s *WorkerServer) SetSilentDropAfter(idle time.Duration) {
	s.mu.Lock()
	s.forget = idle
	s.mu.Unlock()
}

func (s *WorkerServer) forgets(idle time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.forget > 0 && idle > s.forget
}

// OpenedConns counts the connections taken.
func (s *WorkerServer) OpenedConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opened
}

// Close ends the worker at once: a crash, or the end of its time.
func (s *WorkerServer) Close() {
	s.Worker.Stop()
	_ = s.listener.Close()
	s.mu.Lock()
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.group.Wait()
}

func (s *WorkerServer) accept() {
	defer s.group.Done()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		most := s.Worker.Spec.MaxConns
		if queued := s.Worker.Queued(); queued > s.Worker.Spec.QueueSize/2 {
			most = max(s.Worker.Spec.Capacity, most/2)
		}
		if most > 0 && len(s.conns) >= most {
			s.mu.Unlock()
			reset(conn)
			continue
		}
		s.conns[conn] = true
		s.opened++
		s.group.Add(1)
		s.mu.Unlock()
		go s.serve(conn)
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// listener of one connection: it reads ahead by one byte at most, so that the
// other side's close is noticed while a request is served.
type ahead struct {
	conn   net.Conn
	reader *bufio.Reader
	done   chan struct{}
	err    error
}

func (a *ahead) watch(gone base.Signal) {
	a.done = make(chan struct{})
	go func() {
		defer close(a.done)
		if _, a.err = a.reader.Peek(1); a.err != nil {
			gone.Fire()
		}
	}()
}

func (s *WorkerServer) serve(conn net.Conn) {
	defer s.group.Done()
	defer func() {
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
		_ = conn.Close()
	}()
	a := &ahead{conn: conn, reader: bufio.NewReaderSize(conn, 64<<10)}
	reply := &connReply{conn: conn}
	idleSince := time.Now()
	for {
		if s.Worker.KeepAlive > 0 {
			_ = conn.SetReadDeadline(time.Now().Add(s.Worker.KeepAlive))
		}
		if _, err := a.reader.Peek(1); err != nil {
			return
		}
		if reply.answers > 0 && s.forgets(time.Since(idleSince)) {
			reset(conn)
			return
		}
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		request, err := http.ReadRequest(a.reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		_ = conn.SetReadDeadline(time.Time{})
		gone := s.Worker.Clock.NewSignal()
		a.watch(gone)
		reply.start(s.DrawCloseAfterResponse != nil && s.DrawCloseAfterResponse())
		s.Worker.Serve(&platform.Request{Method: request.Method, Target: request.RequestURI, Host: request.Host, Header: request.Header.Get, Body: body, ClientClosed: gone}, reply)
		if reply.ended || request.Close || reply.closing {
			_ = conn.Close()
			<-a.done
			return
		}
		idleSince = time.Now()
		if s.Worker.KeepAlive > 0 {
			_ = conn.SetReadDeadline(time.Now().Add(s.Worker.KeepAlive))
		}
		<-a.done
		if a.err != nil {
			return
		}
	}
}

// connReply writes answers on a connection.
type connReply struct {
	conn    net.Conn
	chunked bool
	closing bool
	ended   bool
	later   []byte
	answers int
}

func (r *connReply) start(closing bool) {
	r.chunked, r.closing = false, closing
}

func (r *connReply) write(bytes []byte) error {
	_ = r.conn.SetWriteDeadline(time.Now().Add(20 * time.Second))
	_, err := r.conn.Write(bytes)
	return err
}

func (r *connReply) WriteHeader(status int, header [][2]string, length int) error {
	var b strings.Builder
	if len(r.later) > 0 {
		b.Write(r.later)
		r.later = nil
	}
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for _, line := range header {
		if line[0] == "Connection" {
			r.closing = true
			continue
		}
		fmt.Fprintf(&b, "%s: %s\r\n", line[0], line[1])
	}
	if r.closing {
		b.WriteString("Connection: close\r\n")
	}
	if r.chunked = length < 0; r.chunked {
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	} else {
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", length)
	}
	return r.write([]byte(b.String()))
}

func (r *connReply) Write(piece []byte) error {
	if len(piece) == 0 {
		return nil
	}
	if r.chunked {
		return r.write([]byte(fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)))
	}
	return r.write(piece)
}

func (r *connReply) Finish() error {
	r.answers++
	if r.chunked {
		return r.write([]byte("0\r\n\r\n"))
	}
	return nil
}

func (r *connReply) WriteRaw(bytes []byte) { _ = r.write(bytes) }

func (r *connReply) WriteRawBeforeNext(bytes []byte) { r.later = bytes }

func (r *connReply) Abort(hard bool) {
	r.ended = true
	if hard {
		reset(r.conn)
		return
	}
	_ = r.conn.Close()
}

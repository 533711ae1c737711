// Package sockets connects the test doubles of package platform over TCP: workers
// and the instance list listen, clients and operators connect. Workers write to
// their connections without an HTTP server, since an HTTP server could not produce
// their faults.
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

// WorkerServer serves a worker over TCP.
type WorkerServer struct {
	Worker *platform.Worker
	// DrawCloseAfterResponse, if set, is called for each request and reports whether
	// the connection is closed after the response although there is no fault.
	DrawCloseAfterResponse func() bool

	listener        net.Listener
	mu              sync.Mutex
	conns           map[net.Conn]bool
	openedConns     int
	silentDropAfter time.Duration
	goroutines      sync.WaitGroup
}

// ListenWorker starts the worker and serves it on the given address. configure, if
// not nil, is called before the first connection is accepted.
func ListenWorker(worker *platform.Worker, address string, configure func(s *WorkerServer)) (*WorkerServer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Annotatef(err, "listen for worker %s", worker.ID)
	}
	worker.Address = listener.Addr().String()
	worker.Start()
	s := &WorkerServer{Worker: worker, listener: listener, conns: map[net.Conn]bool{}}
	if configure != nil {
		configure(s)
	}
	s.goroutines.Add(1)
	go s.accept()
	return s, nil
}

// SetSilentDropAfter makes the worker drop connections that were idle for longer
// than the given time without closing them: the next request on such a connection
// is answered with a reset. 0 turns this off.
func (s *WorkerServer) SetSilentDropAfter(idle time.Duration) {
	s.mu.Lock()
	s.silentDropAfter = idle
	s.mu.Unlock()
}

// silentlyDropped reports whether a connection that was idle for this long counts
// as dropped.
func (s *WorkerServer) silentlyDropped(idle time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silentDropAfter > 0 && idle > s.silentDropAfter
}

// OpenedConns returns the number of connections accepted so far.
func (s *WorkerServer) OpenedConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.openedConns
}

// Close ends the worker and closes its connections at once, as a crash or the
// platform's termination of the instance does.
func (s *WorkerServer) Close() {
	s.Worker.Stop()
	_ = s.listener.Close()
	s.mu.Lock()
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.goroutines.Wait()
}

// accept accepts connections until the listener is closed. Connections over the
// limit are reset; the limit is halved, but to no less than the capacity, while
// more than half of the queue is used.
func (s *WorkerServer) accept() {
	defer s.goroutines.Done()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		maxConns := s.Worker.Spec.MaxConns
		if queued := s.Worker.Queued(); queued > s.Worker.Spec.QueueSize/2 {
			maxConns = max(s.Worker.Spec.Capacity, maxConns/2)
		}
		if maxConns > 0 && len(s.conns) >= maxConns {
			s.mu.Unlock()
			resetConn(conn)
			continue
		}
		s.conns[conn] = true
		s.openedConns++
		s.goroutines.Add(1)
		s.mu.Unlock()
		go s.serve(conn)
	}
}

// resetConn closes a connection with a TCP reset.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// peekConn is a connection on which a peek can run in the background, so that the
// peer's close is noticed while a request is served or the connection is idle.
type peekConn struct {
	conn    net.Conn
	reader  *bufio.Reader
	peeked  chan struct{}
	peekErr error
}

// startPeek waits in the background for the next byte, which it leaves in the
// reader. It fires closedSignal on an error, and closes peeked when it ends.
func (p *peekConn) startPeek(closedSignal base.Signal) {
	p.peeked = make(chan struct{})
	go func() {
		defer close(p.peeked)
		if _, p.peekErr = p.reader.Peek(1); p.peekErr != nil {
			closedSignal.Fire()
		}
	}()
}

// serve serves the requests of a connection until it is closed.
func (s *WorkerServer) serve(conn net.Conn) {
	defer s.goroutines.Done()
	defer func() {
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
		_ = conn.Close()
	}()
	peek := &peekConn{conn: conn, reader: bufio.NewReaderSize(conn, 64<<10)}
	writer := &responseWriter{conn: conn}
	idleSince := time.Now()
	for {
		if s.Worker.KeepAlive > 0 {
			_ = conn.SetReadDeadline(time.Now().Add(s.Worker.KeepAlive))
		}
		if _, err := peek.reader.Peek(1); err != nil {
			return
		}
		if writer.responseCount > 0 && s.silentlyDropped(time.Since(idleSince)) {
			resetConn(conn)
			return
		}
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		request, err := http.ReadRequest(peek.reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		_ = conn.SetReadDeadline(time.Time{})
		closedSignal := s.Worker.Clock.NewSignal()
		peek.startPeek(closedSignal)
		writer.reset(s.DrawCloseAfterResponse != nil && s.DrawCloseAfterResponse())
		s.Worker.Serve(&platform.Request{Method: request.Method, Target: request.RequestURI, Host: request.Host, Header: request.Header.Get, Body: body, ClientClosed: closedSignal}, writer)
		if writer.closed || request.Close || writer.closeAfter {
			_ = conn.Close()
			<-peek.peeked
			return
		}
		idleSince = time.Now()
		if s.Worker.KeepAlive > 0 {
			_ = conn.SetReadDeadline(time.Now().Add(s.Worker.KeepAlive))
		}
		<-peek.peeked
		if peek.peekErr != nil {
			return
		}
	}
}

// responseWriter writes the responses of a connection. delayedBytes are written
// before the next response.
type responseWriter struct {
	conn          net.Conn
	chunked       bool
	closeAfter    bool
	closed        bool
	delayedBytes  []byte
	responseCount int
}

// reset prepares for the next response; closeAfter closes the connection after it.
func (r *responseWriter) reset(closeAfter bool) {
	r.chunked, r.closeAfter = false, closeAfter
}

// write writes to the connection, for at most 20 seconds.
func (r *responseWriter) write(bytes []byte) error {
	_ = r.conn.SetWriteDeadline(time.Now().Add(20 * time.Second))
	_, err := r.conn.Write(bytes)
	return err
}

// WriteHeader writes the status line and header fields, after any delayed bytes. A
// negative length means a chunked body.
func (r *responseWriter) WriteHeader(status int, header [][2]string, length int) error {
	var head strings.Builder
	if len(r.delayedBytes) > 0 {
		head.Write(r.delayedBytes)
		r.delayedBytes = nil
	}
	fmt.Fprintf(&head, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for _, field := range header {
		if field[0] == "Connection" {
			r.closeAfter = true
			continue
		}
		fmt.Fprintf(&head, "%s: %s\r\n", field[0], field[1])
	}
	if r.closeAfter {
		head.WriteString("Connection: close\r\n")
	}
	if r.chunked = length < 0; r.chunked {
		head.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	} else {
		fmt.Fprintf(&head, "Content-Length: %d\r\n\r\n", length)
	}
	return r.write([]byte(head.String()))
}

// Write writes a part of the body, as one chunk if the body is chunked.
func (r *responseWriter) Write(piece []byte) error {
	if len(piece) == 0 {
		return nil
	}
	if r.chunked {
		return r.write([]byte(fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)))
	}
	return r.write(piece)
}

// Finish ends the body.
func (r *responseWriter) Finish() error {
	r.responseCount++
	if r.chunked {
		return r.write([]byte("0\r\n\r\n"))
	}
	return nil
}

// WriteRaw writes bytes as they are, without HTTP framing.
func (r *responseWriter) WriteRaw(bytes []byte) error { return r.write(bytes) }

// WriteRawBeforeNext keeps bytes to be written before the next response.
func (r *responseWriter) WriteRawBeforeNext(bytes []byte) { r.delayedBytes = bytes }

// Abort closes the connection, with a reset if hard is set.
func (r *responseWriter) Abort(hard bool) {
	r.closed = true
	if hard {
		resetConn(r.conn)
		return
	}
	_ = r.conn.Close()
}

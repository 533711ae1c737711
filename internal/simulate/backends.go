package simulate

import (
	"errors"
	"fmt"
	"io"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/front"
	"fordseam/internal/session"
	"fordseam/internal/standin"
)

// BackendReply is the response of a stand-in worker. The worker's task fills it in
// while the gateway reads it.
type BackendReply struct {
	changed        *base.Notifier // notified when the worker or the reader changes a field
	status         int
	started        bool
	closesConn     bool
	lines          []string
	ended          bool
	connectionLost bool
	closed         bool
	clock          base.Clock
	host           *Host
	body           []byte
}

// pollInterval bounds each wait, because a host's death notifies nobody.
const pollInterval = 50 * time.Millisecond

// waitFor waits until ready returns true. It fails when the reply is closed, the
// connection is lost, the reply has ended or the limit is over.
func (r *BackendReply) waitFor(limit time.Duration, ready func() bool) error {
	end := r.clock.Now() + limit
	for {
		next := r.changed.Next()
		switch {
		case r.closed:
			return errors.New("reply closed by the reader")
		case ready():
			return nil
		case r.connectionLost:
			return errors.New("connection lost")
		case r.ended:
			return io.EOF
		case r.clock.Now() >= end:
			return fmt.Errorf("no reply within %v", limit)
		}
		next.Wait(min(pollInterval, end-r.clock.Now()))
	}
}

func (r *BackendReply) Status() int            { return r.status }
func (r *BackendReply) Header(string) string   { return "application/json" }
func (r *BackendReply) ClosesConnection() bool { return r.closesConn }

func (r *BackendReply) EachHeader(visit func(name, value []byte)) {
	visit([]byte("Content-Type"), []byte(r.Header("")))
}

func (r *BackendReply) ReadLine(limit time.Duration) ([]byte, error) {
	if err := r.waitFor(limit, func() bool { return len(r.lines) > 0 }); err != nil {
		return nil, err
	}
	line := r.lines[0]
	r.lines = r.lines[1:]
	return []byte(line), nil
}

func (r *BackendReply) ReadBody(limit time.Duration, _ int) ([]byte, error) {
	err := r.waitFor(limit, func() bool { return r.ended && !r.connectionLost })
	return r.body, err
}

func (r *BackendReply) Close() {
	r.closed = true
	delete(r.host.openReplies, r)
	r.changed.Notify()
}

// Backends calls the stand-in workers on behalf of a host.
type Backends struct {
	net      *Net
	host     *Host
	models   map[string]*standin.Model
	tools    map[string]*standin.Tool
	disabled *disabledMechanisms
}

func (b *Backends) Call(ctx *base.Ctx, addr string, request *base.BackendRequest) (base.BackendReply, error) {
	w := b.net.World
	target := w.Hosts[hostName(addr)]
	b.host.Clock().Sleep(b.net.delay())
	if target == nil || !target.alive || b.net.isCut(b.host.Name, target.Name) {
		return nil, &base.NotSent{Cause: fmt.Errorf("connection to %s refused", addr)}
	}
	reply := &BackendReply{changed: base.NewNotifier(ctx.Clock), clock: ctx.Clock, host: target}
	target.openReplies[reply] = struct{}{}
	body := append([]byte(nil), request.Body...)
	target.Go(func() {
		if model := b.models[target.Name]; model != nil {
			reply.closesConn = model.CloseConnections
			model.Serve(body, func(status int) { reply.status, reply.started = status, true; reply.changed.Notify() }, func(line string) error {
				if reply.closed {
					return io.ErrClosedPipe
				}
				reply.lines = append(reply.lines, line)
				reply.changed.Notify()
				return nil
			})
		} else {
			status, answer, answered := b.tools[target.Name].Serve(request.Header["Idempotency-Key"], body)
			reply.status, reply.body, reply.started, reply.connectionLost = status, answer, answered, !answered
		}
		if b.disabled.endMarker { // append the end marker that the reply lacks
			reply.lines = append(reply.lines, `data: {"choices":[{"delta":{},"finish_reason":"stop"}]}`, "data: [DONE]")
		}
		reply.ended = true
		delete(target.openReplies, reply)
		reply.changed.Notify()
	})
	if err := reply.waitFor(ctx.Remaining(), func() bool { return reply.started }); err != nil {
		reply.Close()
		return nil, err
	}
	return reply, nil
}

// DropIdle does nothing: in-memory connections are not pooled.
func (b *Backends) DropIdle(string) {}

// RequestSender returns a function that sends callers' requests from a host to the
// simulated gateways. A request fails once its gateway has died or has sent nothing
// for 40 s.
func (f *Fleet) RequestSender(host *Host) standin.RequestFunc {
	clock := host.Clock()
	return func(gatewayIndex int, method, path string, header map[string]string, body []byte) (*standin.Response, error) {
		gateway := f.Gateways[gatewayIndex%len(f.Gateways)]
		clock.Sleep(f.Net.delay())
		if !gateway.Host.alive || gateway.gateway == nil || gateway.stopping {
			return nil, errors.New("connection refused")
		}
		changed := base.NewNotifier(clock)
		var response *front.Response
		events := []standin.Event{}
		ended := false
		incarnation, frontGateway := gateway.Host.incarnation, gateway.gateway
		gateway.openRequests++
		gateway.Host.Go(func() {
			defer func() { gateway.openRequests-- }()
			gatewayClock := gateway.Host.Clock()
			response = frontGateway.Front.Handle(base.NewCtx(gatewayClock, 10*time.Minute), &front.Request{Method: method, Path: path, Header: header, Query: map[string]string{}, Body: body})
			changed.Notify()
			if response.Stream == nil {
				return
			}
			for !ended {
				pieces, attempt, done := response.Stream.Next()
				for _, piece := range pieces {
					events = append(events, newEvent(piece, attempt))
				}
				ended = done
				changed.Notify()
			}
		})
		hostKilled := func() bool { return gateway.Host.incarnation != incarnation }
		end := clock.Now() + 40*time.Second
		for response == nil {
			next := changed.Next()
			if hostKilled() || clock.Now() > end {
				f.Tally.Count("cut_connections")
				return nil, errors.New("connection lost")
			}
			next.Wait(pollInterval)
		}
		answer := &standin.Response{Status: response.Status, Header: response.Header, Body: response.Body}
		if response.Stream == nil {
			return answer, nil
		}
		answer.NextEvent = func() (standin.Event, bool) {
			silenceDeadline := clock.Now() + 40*time.Second
			for {
				next := changed.Next()
				switch {
				case len(events) > 0:
					event := events[0]
					events = events[1:]
					return event, true
				case ended || hostKilled() || clock.Now() > silenceDeadline:
					return standin.Event{}, false
				}
				next.Wait(pollInterval)
			}
		}
		return answer, nil
	}
}

func newEvent(piece *session.Piece, attempt string) standin.Event {
	kind, data, id := "piece", base.MustMarshal(map[string]string{"text": string(piece.Data)}), attempt+"#"+string(base.MustMarshal(piece.Place))
	if piece.Final {
		kind, data = "final", piece.Data
	}
	return standin.Event{ID: id, Kind: kind, Data: data}
}

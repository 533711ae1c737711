// Back ends and callers in memory.

package simulate

import (
	"errors"
	"io"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/front"
	"fordseam/internal/session"
	"fordseam/internal/standin"
)

// BackendReply is a worker's reply under way.
type BackendReply struct {
	changed        *base.Notifier
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

const pollInterval = 50 * time.Millisecond

func (r *BackendReply) waitFor(limit time.Duration, ready func() bool) error {
	end := r.clock.Now() + limit
	for {
		next := r.changed.Next()
		switch {
		case r.closed:
			return errors.New("closed")
		case ready():
			return nil
		case r.connectionLost:
			return errors.New("connection lost")
		case r.ended:
			return io.EOF
		case r.clock.Now() >= end:
			return errors.New("no answer in time")
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

// Backends is a host's way to the stand-in workers.
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
		return nil, &base.NotSent{Cause: errors.New("connection refused")}
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
		if b.disabled.endMarker { // make up the end that the answer lacks
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

// DropIdle has nothing to do: connections in memory are not kept.
func (b *Backends) DropIdle(string) {}

// RequestSender sends callers' requests to the simulated gateways.
func (f *Fleet) RequestSender(host *Host) standin.RequestFunc {
	clock := host.Clock()
	return func(gateway int, method, path string, header map[string]string, body []byte) (*standin.Response, error) {
		edge := f.Gateways[gateway%len(f.Gateways)]
		clock.Sleep(f.Net.delay())
		if !edge.Host.alive || edge.gateway == nil || edge.stopping {
			return nil, errors.New("connection refused")
		}
		bell := base.NewNotifier(clock)
		var response *front.Response
		events := []standin.Event{}
		over := false
		life, target := edge.Host.incarnation, edge.gateway
		edge.openRequests++
		edge.Host.Go(func() {
			defer func() { edge.openRequests-- }()
			own := edge.Host.Clock()
			response = target.Front.Handle(base.NewCtx(own, 10*time.Minute), &front.Request{Method: method, Path: path, Header: header, Query: map[string]string{}, Body: body})
			bell.Notify()
			if response.Stream == nil {
				return
			}
			for !over {
				pieces, leg, done := response.Stream.Next()
				for _, piece := range pieces {
					events = append(events, newEvent(piece, leg))
				}
				over = done
				bell.Notify()
			}
		})
		gone := func() bool { return edge.Host.incarnation != life }
		end := clock.Now() + 40*time.Second
		for response == nil {
			next := bell.Next()
			if gone() || clock.Now() > end {
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
			silent := clock.Now() + 40*time.Second
			for {
				next := bell.Next()
				switch {
				case len(events) > 0:
					event := events[0]
					events = events[1:]
					return event, true
				case over || gone() || clock.Now() > silent:
					return standin.Event{}, false
				}
				next.Wait(pollInterval)
			}
		}
		return answer, nil
	}
}

func newEvent(piece *session.Piece, leg string) standin.Event {
	kind, data, id := "piece", base.MustMarshal(map[string]string{"text": string(piece.Data)}), leg+"#"+string(base.MustMarshal(piece.Place))
	if piece.Final {
		kind, data = "final", piece.Data
	}
	return standin.Event{ID: id, Kind: kind, Data: data}
}

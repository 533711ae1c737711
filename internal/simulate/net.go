// The wire in memory: messages take a while, and by the seed are lost on the
// way or on the way back, come late, or come twice. Machines can be cut from
// each other in one direction or both.

package simulate

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"time"

	"fordseam/internal/base"
)

type httpHandler http.Handler

// NetworkFaults are the wire's chances of trouble per message.
type NetworkFaults struct {
	LossRate      float64
	DelayRate     float64
	DuplicateRate float64
	MaxExtraDelay time.Duration
}

// Net joins the hosts.
type Net struct {
	World    *World
	Faults   NetworkFaults
	MinDelay time.Duration
	MaxDelay time.Duration
	// BytesPerSecond is how fast a message's bytes go, unless 0.
	BytesPerSecond int64
	cutLinks       map[[2]string]bool
	MessageCount   int
	LostCount      int
	// TrafficByPath counts the exchanges between machines by path, with their bytes as
	// HTTP carries them, both ways.
	TrafficByPath map[string]*PathTraffic
	// TrafficByHost is each machine's share of it, sent and received.
	TrafficByHost map[string]*HostTraffic
	// ResetOnExit has the end of a process reset its connections, so that those who
	// wait for its answer learn at once; without it they wait their time out.
	ResetOnExit bool
	// LinkFailure is what the sender notices of a message that a cut stops.
	LinkFailure LinkFailure
	// Meddle, set by tests only, stands between the machines and takes a
	// mechanism away: it may answer a message itself, or change what passes.
	Intercept func(m *Message) *http.Response
}

// LinkFailure is what the sender of a message notices of a cut.
type LinkFailure int

// A cut drops messages in silence, resets connections, or has them refused.
const (
	LinkSilent LinkFailure = iota
	LinkReset
	LinkRefused
)

// PathTraffic is what was said on one path.
type PathTraffic struct{ Calls, Bytes int }

// HostTraffic is one machine's part in the talk.
type HostTraffic struct{ RequestsSent, RequestsReceived, Bytes int }

func (n *Net) hostTraffic(host string) *HostTraffic {
	if n.TrafficByHost[host] == nil {
		n.TrafficByHost[host] = &HostTraffic{}
	}
	return n.TrafficByHost[host]
}

// sampleMemory is the size of a message's head and body on the wire.
func messageSize(startLineLen int, header http.Header, body int) int {
	size := startLineLen + len("Content-Length: ") + len(strconv.Itoa(body)) + 4 + body
	for name, values := range header {
		for _, value := range values {
			if value != "" && name != "Content-Length" {
				size += len(name) + len(value) + 4
			}
		}
	}
	return size
}

func (n *Net) recordTraffic(from, to, path string, calls, bytes int) {
	sender, receiver := n.hostTraffic(from), n.hostTraffic(to)
	sender.RequestsSent += calls
	receiver.RequestsReceived += calls
	sender.Bytes += bytes
	receiver.Bytes += bytes
	if n.TrafficByPath[path] == nil {
		n.TrafficByPath[path] = &PathTraffic{}
	}
	n.TrafficByPath[path].Calls += calls
	n.TrafficByPath[path].Bytes += bytes
}

// Message is one exchange between machines; Pass carries it to its end.
type Message struct {
	From, To *Host
	Path     string
	Body     []byte
	Forward  func(body []byte) (*http.Response, error)
}

func NewNet(world *World) *Net {
	return &Net{World: world, MinDelay: 200 * time.Microsecond, MaxDelay: 1500 * time.Microsecond, cutLinks: map[[2]string]bool{}, TrafficByPath: map[string]*PathTraffic{}, TrafficByHost: map[string]*HostTraffic{}}
}

// CutLink stops messages from one host to another; Heal lets all through again.
func (n *Net) CutLink(from, to string) { n.cutLinks[[2]string{from, to}] = true }
func (n *Net) Heal()                   { n.cutLinks = map[[2]string]bool{} }

// Isolate stops all messages to and from some hosts except among themselves.
func (n *Net) Isolate(isolated map[string]bool) {
	for _, from := range base.SortedKeys(n.World.Hosts) {
		for _, to := range base.SortedKeys(n.World.Hosts) {
			if isolated[from] != isolated[to] {
				n.CutLink(from, to)
			}
		}
	}
}

func (n *Net) isCut(from, to string) bool { return n.cutLinks[[2]string{from, to}] }

func (n *Net) delay() time.Duration { return n.World.Between(n.MinDelay, n.MaxDelay) }

// transmissionTime is how long a message's bytes take on the way.
func (n *Net) transmissionTime(bytes int) time.Duration {
	if n.BytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(bytes) * time.Second / time.Duration(n.BytesPerSecond)
}

// Wire is a host's way to partners; addresses are host names with a port.
func (n *Net) Wire(h *Host) base.HTTPClient { return &wire{n, h} }

type wire struct {
	net  *Net
	host *Host
}

var errNoReply = errors.New("no reply in time")

func hostName(addr string) string {
	for i := range addr {
		if addr[i] == ':' {
			return addr[:i]
		}
	}
	return addr
}

func (x *wire) Do(request *http.Request) (*http.Response, error) {
	n, w := x.net, x.net.World
	timeout := 10 * time.Second
	if ctx, ok := request.Context().Value(base.CtxKey).(*base.Ctx); ok {
		timeout = ctx.Remaining()
	}
	if timeout <= 0 {
		return nil, &base.NotSent{Cause: context.DeadlineExceeded}
	}
	base.SetMessageHeaders(request, timeout)
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, err
	}
	if n.Intercept == nil {
		return x.roundTrip(request, body, timeout)
	}
	var forwardErr error
	response := n.Intercept(&Message{From: x.host, To: w.Hosts[hostName(request.URL.Host)], Path: request.URL.Path, Body: body,
		Forward: func(body []byte) (response *http.Response, err error) {
			response, forwardErr = x.roundTrip(request, body, timeout)
			return response, forwardErr
		}})
	switch {
	case response != nil:
		return response, nil
	case forwardErr == nil:
		return nil, errNoReply // it was not passed on
	}
	return nil, forwardErr
}

// pendingCall is a message whose answer is awaited.
type pendingCall struct{ reset base.Signal }

// roundTrip takes a message to its machine and the reply back.
func (x *wire) roundTrip(request *http.Request, body []byte, timeout time.Duration) (*http.Response, error) {
	n, w := x.net, x.net.World
	n.MessageCount++
	path := request.URL.Path
	n.recordTraffic(x.host.Name, hostName(request.URL.Host), path, 1, messageSize(len("POST  HTTP/1.1\r\nHost: \r\n")+len(path)+len(request.URL.Host), request.Header, len(body)))
	target := w.Hosts[hostName(request.URL.Host)]
	if target == nil || !target.alive && !target.poweredOff {
		x.host.Clock().Sleep(n.delay())
		return nil, &base.NotSent{Cause: errors.New("connection refused")}
	}
	done := (&clock{x.host}).NewSignal()
	if target.poweredOff || n.isCut(x.host.Name, target.Name) || n.isCut(target.Name, x.host.Name) && w.Chance(0.5) {
		n.LostCount++
		if n.LinkFailure != LinkSilent && !target.poweredOff {
			x.host.Clock().Sleep(n.delay())
			if n.LinkFailure == LinkRefused {
				return nil, &base.NotSent{Cause: errors.New("connection refused")}
			}
			return nil, errNoReply
		}
		done.Wait(timeout)
		if w.Chance(0.5) {
			return nil, &base.NotSent{Cause: errors.New("no route")}
		}
		return nil, errNoReply
	}
	if n.ResetOnExit {
		pending := &pendingCall{reset: done}
		target.pendingCalls = append(target.pendingCalls, pending)
		defer func() {
			target.pendingCalls = base.Filter(target.pendingCalls, func(one *pendingCall) bool { return one != pending })
		}()
	}
	var response *http.Response
	deliver := func(delay time.Duration, answered bool) {
		life := target.incarnation
		w.spawn(target, life, w.now+delay, func() {
			if target.serve == nil {
				return
			}
			recorder := httptest.NewRecorder()
			arrived := request.Clone(context.Background())
			arrived.Body, arrived.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
			arrived.RequestURI = request.URL.RequestURI()
			target.serve.ServeHTTP(recorder, arrived)
			if !answered || n.isCut(target.Name, x.host.Name) || w.Chance(n.Faults.LossRate) {
				n.LostCount++
				if answered && n.LinkFailure != LinkSilent {
					done.Fire() // without a response: the connection was reset
				}
				return
			}
			target.Clock().Sleep(n.delay() + n.transmissionTime(recorder.Body.Len()) + x.host.ExtraDelay + target.ExtraDelay + x.host.processingDelay())
			response = recorder.Result()
			n.recordTraffic(x.host.Name, target.Name, path, 0, messageSize(len("HTTP/1.1 200 OK\r\n"), response.Header, recorder.Body.Len()))
			done.Fire()
		})
	}
	delay := n.delay() + n.transmissionTime(len(body)) + x.host.ExtraDelay + target.ExtraDelay + target.processingDelay()
	if w.Chance(n.Faults.DelayRate) {
		delay += w.Between(0, n.Faults.MaxExtraDelay)
	}
	if w.Chance(n.Faults.LossRate) {
		n.LostCount++
	} else {
		deliver(delay, true)
		if w.Chance(n.Faults.DuplicateRate) {
			deliver(delay+w.Between(0, n.Faults.MaxExtraDelay), false)
		}
	}
	if !done.Wait(timeout) || response == nil {
		return nil, errNoReply
	}
	return response, nil
}

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

// handler serves the requests that reach a host.
type handler http.Handler

// NetworkFaults are the probabilities of faults per message.
type NetworkFaults struct {
	LossRate      float64
	DelayRate     float64
	DuplicateRate float64
	MaxExtraDelay time.Duration
}

// Net is the simulated network between the hosts. Messages are delayed and, drawn from the
// seed, lost on the way or on the way back, delayed further or delivered twice. Links can be
// cut in one direction or both.
type Net struct {
	World    *World
	Faults   NetworkFaults
	MinDelay time.Duration
	MaxDelay time.Duration
	// BytesPerSecond is the bandwidth for each message; 0 is unlimited.
	BytesPerSecond int64
	cutLinks       map[[2]string]bool
	MessageCount   int
	LostCount      int
	// TrafficByPath counts the exchanges between machines by path, with their size as HTTP
	// messages, in both directions.
	TrafficByPath map[string]*PathTraffic
	// TrafficByHost is each machine's part of this traffic, sent and received.
	TrafficByHost map[string]*HostTraffic
	// ResetOnExit makes the end of a process reset its connections, so that callers notice
	// at once; otherwise they wait until their timeout.
	ResetOnExit bool
	// LinkFailure is what the sender notices when a cut link drops its message.
	LinkFailure LinkFailure
	// Intercept, set by tests only, is called for each message between machines. It may
	// answer the message itself or change what is forwarded.
	Intercept func(m *Message) *http.Response
}

// LinkFailure is what the sender of a message notices of a cut link.
type LinkFailure int

// A cut link drops messages silently, resets connections or refuses them.
const (
	LinkSilent LinkFailure = iota
	LinkReset
	LinkRefused
)

// PathTraffic is the traffic of one path.
type PathTraffic struct{ Calls, Bytes int }

// HostTraffic is one machine's part of the traffic.
type HostTraffic struct{ RequestsSent, RequestsReceived, Bytes int }

// hostTraffic returns the entry of a host in TrafficByHost.
func (n *Net) hostTraffic(host string) *HostTraffic {
	if n.TrafficByHost[host] == nil {
		n.TrafficByHost[host] = &HostTraffic{}
	}
	return n.TrafficByHost[host]
}

// messageSize returns the size of an HTTP message with its start line, header and body.
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

// recordTraffic adds calls and bytes to the traffic of both hosts and of the path.
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

// Message is an exchange between machines. Forward delivers the request and returns the
// response.
type Message struct {
	From, To *Host
	Path     string
	Body     []byte
	Forward  func(body []byte) (*http.Response, error)
}

// NewNet returns a network without faults between the hosts of a world.
func NewNet(world *World) *Net {
	return &Net{World: world, MinDelay: 200 * time.Microsecond, MaxDelay: 1500 * time.Microsecond, cutLinks: map[[2]string]bool{}, TrafficByPath: map[string]*PathTraffic{}, TrafficByHost: map[string]*HostTraffic{}}
}

// CutLink stops messages from one host to another.
func (n *Net) CutLink(from, to string) { n.cutLinks[[2]string{from, to}] = true }

// Heal restores all links.
func (n *Net) Heal() { n.cutLinks = map[[2]string]bool{} }

// Isolate stops all messages between a set of hosts and the others.
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

// transmissionTime returns the time that a message's bytes take at the bandwidth.
func (n *Net) transmissionTime(bytes int) time.Duration {
	if n.BytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(bytes) * time.Second / time.Duration(n.BytesPerSecond)
}

// HTTPClient returns a host's client for requests to other machines; addresses are host names with
// a port.
func (n *Net) HTTPClient(h *Host) base.HTTPClient { return &hostClient{n, h} }

// hostClient is the HTTP client of one host.
type hostClient struct {
	net  *Net
	host *Host
}

// errNoReply reports a request that may have been processed.
var errNoReply = errors.New("no reply in time")

// hostName returns an address without its port.
func hostName(addr string) string {
	for i := range addr {
		if addr[i] == ':' {
			return addr[:i]
		}
	}
	return addr
}

// Do sends a request through Intercept, if set, and returns the response. The request's
// context bounds the wait; without one it is 10 s.
func (c *hostClient) Do(request *http.Request) (*http.Response, error) {
	n, world := c.net, c.net.World
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
		return c.roundTrip(request, body, timeout)
	}
	var forwardErr error
	response := n.Intercept(&Message{From: c.host, To: world.Hosts[hostName(request.URL.Host)], Path: request.URL.Path, Body: body,
		Forward: func(body []byte) (response *http.Response, err error) {
			response, forwardErr = c.roundTrip(request, body, timeout)
			return response, forwardErr
		}})
	switch {
	case response != nil:
		return response, nil
	case forwardErr == nil:
		return nil, errNoReply // Intercept dropped the message
	}
	return nil, forwardErr
}

// pendingCall is a request whose response is awaited.
type pendingCall struct{ reset base.Signal }

// roundTrip delivers a request to its machine and returns the response.
func (c *hostClient) roundTrip(request *http.Request, body []byte, timeout time.Duration) (*http.Response, error) {
	n, world := c.net, c.net.World
	n.MessageCount++
	path := request.URL.Path
	n.recordTraffic(c.host.Name, hostName(request.URL.Host), path, 1, messageSize(len("POST  HTTP/1.1\r\nHost: \r\n")+len(path)+len(request.URL.Host), request.Header, len(body)))
	target := world.Hosts[hostName(request.URL.Host)]
	if target == nil || !target.alive && !target.poweredOff {
		c.host.Clock().Sleep(n.delay())
		return nil, &base.NotSent{Cause: errors.New("connection refused")}
	}
	done := (&clock{c.host}).NewSignal()
	if target.poweredOff || n.isCut(c.host.Name, target.Name) || n.isCut(target.Name, c.host.Name) && world.Chance(0.5) {
		n.LostCount++
		if n.LinkFailure != LinkSilent && !target.poweredOff {
			c.host.Clock().Sleep(n.delay())
			if n.LinkFailure == LinkRefused {
				return nil, &base.NotSent{Cause: errors.New("connection refused")}
			}
			return nil, errNoReply
		}
		done.Wait(timeout)
		if world.Chance(0.5) {
			return nil, &base.NotSent{Cause: errors.New("no route")}
		}
		return nil, errNoReply
	}
	if n.ResetOnExit {
		pending := &pendingCall{reset: done}
		target.pendingCalls = append(target.pendingCalls, pending)
		defer func() {
			target.pendingCalls = base.Filter(target.pendingCalls, func(call *pendingCall) bool { return call != pending })
		}()
	}
	var response *http.Response
	deliver := func(delay time.Duration, answered bool) {
		life := target.incarnation
		world.spawn(target, life, world.now+delay, func() {
			if target.serve == nil {
				return
			}
			recorder := httptest.NewRecorder()
			delivered := request.Clone(context.Background())
			delivered.Body, delivered.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
			delivered.RequestURI = request.URL.RequestURI()
			target.serve.ServeHTTP(recorder, delivered)
			if !answered || n.isCut(target.Name, c.host.Name) || world.Chance(n.Faults.LossRate) {
				n.LostCount++
				if answered && n.LinkFailure != LinkSilent {
					done.Fire() // without a response, as a connection reset
				}
				return
			}
			target.Clock().Sleep(n.delay() + n.transmissionTime(recorder.Body.Len()) + c.host.ExtraDelay + target.ExtraDelay + c.host.processingDelay())
			response = recorder.Result()
			n.recordTraffic(c.host.Name, target.Name, path, 0, messageSize(len("HTTP/1.1 200 OK\r\n"), response.Header, recorder.Body.Len()))
			done.Fire()
		})
	}
	delay := n.delay() + n.transmissionTime(len(body)) + c.host.ExtraDelay + target.ExtraDelay + target.processingDelay()
	if world.Chance(n.Faults.DelayRate) {
		delay += world.Between(0, n.Faults.MaxExtraDelay)
	}
	if world.Chance(n.Faults.LossRate) {
		n.LostCount++
	} else {
		deliver(delay, true)
		if world.Chance(n.Faults.DuplicateRate) {
			deliver(delay+world.Between(0, n.Faults.MaxExtraDelay), false)
		}
	}
	if !done.Wait(timeout) || response == nil {
		return nil, errNoReply
	}
	return response, nil
}

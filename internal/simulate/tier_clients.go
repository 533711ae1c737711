package simulate

import (
	"bytes"
	"io"
	"strconv"
	"strings"
	"time"

	"fordseam/internal/base"
	parties "fordseam/internal/standin/platform"
	"fordseam/platform"

	"github.com/valyala/fasthttp"
)

type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// newRequestCtx builds a request as the daemons' server would have read it, so that
// requests go through the same code of package platform as in the daemons.
func newRequestCtx(method, target, host string, header [][2]string, body []byte) *fasthttp.RequestCtx {
	var request fasthttp.Request
	request.Header.SetMethod(method)
	request.SetRequestURI(target)
	for _, line := range header {
		request.Header.Add(line[0], line[1])
	}
	request.Header.SetHost(host)
	if len(body) > 0 {
		request.SetBody(body)
	}
	r := &fasthttp.RequestCtx{}
	r.Init(&request, nil, discardLogger{})
	return r
}

const (
	responseHead = iota
	responseBytes
	responseEnd
	responseConnClosed // the connection closed
)

type responsePart struct {
	kind   int
	status int
	header map[string]string
	bytes  []byte
}

// clientExchange is one request of a client or an operator on its own connection.
type clientExchange struct {
	host        *Host
	responses   *pipe[responsePart]
	requestRead bool
	closed      bool // by the client
	number      int
}

// tierClients sends the attempts of simulated clients to the gateways.
type tierClients struct{ tier *Tier }

func (c *tierClients) Carry(try *parties.Try) {
	t := c.tier
	clock := t.CallerHost.Clock()
	try.Sent = clock.Now()
	defer func() { try.Ended = clock.Now() }()
	if try.Probe {
		try.Node, _, _ = strings.Cut(try.Node, "@")
	} else {
		try.Node, _ = t.entryPoint.Pick(try.Zone, try.Client, try.Fresh || t.rotateGateways)
	}
	m := t.machineNamed(try.Node)
	if m.Host.poweredOff {
		clock.Sleep(min(parties.ConnectPatience, try.Deadline))
		try.Unread = true
		return
	}
	clock.Sleep(t.clientDelay())
	if !m.Host.alive || m.gateway == nil || m.stopping {
		try.Unread = true
		return
	}
	try.Written = clock.Now()
	t.lastNumber++
	x := &clientExchange{host: m.Host, responses: newPipe[responsePart](t.CallerHost), number: t.lastNumber}
	t.clientExchanges[x] = true
	defer func() {
		x.closed = true
		delete(t.clientExchanges, x)
	}()
	t.World.spawn(m.Host, m.Host.incarnation, t.World.now+t.clientDelay()+m.Host.processingDelay(), func() { t.serveClient(m, try, x) })
	c.readResponse(try, x)
}

// readResponse reads a response into an attempt as a client does, with the client's
// timeouts.
func (c *tierClients) readResponse(try *parties.Try, x *clientExchange) {
	end := try.Sent + try.Deadline
	silence := try.Deadline
	if try.Kind == parties.Streaming {
		silence = parties.Silence(try.Aim, try.Pause)
	}
	now := func() time.Duration { return c.tier.World.now }
	until := min(end, now()+silence)
	if try.Kind == parties.Idempotent {
		for patience := now() + parties.ReadPatience(try.Deadline); !x.requestRead && !x.responses.ready() && now() < patience; {
			x.responses.changed.Next().Wait(patience - now())
		}
		if !x.requestRead && !x.responses.ready() {
			try.GaveUp, try.Unread = true, true
			return
		}
	}
	var body []byte
	streams := false
	for {
		one, ok := x.responses.receive(until, nil)
		if !ok {
			try.GaveUp = true
			return
		}
		switch one.kind {
		case responseConnClosed:
			try.Unread = !x.requestRead
			return
		case responseHead:
			try.Status, try.Echo, try.Seal = one.status, one.header[parties.HeaderID], one.header[parties.HeaderSeal]
			try.Encoding = one.header["Content-Encoding"]
			if seconds, err := strconv.ParseFloat(one.header[parties.HeaderRetryAfter], 64); err == nil {
				try.RetryAfter = time.Duration(seconds * float64(time.Second))
			}
			streams = try.Kind == parties.Streaming && strings.HasPrefix(one.header["Content-Type"], "text/event-stream")
		case responseBytes:
			body = append(body, one.bytes...)
			if streams {
				var events []parties.Event
				events, body = parseEvents(body, now())
				if len(events) > 0 && try.First == 0 {
					try.First = now()
				}
				try.Events = append(try.Events, events...)
				until = min(end, now()+silence)
			}
		case responseEnd:
			switch {
			case !streams:
				try.First, try.Answer = now(), base.Digest(body)
			case len(body) > 0:
				try.Garbage = "a stream that ends in " + strconv.Quote(string(body))
			}
			try.Complete = true
			return
		}
	}
}

// parseEvents splits the complete events from the bytes received of a stream.
func parseEvents(some []byte, at time.Duration) (events []parties.Event, rest []byte) {
	for {
		place := bytes.Index(some, []byte("\n\n"))
		if place < 0 {
			return events, some
		}
		event := parties.Event{At: at}
		for _, line := range strings.Split(string(some[:place]), "\n") {
			name, value, _ := strings.Cut(line, ":")
			value = strings.TrimPrefix(value, " ")
			switch {
			case name == "id":
				event.ID, _ = strconv.ParseInt(value, 10, 64)
			case name == "data" && event.Data == "":
				event.Data = value
			case name == "data":
				event.Data += "\n" + value
			}
		}
		events = append(events, event)
		some = some[place+2:]
	}
}

// serveClient runs a client's request on its gateway and sends the response.
func (t *Tier) serveClient(m *Machine, try *parties.Try, x *clientExchange) {
	gateway, life := m.gateway, m.Host.incarnation
	if gateway == nil {
		return
	}
	x.requestRead = true
	x.responses.changed.Notify()
	m.openRequests++
	defer func() {
		if m.Host.incarnation == life {
			m.openRequests--
		}
	}()
	r := newRequestCtx(try.Method, try.Target, try.Host, try.Header, try.Body)
	platform.ServeClient(r, gateway)
	head := responsePart{kind: responseHead, status: r.Response.StatusCode(), header: map[string]string{}}
	for name, value := range r.Response.Header.All() {
		head.header[string(name)] = string(value)
	}
	x.responses.send(t.clientDelay(), head)
	stream := r.Response.BodyStream()
	if stream == nil {
		x.responses.send(0, responsePart{kind: responseBytes, bytes: bytes.Clone(r.Response.Body())})
		x.responses.send(0, responsePart{kind: responseEnd})
		return
	}
	defer func() { _ = r.Response.CloseBodyStream() }()
	piece := make([]byte, 16<<10)
	for !x.closed {
		n, err := stream.Read(piece)
		if n > 0 {
			x.responses.send(t.clientDelay(), responsePart{kind: responseBytes, bytes: bytes.Clone(piece[:n])})
		}
		if err != nil {
			kind := responseConnClosed
			if err == io.EOF {
				kind = responseEnd
			}
			x.responses.send(t.clientDelay(), responsePart{kind: kind})
			return
		}
	}
}

// callControl sends an operator's request to a core. It returns status 0 when no
// response was received.
func (t *Tier) callControl(method, address, path string, header [][2]string, body []byte) (status int, answer []byte) {
	clock := t.CallerHost.Clock()
	m := t.machineNamed(address)
	patience := parties.OrderPatience(len(body))
	if m == nil || m.Host.poweredOff {
		clock.Sleep(patience)
		return 0, nil
	}
	clock.Sleep(t.clientDelay())
	if !m.Host.alive || m.core == nil || m.stopping {
		return 0, nil
	}
	core, life := m.core, m.Host.incarnation
	in := newPipe[responsePart](t.CallerHost)
	t.lastNumber++
	x := &clientExchange{host: m.Host, responses: in, number: t.lastNumber}
	t.clientExchanges[x] = true
	defer delete(t.clientExchanges, x)
	t.World.spawn(m.Host, life, t.World.now+t.clientDelay(), func() {
		x.requestRead = true
		m.openRequests++
		defer func() {
			if m.Host.incarnation == life {
				m.openRequests--
			}
		}()
		r := newRequestCtx(method, path, m.Host.Name, header, body)
		platform.ServeOperator(r, m.Host.Clock(), core)
		in.send(t.clientDelay(), responsePart{kind: responseHead, status: r.Response.StatusCode(), bytes: bytes.Clone(r.Response.Body())})
	})
	one, ok := in.receive(clock.Now()+patience, nil)
	if !ok || one.kind == responseConnClosed {
		return 0, nil
	}
	return one.status, one.bytes
}

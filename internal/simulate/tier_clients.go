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

func (c *tierClients) Send(try *parties.Try) {
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
		clock.Sleep(min(parties.ConnectTimeout, try.Deadline))
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
	exchange := &clientExchange{host: m.Host, responses: newPipe[responsePart](t.CallerHost), number: t.lastNumber}
	t.clientExchanges[exchange] = true
	defer func() {
		exchange.closed = true
		delete(t.clientExchanges, exchange)
	}()
	t.World.spawn(m.Host, m.Host.incarnation, t.World.now+t.clientDelay()+m.Host.processingDelay(), func() { t.serveClient(m, try, exchange) })
	c.readResponse(try, exchange)
}

// readResponse reads a response into an attempt as a client does, with the client's
// timeouts.
func (c *tierClients) readResponse(try *parties.Try, exchange *clientExchange) {
	end := try.Sent + try.Deadline
	silence := try.Deadline
	if try.Kind == parties.Streaming {
		silence = parties.StreamSilenceLimit(try.Aim, try.Pause)
	}
	now := func() time.Duration { return c.tier.World.now }
	until := min(end, now()+silence)
	if try.Kind == parties.Idempotent {
		for readDeadline := now() + parties.ReadTimeout(try.Deadline); !exchange.requestRead && !exchange.responses.ready() && now() < readDeadline; {
			exchange.responses.changed.Next().Wait(readDeadline - now())
		}
		if !exchange.requestRead && !exchange.responses.ready() {
			try.GaveUp, try.Unread = true, true
			return
		}
	}
	var body []byte
	isStream := false
	for {
		part, ok := exchange.responses.receive(until, nil)
		if !ok {
			try.GaveUp = true
			return
		}
		switch part.kind {
		case responseConnClosed:
			try.Unread = !exchange.requestRead
			return
		case responseHead:
			try.Status, try.Echo, try.Seal = part.status, part.header[parties.HeaderID], part.header[parties.HeaderSeal]
			try.Encoding = part.header["Content-Encoding"]
			if seconds, err := strconv.ParseFloat(part.header[parties.HeaderRetryAfter], 64); err == nil {
				try.RetryAfter = time.Duration(seconds * float64(time.Second))
			}
			isStream = try.Kind == parties.Streaming && strings.HasPrefix(part.header["Content-Type"], "text/event-stream")
		case responseBytes:
			body = append(body, part.bytes...)
			if isStream {
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
			case !isStream:
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
func parseEvents(data []byte, receivedAt time.Duration) (events []parties.Event, rest []byte) {
	for {
		index := bytes.Index(data, []byte("\n\n"))
		if index < 0 {
			return events, data
		}
		event := parties.Event{At: receivedAt}
		for _, line := range strings.Split(string(data[:index]), "\n") {
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
		data = data[index+2:]
	}
}

// serveClient runs a client's request on its gateway and sends the response.
func (t *Tier) serveClient(m *Machine, try *parties.Try, exchange *clientExchange) {
	gateway, incarnation := m.gateway, m.Host.incarnation
	if gateway == nil {
		return
	}
	exchange.requestRead = true
	exchange.responses.changed.Notify()
	m.openRequests++
	defer func() {
		if m.Host.incarnation == incarnation {
			m.openRequests--
		}
	}()
	r := newRequestCtx(try.Method, try.Target, try.Host, try.Header, try.Body)
	platform.ServeClient(r, gateway)
	head := responsePart{kind: responseHead, status: r.Response.StatusCode(), header: map[string]string{}}
	for name, value := range r.Response.Header.All() {
		head.header[string(name)] = string(value)
	}
	exchange.responses.send(t.clientDelay(), head)
	stream := r.Response.BodyStream()
	if stream == nil {
		exchange.responses.send(0, responsePart{kind: responseBytes, bytes: bytes.Clone(r.Response.Body())})
		exchange.responses.send(0, responsePart{kind: responseEnd})
		return
	}
	defer func() { _ = r.Response.CloseBodyStream() }()
	piece := make([]byte, 16<<10)
	for !exchange.closed {
		n, err := stream.Read(piece)
		if n > 0 {
			exchange.responses.send(t.clientDelay(), responsePart{kind: responseBytes, bytes: bytes.Clone(piece[:n])})
		}
		if err != nil {
			kind := responseConnClosed
			if err == io.EOF {
				kind = responseEnd
			}
			exchange.responses.send(t.clientDelay(), responsePart{kind: kind})
			return
		}
	}
}

// callControl sends an operator's request to a core. It returns status 0 when no
// response was received.
func (t *Tier) callControl(method, address, path string, header [][2]string, body []byte) (status int, answer []byte) {
	clock := t.CallerHost.Clock()
	m := t.machineNamed(address)
	patience := parties.OrderTimeout(len(body))
	if m == nil || m.Host.poweredOff {
		clock.Sleep(patience)
		return 0, nil
	}
	clock.Sleep(t.clientDelay())
	if !m.Host.alive || m.core == nil || m.stopping {
		return 0, nil
	}
	core, incarnation := m.core, m.Host.incarnation
	responses := newPipe[responsePart](t.CallerHost)
	t.lastNumber++
	exchange := &clientExchange{host: m.Host, responses: responses, number: t.lastNumber}
	t.clientExchanges[exchange] = true
	defer delete(t.clientExchanges, exchange)
	t.World.spawn(m.Host, incarnation, t.World.now+t.clientDelay(), func() {
		exchange.requestRead = true
		m.openRequests++
		defer func() {
			if m.Host.incarnation == incarnation {
				m.openRequests--
			}
		}()
		r := newRequestCtx(method, path, m.Host.Name, header, body)
		platform.ServeOperator(r, m.Host.Clock(), core)
		responses.send(t.clientDelay(), responsePart{kind: responseHead, status: r.Response.StatusCode(), bytes: bytes.Clone(r.Response.Body())})
	})
	part, ok := responses.receive(clock.Now()+patience, nil)
	if !ok || part.kind == responseConnClosed {
		return 0, nil
	}
	return part.status, part.bytes
}

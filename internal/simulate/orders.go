package simulate

import (
	"bytes"
	"fmt"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/node"
	parties "fordseam/internal/standin/platform"
	"fordseam/platform"
)

// OrderShape is the size of a deployment on which an OrderRun runs.
type OrderShape struct {
	Name           string
	Gateways       int
	Cores          int
	Storage        int
	FaultTolerance int
	// RecoveryBound is the deployment's bound for a recovery.
	RecoveryBound time.Duration
}

// OrderShapes are the sizes of the users' four deployments.
var OrderShapes = []OrderShape{
	{"tills", 6, 4, 4, 1, 12 * time.Second},
	{"pay centre", 9, 4, 4, 1, 12 * time.Second},
	{"tills, grown", 64, 5, 9, 2, 15 * time.Second},
	{"pay centre, grown", 55, 8, 9, 2, 15 * time.Second},
}

const (
	orderClients = 8 // concurrent clients
	// orderAttempts is how often a client sends an order without a definite answer; a share
	// of singleAttemptShare gives up after the first attempt.
	orderAttempts      = 60
	singleAttemptShare = 0.1
	// responseLossRate and requestLossRate are the shares of calls that are lost after and
	// before a core has handled them.
	responseLossRate = 0.25
	requestLossRate  = 0.05
)

// OrderRun submits concurrent orders under faults. An order is an operator's request to put
// a configuration in force on top of a given version. Two operators with four clients each
// send orders on the same version and with the same numbers, lose answers, repeat orders and
// read from any core, while the leader of the configuration's shard is killed between its
// steps. The history of their calls must be linearizable.
type OrderRun struct {
	*Fleet
	// Rounds is how often every client sends an order.
	Rounds int
	// StaleLeadersOnly limits the faults to leaders that are cut off or frozen.
	StaleLeadersOnly bool
	History          []OrderEvent
	// Kills counts the kills of leaders by the step that they came before or after.
	Kills map[string]int
	// Breaches lists what was found wrong besides the order of events.
	Breaches []string

	sentDocuments map[string][][]byte // encodings sent, by version and document name
	newestVersion uint64              // newest version that a client knows
	ackedOrders   []Order
	leaderKiller  leaderKiller
}

// Order identifies an order and tells whether its document is invalid.
type Order struct {
	Base, Version uint64
	Document      string
	Invalid       bool
}

// OrderOutcome is the result of an operator's call.
type OrderOutcome int

const (
	// OrderUnknown: the order may have been accepted or not.
	OrderUnknown OrderOutcome = iota
	OrderAccepted
	OrderRefused
	// OrderRead: a read was answered.
	OrderRead
)

// OrderEvent is an operator's call, from its first attempt to its end.
type OrderEvent struct {
	Client     int
	Order      Order // for a read, the order that was returned
	Outcome    OrderOutcome
	Start      time.Duration
	End        time.Duration
	LastStatus int
}

// NewOrderRun builds a fleet and starts it. prepare, if not nil, may change the fleet
// before.
func NewOrderRun(seed uint64, shape OrderShape, prepare func(f *Fleet)) *OrderRun {
	f := buildFleet(seed, Shape{Name: shape.Name, Zones: 4, Gateways: shape.Gateways, Cores: shape.Cores, Storage: shape.Storage, FaultTolerance: shape.FaultTolerance, Bootstrap: true})
	r := &OrderRun{Fleet: f, Rounds: 6, sentDocuments: map[string][][]byte{}, Kills: map[string]int{}}
	f.configure = func(_ *Machine, env *node.Env, config *node.Config) {
		config.Bounds = &base.Bounds{SettingsApply: 2 * time.Second, Drain: 3 * time.Second, Recovery: shape.RecoveryBound, Retention: time.Minute}
		env.Names = &platform.Names
	}
	f.onBuilt = func(m *Machine) {
		switch {
		case m.gateway != nil:
			m.gateway.ParseRoutes = platform.ReadTable
		case m.core != nil:
			m.core.OperatorAPI.ParseRoutes = platform.ReadTableStrict
		}
	}
	f.Net.ResetOnExit = true
	if prepare != nil {
		prepare(f)
	}
	r.leaderKiller = leaderKiller{run: r, next: f.Net.Intercept}
	f.Net.Intercept = r.leaderKiller.intercept
	for _, m := range f.All() {
		f.Start(m)
	}
	return r
}

// encode returns one of several encodings of the order's document.
func (o Order) encode(variant int64) []byte {
	extra := map[bool]string{true: `"extra":1,"extra":2`, false: `"extra":[1.50,{"a":0}]`}[o.Invalid]
	switch variant {
	case 0:
		return fmt.Appendf(nil, `{"generation":%d,"limits":{"idle_ms":15000,"header_bytes":16384},"operator":%q,%s}`, o.Version, o.Document, extra)
	case 1:
		return fmt.Appendf(nil, "{\n  \"operator\": %q, %s,\n  \"generation\": %d.0,\n  \"limits\": {\"header_bytes\": 1.6384e4, \"idle_ms\": 15000}\n}\n", o.Document, extra, o.Version)
	}
	return fmt.Appendf(nil, `{%s,"limits":{"header_bytes":16384.00,"idle_ms":1.5E+4},"\u0067eneration":%d,"operator":%q}`, extra, o.Version, o.Document)
}

// encodingVariants is the number of encodings that encode knows.
const encodingVariants = 3

func (o Order) key() string { return fmt.Sprintf("%d/%s", o.Version, o.Document) }

// callCore makes one call to a core; status 0 means that there was no answer.
func (r *OrderRun) callCore(m *Machine, method, ifMatch string, body []byte) (status int, answer []byte) {
	clock, timeout := r.CallerHost.Clock(), parties.OrderTimeout(len(body))
	if m.Host.poweredOff || r.World.Chance(requestLossRate) {
		clock.Sleep(timeout)
		return 0, nil
	}
	delay := func() time.Duration { return r.World.Between(500*time.Microsecond, 3*time.Millisecond) }
	clock.Sleep(delay())
	if !m.Host.alive || m.core == nil {
		return 0, nil
	}
	core, replies := m.core, newPipe[responsePart](r.CallerHost)
	r.World.spawn(m.Host, m.Host.incarnation, r.World.now+delay(), func() {
		var header [][2]string
		if ifMatch != "" {
			header = append(header, [2]string{parties.HeaderIfMatch, ifMatch})
		}
		request := newRequestCtx(method, parties.PathConfig, m.Host.Name, header, body)
		platform.ServeOperator(request, m.Host.Clock(), core)
		if !r.World.Chance(responseLossRate) {
			replies.send(delay(), responsePart{kind: responseHead, status: request.Response.StatusCode(), bytes: bytes.Clone(request.Response.Body())})
		}
	})
	reply, ok := replies.receive(clock.Now()+timeout, nil)
	if !ok {
		return 0, nil
	}
	return reply.status, reply.bytes
}

// SubmitOrder sends an order until it has a definite answer or the attempts are used up, and
// records the event.
func (r *OrderRun) SubmitOrder(client int, order Order, maxAttempts int) OrderOutcome {
	event := OrderEvent{Client: client, Order: order, Start: r.World.Now()}
	body := order.encode(r.World.Int64N(encodingVariants))
	r.sentDocuments[order.key()] = append(r.sentDocuments[order.key()], body)
	for attempt := 1; attempt <= maxAttempts && event.Outcome == OrderUnknown; attempt++ {
		status, answer := r.callCore(r.pickMachine(r.Cores), "PUT", fmt.Sprint(order.Base), body)
		event.LastStatus = status
		switch {
		case status == 200:
			event.Outcome = OrderAccepted
		case status == 400 || status == 412:
			event.Outcome = OrderRefused
		case status != 0 && status < 500:
			r.Breaches = append(r.Breaches, fmt.Sprintf("order %+v was answered with status %d: %s", order, status, answer))
		default:
			r.CallerHost.Clock().Sleep(parties.OrderBackoff(attempt))
		}
	}
	event.End = r.World.Now()
	r.History = append(r.History, event)
	if event.Outcome == OrderAccepted && !order.Invalid {
		r.ackedOrders = append(r.ackedOrders, order)
		r.newestVersion = max(r.newestVersion, order.Version)
	}
	return event.Outcome
}

// ReadConfig reads the configuration from a random core and records the event.
func (r *OrderRun) ReadConfig(client int) (version uint64, ok bool) {
	event := OrderEvent{Client: client, Start: r.World.Now()}
	status, document := r.callCore(r.pickMachine(r.Cores), "GET", "", nil)
	event.End, event.LastStatus = r.World.Now(), status
	switch {
	case status == 404:
		event.Outcome = OrderRead
	case status == 200:
		event.Outcome, event.Order = OrderRead, r.identify(document)
	case status != 0 && status < 500:
		r.Breaches = append(r.Breaches, fmt.Sprintf("a read was answered with status %d: %s", status, document))
	}
	if event.Outcome == OrderRead {
		r.History = append(r.History, event)
		r.newestVersion = max(r.newestVersion, event.Order.Version)
	}
	return event.Order.Version, event.Outcome == OrderRead
}

// identify returns the order whose document was read, byte for byte.
func (r *OrderRun) identify(content []byte) Order {
	version := parties.GenerationOf(content)
	for _, document := range documentNames() {
		order := Order{Version: version, Document: document}
		for _, body := range r.sentDocuments[order.key()] {
			if bytes.Equal(body, content) {
				return order
			}
		}
	}
	r.Breaches = append(r.Breaches, fmt.Sprintf("a read returned a configuration that was never sent: %s", content))
	return Order{Version: version}
}

// documentNames returns the names of the documents that clients send; two clients of the
// same operator share one.
func documentNames() (names []string) {
	for client := range orderClients {
		names = append(names, documentName(client))
	}
	return names
}

// documentName returns the name of the document that a client sends.
func documentName(client int) string {
	return fmt.Sprintf("operator %d, draft %d", client%2, client/4)
}

// Run lets the clients send orders under faults, stops the faults, and then reads back and
// repeats the accepted orders.
func (r *OrderRun) Run() {
	faultsOn := true
	r.CallerHost.Go(func() { r.injectFaults(func() bool { return faultsOn }) })
	r.runRounds()
	faultsOn = false
	r.stopFaults()
	r.CallerHost.Clock().Sleep(10 * time.Second)
	r.audit()
}

// runRounds starts all orders of a round from the same version, so that they conflict.
func (r *OrderRun) runRounds() {
	clock := r.CallerHost.Clock()
	for round := range r.Rounds {
		baseVersion, step := r.newestVersion, 1+uint64(r.World.Int64N(3))
		remaining := orderClients
		done := base.NewNotifier(clock)
		for client := range orderClients {
			r.CallerHost.Go(func() {
				clock.Sleep(r.World.Between(0, 30*time.Millisecond))
				r.runClient(client, round, Order{Base: baseVersion, Version: baseVersion + step, Document: documentName(client)})
				remaining--
				done.Notify()
			})
		}
		for next := done.Next(); remaining > 0; next = done.Next() {
			next.Wait(time.Second)
		}
		if r.newestVersion == baseVersion { // no order is known to be accepted
			r.ReadConfig(0)
		}
	}
}

// runClient runs one client's part of a round: an order, sometimes an invalid one, sometimes
// the repeat of an acknowledged order, and a read.
func (r *OrderRun) runClient(client, round int, order Order) {
	order.Invalid = (client+round)%16 == 15
	if order.Invalid {
		order.Document += ", invalid"
	}
	if r.World.Chance(0.1) {
		order.Version += uint64(1 + r.World.Int64N(3))
	}
	if r.World.Chance(0.05) && order.Base > 0 {
		order.Base-- // an outdated version, or one that was never in force
	}
	attempts := orderAttempts
	if r.World.Chance(singleAttemptShare) {
		attempts = 1
	}
	r.SubmitOrder(client, order, attempts)
	if r.World.Chance(0.5) && len(r.ackedOrders) > 0 {
		r.SubmitOrder(client, r.ackedOrders[r.World.Int64N(int64(len(r.ackedOrders)))], orderAttempts)
	}
	r.ReadConfig(client)
}

// audit reads the configuration and repeats every acknowledged order.
func (r *OrderRun) audit() {
	read := false
	for range orderAttempts {
		if _, read = r.ReadConfig(0); read {
			break
		}
		r.CallerHost.Clock().Sleep(500 * time.Millisecond)
	}
	if !read {
		r.Breaches = append(r.Breaches, "the configuration could not be read after the faults")
	}
	repeated := map[Order]bool{}
	for _, order := range append([]Order(nil), r.ackedOrders...) {
		if repeated[order] {
			continue
		}
		repeated[order] = true
		if r.SubmitOrder(0, order, orderAttempts) != OrderAccepted {
			r.Breaches = append(r.Breaches, fmt.Sprintf("acknowledged order %+v is not acknowledged when repeated", order))
		}
	}
}

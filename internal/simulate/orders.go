// Days of configuration orders: two operators send eight orders at once on the
// same version and under the same numbers, lose acknowledgements, send again,
// and read back from any core, while the leader of the configuration's shard is
// killed between its steps. What they were told is a history, and is checked
// against a register with compare-and-set and idempotent repeats.

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

// OrderShape is a deployment at the size of one of the sites.
type OrderShape struct {
	Name           string
	Gateways       int
	Cores          int
	Storage        int
	FaultTolerance int
	// RecoveryBound is the deployment's bound of a recovery.
	RecoveryBound time.Duration
}

// OrderShapes are the sizes of the four sites.
var OrderShapes = []OrderShape{
	{"tills", 6, 4, 4, 1, 12 * time.Second},
	{"pay centre", 9, 4, 4, 1, 12 * time.Second},
	{"tills, grown", 64, 5, 9, 2, 15 * time.Second},
	{"pay centre, grown", 55, 8, 9, 2, 15 * time.Second},
}

const (
	orderClients = 8 // orders under way at once
	// orderAttempts is how often a sender sends an order that gets no clear answer;
	// one in impatientShare is left after its first.
	orderAttempts      = 60
	singleAttemptShare = 0.1
	// responseLossRate and orderLost are the shares of calls that the network loses
	// after and before a core has dealt with them.
	responseLossRate = 0.25
	requestLossRate  = 0.05
)

// OrderRun is one run.
type OrderRun struct {
	*Fleet
	// Rounds is how often all senders send an order each.
	Rounds int
	// StaleLeadersOnly has the leader cut off and frozen, and nothing else happen.
	StaleLeadersOnly bool
	History          []OrderEvent
	// Kills counts the leader's ends by the step that they came before or after.
	Kills map[string]int
	// Breaches are what was seen wrong besides the order of events.
	Breaches []string

	sentDocuments map[string][][]byte // what was written for a document, by version and document
	newestVersion uint64              // the newest version that operators have heard of
	ackedOrders   []Order
	leaderKiller  leaderKiller
}

// Order is what identifies an order, and whether its document is invalid.
type Order struct {
	Base, Version uint64
	Document      string
	Invalid       bool
}

// OrderOutcome is how a call of an operator ended.
type OrderOutcome int

const (
	// OrderUnknown is an order that may or may not have been taken.
	OrderUnknown OrderOutcome = iota
	OrderAccepted
	OrderRefused
	// OrderRead is a read that was answered.
	OrderRead
)

// OrderEvent is a call of an operator, from its first try to its end.
type OrderEvent struct {
	Client     int
	Order      Order // of a read, what it was given
	Outcome    OrderOutcome
	Start      time.Duration
	End        time.Duration
	LastStatus int
}

// NewOrderRun builds a fleet and starts it; change, if not nil, changes the
// fleet before it starts.
func NewOrderRun(seed uint64, shape OrderShape, prepare func(f *Fleet)) *OrderRun {
	f := buildFleet(seed, Shape{Name: shape.Name, Zones: 4, Gateways: shape.Gateways, Cores: shape.Cores, Storage: shape.Storage, FaultTolerance: shape.FaultTolerance, Bootstrap: true})
	r := &OrderRun{Fleet: f, Rounds: 6, sentDocuments: map[string][][]byte{}, Kills: map[string]int{}}
	f.configure = func(_ *Machine, env *node.Env, place *node.Config) {
		place.Bounds = &base.Bounds{SettingsApply: 2 * time.Second, Drain: 3 * time.Second, Recovery: shape.RecoveryBound, Retention: time.Minute}
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

// encode spells an order's document; every spelling is of the same document.
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

const encodingVariants = 3

func (o Order) key() string { return fmt.Sprintf("%d/%s", o.Version, o.Document) }

// pendingCall makes one call to a core; status 0 is no clear answer.
func (r *OrderRun) callCore(m *Machine, method, ifMatch string, body []byte) (status int, answer []byte) {
	clock, timeout := r.CallerHost.Clock(), parties.OrderPatience(len(body))
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

// SubmitOrder sends an order until it has a clear answer, or tries are over, and notes
// how it went.
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
			r.Breaches = append(r.Breaches, fmt.Sprintf("order %+v was answered %d: %s", order, status, answer))
		default:
			r.CallerHost.Clock().Sleep(parties.OrderPause(attempt))
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

// ReadConfig reads the configuration from any core, and notes what it was given.
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
		r.Breaches = append(r.Breaches, fmt.Sprintf("a read was answered %d: %s", status, document))
	}
	if event.Outcome == OrderRead {
		r.History = append(r.History, event)
		r.newestVersion = max(r.newestVersion, event.Order.Version)
	}
	return event.Order.Version, event.Outcome == OrderRead
}

// identify finds what was read among what was sent, byte for byte.
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
	r.Breaches = append(r.Breaches, fmt.Sprintf("what was read was never sent: %s", content))
	return Order{Version: version}
}

// documentNames are the documents that senders send; two senders of the same
// runOperator share one.
func documentNames() (names []string) {
	for client := range orderClients {
		names = append(names, documentName(client))
	}
	return names
}

func documentName(client int) string {
	return fmt.Sprintf("operator %d, draft %d", client%2, client/4)
}

// Run has the senders send their orders under trouble, and then reads back and
// sends again in calm.
func (r *OrderRun) Run() {
	faultsOn := true
	r.CallerHost.Go(func() { r.injectFaults(func() bool { return faultsOn }) })
	r.runRounds()
	faultsOn = false
	r.stopFaults()
	r.CallerHost.Clock().Sleep(10 * time.Second)
	r.audit()
}

// runRounds has each round start from one version, so that all senders collide.
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
		if r.newestVersion == baseVersion { // nothing is known to have been taken
			r.ReadConfig(0)
		}
	}
}

// submit is one sender's part of a round: an order, perhaps a bad one, the repeat
// of one that was acknowledged, and a read.
func (r *OrderRun) runClient(client, round int, order Order) {
	order.Invalid = (client+round)%16 == 15
	if order.Invalid {
		order.Document += ", invalid"
	}
	if r.World.Chance(0.1) {
		order.Version += uint64(1 + r.World.Int64N(3))
	}
	if r.World.Chance(0.05) && order.Base > 0 {
		order.Base-- // of a version that was in force long ago, or never
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

// audit reads back and sends every order again that was acknowledged.
func (r *OrderRun) audit() {
	read := false
	for range orderAttempts {
		if _, read = r.ReadConfig(0); read {
			break
		}
		r.CallerHost.Clock().Sleep(500 * time.Millisecond)
	}
	if !read {
		r.Breaches = append(r.Breaches, "the configuration could not be read back in calm")
	}
	repeated := map[Order]bool{}
	for _, order := range append([]Order(nil), r.ackedOrders...) {
		if repeated[order] {
			continue
		}
		repeated[order] = true
		if r.SubmitOrder(0, order, orderAttempts) != OrderAccepted {
			r.Breaches = append(r.Breaches, fmt.Sprintf("order %+v was acknowledged, and is not acknowledged again", order))
		}
	}
}

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
	orderSenders = 8 // orders under way at once
	// orderTries is how often a sender sends an order that gets no clear answer;
	// one in impatientShare is left after its first.
	orderTries     = 60
	impatientShare = 0.1
	// answerLost and orderLost are the shares of calls that the network loses
	// after and before a core has dealt with them.
	answerLost = 0.25
	orderLost  = 0.05
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

	sent   map[string][][]byte // what was written for a document, by version and document
	known  uint64              // the newest version that operators have heard of
	acked  []Order
	killer leaderKiller
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
func NewOrderRun(seed uint64, shape OrderShape, change func(f *Fleet)) *OrderRun {
	f := layFleet(seed, Shape{Name: shape.Name, Zones: 4, Edges: shape.Gateways, Cores: shape.Cores, Storage: shape.Storage, Tolerate: shape.FaultTolerance, Found: true})
	d := &OrderRun{Fleet: f, Rounds: 6, sent: map[string][][]byte{}, Kills: map[string]int{}}
	f.equip = func(_ *Machine, env *node.Env, place *node.Config) {
		place.Bounds = &base.Bounds{SettingsApply: 2 * time.Second, Drain: 3 * time.Second, Recovery: shape.RecoveryBound, Retention: time.Minute}
		env.Names = &platform.Names
	}
	f.begins = func(m *Machine) {
		switch {
		case m.gateway != nil:
			m.gateway.ParseRoutes = platform.ReadTable
		case m.core != nil:
			m.core.OperatorAPI.ParseRoutes = platform.ReadTableStrict
		}
	}
	f.Net.ResetOnExit = true
	if change != nil {
		change(f)
	}
	d.killer = leaderKiller{day: d, inner: f.Net.Intercept}
	f.Net.Intercept = d.killer.meddle
	for _, m := range f.All() {
		f.Start(m)
	}
	return d
}

// written spells an order's document; every spelling is of the same document.
func (o Order) written(spelling int64) []byte {
	fill := map[bool]string{true: `"extra":1,"extra":2`, false: `"extra":[1.50,{"a":0}]`}[o.Invalid]
	switch spelling {
	case 0:
		return fmt.Appendf(nil, `{"generation":%d,"limits":{"idle_ms":15000,"header_bytes":16384},"operator":%q,%s}`, o.Version, o.Document, fill)
	case 1:
		return fmt.Appendf(nil, "{\n  \"operator\": %q, %s,\n  \"generation\": %d.0,\n  \"limits\": {\"header_bytes\": 1.6384e4, \"idle_ms\": 15000}\n}\n", o.Document, fill, o.Version)
	}
	return fmt.Appendf(nil, `{%s,"limits":{"header_bytes":16384.00,"idle_ms":1.5E+4},"\u0067eneration":%d,"operator":%q}`, fill, o.Version, o.Document)
}

const spellings = 3

func (o Order) key() string { return fmt.Sprintf("%d/%s", o.Version, o.Document) }

// call makes one call to a core; status 0 is no clear answer.
func (d *OrderRun) call(m *Machine, method, ifMatch string, body []byte) (status int, answer []byte) {
	clock, patience := d.CallerHost.Clock(), parties.OrderPatience(len(body))
	if m.Host.dark || d.World.Chance(orderLost) {
		clock.Sleep(patience)
		return 0, nil
	}
	way := func() time.Duration { return d.World.Between(500*time.Microsecond, 3*time.Millisecond) }
	clock.Sleep(way())
	if !m.Host.alive || m.core == nil {
		return 0, nil
	}
	core, replies := m.core, newPipe[answered](d.CallerHost)
	d.World.spawn(m.Host, m.Host.life, d.World.now+way(), func() {
		var header [][2]string
		if ifMatch != "" {
			header = append(header, [2]string{parties.HeaderIfMatch, ifMatch})
		}
		r := inProcess(method, parties.PathConfig, m.Host.Name, header, body)
		platform.ServeOperator(r, m.Host.Clock(), core)
		if !d.World.Chance(answerLost) {
			replies.put(way(), answered{kind: answeredHead, status: r.Response.StatusCode(), bytes: bytes.Clone(r.Response.Body())})
		}
	})
	one, ok := replies.next(clock.Now()+patience, nil)
	if !ok {
		return 0, nil
	}
	return one.status, one.bytes
}

// SubmitOrder sends an order until it has a clear answer, or tries are over, and notes
// how it went.
func (d *OrderRun) SubmitOrder(sender int, order Order, tries int) OrderOutcome {
	event := OrderEvent{Client: sender, Order: order, Start: d.World.Now()}
	body := order.written(d.World.Int64N(spellings))
	d.sent[order.key()] = append(d.sent[order.key()], body)
	for try := 1; try <= tries && event.Outcome == OrderUnknown; try++ {
		status, answer := d.call(d.pick(d.Cores), "PUT", fmt.Sprint(order.Base), body)
		event.LastStatus = status
		switch {
		case status == 200:
			event.Outcome = OrderAccepted
		case status == 400 || status == 412:
			event.Outcome = OrderRefused
		case status != 0 && status < 500:
			d.Breaches = append(d.Breaches, fmt.Sprintf("order %+v was answered %d: %s", order, status, answer))
		default:
			d.CallerHost.Clock().Sleep(parties.OrderPause(try))
		}
	}
	event.End = d.World.Now()
	d.History = append(d.History, event)
	if event.Outcome == OrderAccepted && !order.Invalid {
		d.acked = append(d.acked, order)
		d.known = max(d.known, order.Version)
	}
	return event.Outcome
}

// ReadConfig reads the configuration from any core, and notes what it was given.
func (d *OrderRun) ReadConfig(sender int) (version uint64, ok bool) {
	event := OrderEvent{Client: sender, Start: d.World.Now()}
	status, raw := d.call(d.pick(d.Cores), "GET", "", nil)
	event.End, event.LastStatus = d.World.Now(), status
	switch {
	case status == 404:
		event.Outcome = OrderRead
	case status == 200:
		event.Outcome, event.Order = OrderRead, d.recognise(raw)
	case status != 0 && status < 500:
		d.Breaches = append(d.Breaches, fmt.Sprintf("a read was answered %d: %s", status, raw))
	}
	if event.Outcome == OrderRead {
		d.History = append(d.History, event)
		d.known = max(d.known, event.Order.Version)
	}
	return event.Order.Version, event.Outcome == OrderRead
}

// recognise finds what was read among what was sent, byte for byte.
func (d *OrderRun) recognise(raw []byte) Order {
	version := parties.GenerationOf(raw)
	for _, document := range documentNames() {
		order := Order{Version: version, Document: document}
		for _, body := range d.sent[order.key()] {
			if bytes.Equal(body, raw) {
				return order
			}
		}
	}
	d.Breaches = append(d.Breaches, fmt.Sprintf("what was read was never sent: %s", raw))
	return Order{Version: version}
}

// documentNames are the documents that senders send; two senders of the same
// operator share one.
func documentNames() (names []string) {
	for sender := range orderSenders {
		names = append(names, documentName(sender))
	}
	return names
}

func documentName(sender int) string {
	return fmt.Sprintf("operator %d, draft %d", sender%2, sender/4)
}

// Run has the senders send their orders under trouble, and then reads back and
// sends again in calm.
func (d *OrderRun) Run() {
	trouble := true
	d.CallerHost.Go(func() { d.trouble(func() bool { return trouble }) })
	d.rounds()
	trouble = false
	d.calm()
	d.CallerHost.Clock().Sleep(10 * time.Second)
	d.audit()
}

// rounds has each round start from one version, so that all senders collide.
func (d *OrderRun) rounds() {
	clock := d.CallerHost.Clock()
	for round := range d.Rounds {
		start, step := d.known, 1+uint64(d.World.Int64N(3))
		under := orderSenders
		done := base.NewNotifier(clock)
		for sender := range orderSenders {
			d.CallerHost.Go(func() {
				clock.Sleep(d.World.Between(0, 30*time.Millisecond))
				d.send(sender, round, Order{Base: start, Version: start + step, Document: documentName(sender)})
				under--
				done.Notify()
			})
		}
		for next := done.Next(); under > 0; next = done.Next() {
			next.Wait(time.Second)
		}
		if d.known == start { // nothing is known to have been taken
			d.ReadConfig(0)
		}
	}
}

// send is one sender's part of a round: an order, perhaps a bad one, the repeat
// of one that was acknowledged, and a read.
func (d *OrderRun) send(sender, round int, order Order) {
	order.Invalid = (sender+round)%16 == 15
	if order.Invalid {
		order.Document += ", invalid"
	}
	if d.World.Chance(0.1) {
		order.Version += uint64(1 + d.World.Int64N(3))
	}
	if d.World.Chance(0.05) && order.Base > 0 {
		order.Base-- // of a version that was in force long ago, or never
	}
	tries := orderTries
	if d.World.Chance(impatientShare) {
		tries = 1
	}
	d.SubmitOrder(sender, order, tries)
	if d.World.Chance(0.5) && len(d.acked) > 0 {
		d.SubmitOrder(sender, d.acked[d.World.Int64N(int64(len(d.acked)))], orderTries)
	}
	d.ReadConfig(sender)
}

// audit reads back and sends every order again that was acknowledged.
func (d *OrderRun) audit() {
	read := false
	for range orderTries {
		if _, read = d.ReadConfig(0); read {
			break
		}
		d.CallerHost.Clock().Sleep(500 * time.Millisecond)
	}
	if !read {
		d.Breaches = append(d.Breaches, "the configuration could not be read back in calm")
	}
	again := map[Order]bool{}
	for _, order := range append([]Order(nil), d.acked...) {
		if again[order] {
			continue
		}
		again[order] = true
		if d.SubmitOrder(0, order, orderTries) != OrderAccepted {
			d.Breaches = append(d.Breaches, fmt.Sprintf("order %+v was acknowledged, and is not acknowledged again", order))
		}
	}
}

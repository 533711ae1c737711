// The history of configuration orders must be linearizable, whatever fails between the steps
// of the cores that decide them.
package simulate

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/register"
	"fordseam/internal/route"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"
)

// linearizabilityTimeout bounds the check of one history, in real time.
const linearizabilityTimeout = 2 * time.Minute

// runOrders runs an OrderRun and returns it with its breaches.
func runOrders(seed uint64, shape OrderShape, staleLeadersOnly bool, prepare func(f *Fleet)) (*OrderRun, []string) {
	run := NewOrderRun(seed, shape, prepare)
	run.StaleLeadersOnly = staleLeadersOnly
	defer run.World.Close()
	done := false
	run.CallerHost.Go(func() {
		run.Run()
		done = true
	})
	if !run.World.Run(time.Hour, func() bool { return done }) {
		return run, append(run.Breaches, "the run did not finish")
	}
	breaches := run.Breaches
	if result := CheckLinearizable(run.History, linearizabilityTimeout); result != porcupine.Ok {
		breaches = append(breaches, fmt.Sprintf("the history of %d calls is not linearizable: %s", len(run.History), result))
	}
	return run, breaches
}

// summary returns counts of the history as text.
func (r *OrderRun) summary() string {
	count := map[OrderOutcome]int{}
	for _, event := range r.History {
		count[event.Outcome]++
	}
	return fmt.Sprintf("%d versions, %d accepted, %d refused, %d unknown, %d reads, kills %v, %.0f s", r.newestVersion, count[OrderAccepted], count[OrderRefused], count[OrderUnknown],
		count[OrderRead], r.Kills, r.World.Now().Seconds())
}

func TestOrdersAreLinearizable(t *testing.T) {
	for _, shape := range OrderShapes {
		t.Run(shape.Name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= uint64(*seedCount); seed++ {
				run, breaches := runOrders(seed, shape, seed%4 == 0, nil)
				t.Logf("seed %d: %s", seed, run.summary())
				for _, breach := range breaches {
					t.Errorf("seed %d: %s", seed, breach)
				}
			}
		})
	}
}

func TestOrderModelRejectsViolations(t *testing.T) {
	is := is.New(t)
	event := func(start, end int, outcome OrderOutcome, base, version uint64, document string) OrderEvent {
		return OrderEvent{Order: Order{Base: base, Version: version, Document: document}, Outcome: outcome, Start: time.Duration(start), End: time.Duration(end)}
	}
	invalid := event(1, 2, OrderAccepted, 0, 1, "a")
	invalid.Order.Invalid = true
	for _, row := range []struct {
		name    string
		history []OrderEvent
		want    porcupine.CheckResult
	}{
		{"a race has one winner", []OrderEvent{event(1, 5, OrderAccepted, 0, 1, "a"), event(1, 5, OrderRefused, 0, 1, "b"), event(6, 7, OrderRead, 0, 1, "a")}, porcupine.Ok},
		{"a repeat long after", []OrderEvent{event(1, 2, OrderAccepted, 0, 1, "a"), event(3, 4, OrderAccepted, 1, 2, "b"), event(5, 6, OrderAccepted, 0, 1, "a")}, porcupine.Ok},
		{"an unclear order shows later", []OrderEvent{event(1, 2, OrderUnknown, 0, 1, "a"), event(3, 4, OrderRead, 0, 0, ""), event(5, 6, OrderRead, 0, 1, "a")}, porcupine.Ok},
		{"an unclear order never shows", []OrderEvent{event(1, 2, OrderUnknown, 0, 1, "a"), event(3, 4, OrderAccepted, 0, 1, "b"), event(5, 6, OrderRead, 0, 1, "b")}, porcupine.Ok},
		{"two winners", []OrderEvent{event(1, 5, OrderAccepted, 0, 1, "a"), event(1, 5, OrderAccepted, 0, 1, "b")}, porcupine.Illegal},
		{"two numbers on one version", []OrderEvent{event(1, 5, OrderAccepted, 0, 1, "a"), event(1, 5, OrderAccepted, 0, 2, "a")}, porcupine.Illegal},
		{"a refused repeat", []OrderEvent{event(1, 2, OrderAccepted, 0, 1, "a"), event(3, 4, OrderAccepted, 1, 2, "b"), event(5, 6, OrderRefused, 0, 1, "a")}, porcupine.Illegal},
		{"a refusal out of what was known before", []OrderEvent{event(1, 2, OrderAccepted, 0, 1, "a"), event(3, 4, OrderRefused, 1, 2, "b")}, porcupine.Illegal},
		{"an older configuration read", []OrderEvent{event(1, 2, OrderAccepted, 0, 1, "a"), event(3, 4, OrderAccepted, 1, 2, "b"), event(5, 6, OrderRead, 0, 1, "a")}, porcupine.Illegal},
		{"the same on another version", []OrderEvent{event(1, 2, OrderAccepted, 0, 1, "a"), event(3, 4, OrderAccepted, 1, 2, "b"), event(5, 6, OrderAccepted, 1, 1, "a")}, porcupine.Illegal},
		{"a refused order in force", []OrderEvent{event(1, 2, OrderRefused, 0, 1, "a"), event(3, 4, OrderRead, 0, 1, "a")}, porcupine.Illegal},
		{"an invalid order taken", []OrderEvent{invalid}, porcupine.Illegal},
	} {
		if result := CheckLinearizable(row.history, linearizabilityTimeout); result != row.want {
			t.Errorf("%s: result %s", row.name, result)
		}
	}
	is.True(len(OrderShapes) == 4)
}

// Each mechanism that linearizability depends on is disabled; some seed must detect that.
func TestDisabledOrderMechanismsAreDetected(t *testing.T) {
	for _, row := range []struct {
		mechanism        string
		staleLeadersOnly bool
		disable          func(f *Fleet)
	}{
		{"the history of orders", false, interceptChange("route.change", func(_ *Message, request *register.ChangeRequest, pass func(string, []byte) (*register.ChangeReply, *http.Response)) *http.Response {
			// Change the digest of outdated orders, so that they are not recognized as
			// repeats.
			var change route.Change
			var current route.Document
			reply, response := pass("route.read", []byte("{}"))
			if response == nil || response.StatusCode != http.StatusOK || json.Unmarshal(reply.Result, &current) != nil || json.Unmarshal(request.Args, &change) != nil {
				return response
			}
			if change.Base != current.Version {
				change.Digest = base.Digest(nil)
			}
			_, response = pass("route.change", base.MustMarshal(change))
			return response
		})},
		{"the confirmation before a refusal or a read", true, interceptPath("Disk/Confirm", func(*Message) *http.Response {
			return protoResponse(&register.Ack{Ok: true})
		})},
		{"the version that an order builds on", false, interceptChange("route.change", func(_ *Message, request *register.ChangeRequest, pass func(string, []byte) (*register.ChangeReply, *http.Response)) *http.Response {
			var change route.Change
			var current route.Document
			reply, response := pass("route.read", []byte("{}"))
			if response == nil || response.StatusCode != http.StatusOK || json.Unmarshal(reply.Result, &current) != nil || json.Unmarshal(request.Args, &change) != nil {
				return response
			}
			change.Base = current.Version
			_, response = pass("route.change", base.MustMarshal(change))
			return response
		})},
	} {
		t.Run(row.mechanism, func(t *testing.T) {
			t.Parallel()
			const maxSeeds = 40 // the first seed that detects it ends the test
			for seed := uint64(1); seed <= maxSeeds; seed++ {
				if run, breaches := runOrders(seed, OrderShapes[0], row.staleLeadersOnly, row.disable); len(breaches) > 0 {
					t.Logf("seed %d, %s: %s", seed, run.summary(), breaches)
					return
				}
			}
			t.Errorf("none of %d seeds detected the missing mechanism", maxSeeds)
		})
	}
}

// Every core acknowledges an order again after 65, 500 and 3,000 versions, also after
// leaders were killed and all machines lost power.
func TestRepeatedOrderIsAcknowledgedAfterManyVersions(t *testing.T) {
	t.Parallel()
	run := NewOrderRun(1, OrderShapes[0], nil)
	defer run.World.Close()
	done := false
	orders := []Order{{}}
	next := func(number int) Order {
		return Order{Base: orders[number-1].Version, Version: uint64(3*number + number%2), Document: documentName(number % orderClients)}
	}
	submit := func(number int) {
		order := next(number)
		if run.SubmitOrder(0, order, orderAttempts) != OrderAccepted {
			t.Errorf("order %d was not accepted", number)
		}
		orders = append(orders, order)
	}
	repeat := func(number int, others []Order) {
		for range run.Cores {
			if outcome := run.SubmitOrder(0, orders[number], orderAttempts); outcome != OrderAccepted {
				t.Errorf("repeat of order %d of %d: outcome %d", number, len(orders)-1, outcome)
			}
		}
		for _, other := range others {
			if outcome := run.SubmitOrder(0, other, orderAttempts); outcome != OrderRefused {
				t.Errorf("%+v, instead of order %d of %d: outcome %d", other, number, len(orders)-1, outcome)
			}
		}
	}
	repeats := func() {
		for _, since := range []int{1, 63, 64, 65, 500, 3000} {
			if number := len(orders) - 1 - since; number > 0 {
				otherDocument := orders[number]
				otherDocument.Document = "operator 0, draft 9"
				otherBase := orders[number]
				otherBase.Base++
				repeat(number, []Order{otherDocument, otherBase})
			}
		}
	}
	run.CallerHost.Go(func() {
		run.CallerHost.Clock().Sleep(3 * time.Second)
		for number := 1; number <= 3001; number++ {
			submit(number)
			switch number {
			case 66, 501, 3001:
				repeats()
			}
			if number%500 == 250 {
				leader := run.leader()
				run.Kill(leader)
				run.Start(leader)
			}
		}
		for _, m := range run.All() {
			run.PowerLoss(m)
		}
		for _, m := range run.All() {
			run.Start(m)
		}
		repeats()
		done = true
	})
	if !run.World.Run(5*time.Hour, func() bool { return done }) {
		t.Fatal("the run did not finish")
	}
	received := 0
	for key, value := range run.Gateways[0].gateway.Follower.Snapshot().Values {
		if key != route.FeedKey && strings.HasPrefix(key, "routes/") {
			t.Errorf("a gateway received the key %s", key)
		}
		received += len(key) + len(value)
	}
	t.Logf("%d versions in %.0f s; a gateway received %d bytes", len(orders)-1, run.World.Now().Seconds(), received)
	if received > 4096 {
		t.Errorf("a gateway received %d bytes, more than 4096", received)
	}
	for _, breach := range run.Breaches {
		t.Error(breach)
	}
}

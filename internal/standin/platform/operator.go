package platform

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"fordseam/internal/base"

	"github.com/go-faster/jx"
	"github.com/juju/errors"
)

// ControlCall makes one call to a node's control API, waits for the answer as long as
// OrderTimeout says, and returns status 0 if there is no definite answer.
type ControlCall func(method, address, path string, header [][2]string, body []byte) (status int, answer []byte)

// Operator calls the control API of the nodes, moves on to another node after failures and
// time-outs, and records the answers. Call transports the calls, so that the same operator
// works over sockets and in virtual time.
type Operator struct {
	Name     string
	Clock    base.Clock
	Recorder *Recorder
	Call     ControlCall
	// Control lists the control addresses that the operator knows.
	Control func() []string

	mu  sync.Mutex
	Rng *rand.Rand
}

// pickNode chooses a random node other than exclude, unless that is the only one.
func (o *Operator) pickNode(exclude string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	candidates := base.Filter(o.Control(), func(address string) bool { return address != exclude })
	if len(candidates) == 0 {
		return exclude
	}
	return candidates[o.Rng.IntN(len(candidates))]
}

// callUntilDone repeats a call on changing nodes until it is done or its time is over; unclear
// is set when a call may have taken effect without a definite answer.
func (o *Operator) callUntilDone(method, path string, header [][2]string, body []byte, until time.Duration) (status int, answer []byte, unclear bool, address string) {
	for calls := 1; ; calls++ {
		address = o.pickNode(address)
		status, answer = o.Call(method, address, path, header, body)
		if NextOrderStep(status, calls) == OrderDone {
			return status, answer, unclear, address
		}
		// Statuses such as 408, 429 and 503 promise that the call had no effect.
		unclear = unclear || !PromisesNotRun(status)
		backoff := OrderBackoff(calls)
		if o.Clock.Now()+backoff > until {
			return status, answer, unclear, address
		}
		o.Clock.Sleep(backoff)
	}
}

// PutConfig sends a configuration until it has a definite answer or the timeout is over.
func (o *Operator) PutConfig(base uint64, config *Config, raw []byte, fault string, timeout time.Duration) *Order {
	order := &Order{Operator: o.Name, Base: base, Config: config, Raw: raw, Fault: fault, Sent: o.Clock.Now(), Unclear: true}
	o.Recorder.Update(func(r *Record) { r.Orders = append(r.Orders, order) })
	status, _, unclear, node := o.callUntilDone("PUT", PathConfig, [][2]string{{HeaderIfMatch, strconv.FormatUint(base, 10)}}, raw, order.Sent+timeout)
	o.Recorder.Update(func(*Record) {
		order.Status, order.Unclear, order.Ended, order.Node = status, unclear, o.Clock.Now(), node
	})
	return order
}

// ReadConfig reads the current configuration, and adds the answer to the record if asked to.
func (o *Operator) ReadConfig(record bool) (status int, raw []byte) {
	status, raw = o.Call("GET", o.pickNode(""), PathConfig, nil, nil)
	if record {
		o.Recorder.Update(func(r *Record) {
			r.Reads = append(r.Reads, ReadBack{At: o.Clock.Now(), Status: status, Raw: raw})
		})
	}
	return status, raw
}

// ReadConfigRepeatedly reads and records the configuration as at the end of a run: repeatedly
// for span, and then until a read has succeeded or limit is over.
func (o *Operator) ReadConfigRepeatedly(span, limit time.Duration) {
	startedAt, received := o.Clock.Now(), false
	for tries := 1; ; tries++ {
		status, _ := o.ReadConfig(true)
		received = received || status == 200
		elapsed := o.Clock.Now() - startedAt
		if elapsed >= span && received || elapsed >= limit {
			return
		}
		o.Clock.Sleep(min(500*time.Millisecond, span/4))
	}
}

// Retire asks for a storage machine to be emptied and waits until that is complete.
func (o *Operator) Retire(node string, within, timeout time.Duration) error {
	until := o.Clock.Now() + timeout
	status, answer, unclear, _ := o.callUntilDone("POST", PathRetire+node, nil, []byte(fmt.Sprintf(`{"within_s":%d}`, int(within.Seconds()))), until)
	// After a call without a definite answer, 409 means that the retirement is under way.
	if status != 200 && !(status == 409 && unclear) {
		return errors.Errorf("retire node %s: status %d: %s", node, status, answer)
	}
	for {
		status, answer = o.Call("GET", o.pickNode(""), PathRetire+node, nil, nil)
		if status == 200 && retirementState(answer) == RetireComplete {
			return nil
		}
		if o.Clock.Now() > until {
			return errors.Errorf("retire node %s: status %d: %s", node, status, answer)
		}
		o.Clock.Sleep(250 * time.Millisecond)
	}
}

// retirementState returns the state field of an answer.
func retirementState(answer []byte) (state string) {
	_ = jx.DecodeBytes(answer).Obj(func(d *jx.Decoder, key string) (err error) {
		if key != "state" {
			return d.Skip()
		}
		state, err = d.Str()
		return err
	})
	return state
}

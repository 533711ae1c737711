// What a history of orders is checked against: a register that holds one
// configuration and changes by compare-and-set, with idempotent repeats.

package simulate

import (
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

// taken is a configuration that came into force.
type acceptedConfig struct {
	version  uint64
	document string
}

// orderState is the configuration in force and all that came into force before
// it, as text, so that equal states compare as equal.
type orderState struct {
	current  acceptedConfig
	accepted string
}

func chainEntry(base, version uint64, document string) string {
	return fmt.Sprintf("|%d>%d:%s|", base, version, document)
}

// step tells whether a register in a state may answer a call so, and gives the
// state after.
func (s orderState) step(order Order, outcome OrderOutcome) (bool, orderState) {
	entry := chainEntry(order.Base, order.Version, order.Document)
	repeated := strings.Contains(s.accepted, entry)
	applies := !order.Invalid && order.Base == s.current.version && order.Version > order.Base
	next := s
	if applies {
		next = orderState{acceptedConfig{order.Version, order.Document}, s.accepted + entry}
	}
	switch outcome {
	case OrderAccepted:
		return repeated || applies, next
	case OrderRefused:
		return !repeated && !applies, s
	case OrderRead:
		return order.Version == s.current.version && order.Document == s.current.document, s
	}
	return true, next // no clear answer: taken if it could be, at whatever time
}

// orderModel is the sequential model.
var orderModel = porcupine.Model{
	Init: func() any { return orderState{} },
	Step: func(state, input, output any) (bool, any) {
		return state.(orderState).step(input.(Order), output.(OrderOutcome))
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v: %d", input, output) },
}

// CheckLinearizable checks a history: Ok, Illegal, or Unknown when the time that is
// given is over before it is known.
func CheckLinearizable(history []OrderEvent, timeout time.Duration) porcupine.CheckResult {
	operations := make([]porcupine.Operation, 0, len(history))
	for _, event := range history {
		end := int64(event.End)
		if event.Outcome == OrderUnknown {
			end = math.MaxInt64 // it may be taken at any time after it was sent
		}
		operations = append(operations, porcupine.Operation{ClientId: event.Client, Input: event.Order, Call: int64(event.Start), Output: event.Outcome, Return: end})
	}
	return porcupine.CheckOperationsTimeout(orderModel, operations, timeout)
}

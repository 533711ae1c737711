package simulate

import (
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

// acceptedConfig is a configuration that came into force.
type acceptedConfig struct {
	version  uint64
	document string
}

// orderState is the state of the model: the configuration in force and the history of all
// that were, as text, so that equal states compare equal.
type orderState struct {
	current  acceptedConfig
	accepted string
}

// chainEntry is an accepted order as text.
func chainEntry(base, version uint64, document string) string {
	return fmt.Sprintf("|%d>%d:%s|", base, version, document)
}

// step reports whether the model may answer a call with an outcome, and returns the state
// after it.
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
	return true, next // unknown: it took effect if it could
}

// orderModel is the sequential model of a register that holds one configuration and changes
// by compare-and-set; repeats of accepted orders succeed.
var orderModel = porcupine.Model{
	Init: func() any { return orderState{} },
	Step: func(state, input, output any) (bool, any) {
		return state.(orderState).step(input.(Order), output.(OrderOutcome))
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v: %d", input, output) },
}

// CheckLinearizable checks a history: Ok, Illegal, or Unknown if the timeout expires.
func CheckLinearizable(history []OrderEvent, timeout time.Duration) porcupine.CheckResult {
	operations := make([]porcupine.Operation, 0, len(history))
	for _, event := range history {
		end := int64(event.End)
		if event.Outcome == OrderUnknown {
			end = math.MaxInt64 // it may take effect at any time after it was sent
		}
		operations = append(operations, porcupine.Operation{ClientId: event.Client, Input: event.Order, Call: int64(event.Start), Output: event.Outcome, Return: end})
	}
	return porcupine.CheckOperationsTimeout(orderModel, operations, timeout)
}

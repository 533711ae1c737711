// Judging what operators were answered while machines were cut off.

package simulate

import (
	"bytes"
	"time"
)

// check looks over all calls: each by itself, and against the order in which
// configurations were acknowledged.
func (r *isolationRun) check() {
	for _, call := range r.calls {
		r.result.CallCount++
		if call.status == 503 {
			r.result.RefusalCount++
		}
		if !call.hostStopped {
			r.checkAnswer(call)
		}
		r.checkVersion(call)
	}
	r.checkForks()
}

// checkAnswer holds an answer to what its core could know, and in time.
func (r *isolationRun) checkAnswer(call *operatorCall) {
	if call.status == 0 {
		if call.core.Host.incarnation == 0 { // its process was not killed meanwhile
			r.addBreach("no answer within the operator's patience: %s", call)
		}
		return
	}
	took := call.answeredAt - call.sentAt
	r.result.SlowestAnswer = max(r.result.SlowestAnswer, took)
	if took > operatorTimeout {
		r.addBreach("answered after the operator had given up: %s", call)
	}
	if call.status == 503 && call.retryAfter == "" {
		r.addBreach("a refusal that does not say when to come back: %s", call)
	}
	reads := call.kind == "GET" || call.kind == "GET retire"
	ambiguous := call.status == 502 || call.status == 504 // an order that may have been taken
	if call.isolated && call.status != 503 && (reads || !ambiguous) {
		r.addBreach("a core that was cut off answered: %s", call)
	}
}

// checkVersion holds an answer against the versions acknowledged before it was
// asked for.
func (r *isolationRun) checkVersion(call *operatorCall) {
	ackedBefore := uint64(0)
	for _, order := range r.orders {
		if order.ackedAt > 0 && order.ackedAt < call.sentAt {
			ackedBefore = max(ackedBefore, order.version)
		}
	}
	switch {
	case call.kind == "GET" && call.status == 200:
		r.checkRead(call, ackedBefore)
	case call.kind == "GET" && call.status >= 400 && call.status < 500:
		r.addBreach("no configuration, though one was acknowledged: %s", call)
	case call.kind == "repeat" && call.status != 200 && call.status < 500 && call.status != 0:
		r.addBreach("an order that was acknowledged is refused: %s", call)
	case call.kind == "stale PUT" && call.status == 200:
		r.addBreach("a change on an old version is acknowledged: %s", call)
	case call.kind == "PUT" && call.status >= 400 && call.status < 500:
		r.addBreach("a change on the newest version is refused: %s", call)
	case (call.kind == "GET retire" || call.kind == "POST retire") && call.status != 404 && call.status < 500 && call.status != 0:
		r.addBreach("a machine that is none was answered for: %s", call)
	}
}

func (r *isolationRun) checkRead(call *operatorCall, ackedBefore uint64) {
	version := parseGeneration(call.body)
	if version < ackedBefore {
		r.addBreach("version %d, %d was acknowledged before: %s", version, ackedBefore, call)
	}
	for _, order := range r.orders {
		if order.version == version && bytes.Equal(order.document, call.body) {
			if order.refused {
				r.addBreach("a configuration that was refused is in force: %s", call)
			}
			if order.ackedAt == 0 {
				order.ackedAt = call.answeredAt // it was in force, whatever its sender was told
			}
			return
		}
	}
	r.addBreach("a configuration that nobody sent: %s", call)
}

// checkForks wants one acknowledged change on each version.
func (r *isolationRun) checkForks() {
	ackedByBase := map[uint64]*sentOrder{}
	for _, order := range r.orders[1:] {
		if order.ackedAt == 0 {
			continue
		}
		if other := ackedByBase[order.baseVersion]; other != nil {
			r.addBreach("versions %d and %d were both acknowledged on %d", other.version, order.version, order.baseVersion)
		}
		ackedByBase[order.baseVersion] = order
	}
	if limit := r.Site.Bounds.Recovery / 4; r.result.MajorityAckTime > limit {
		r.addBreach("a change was acknowledged on the majority's side after %v only, %v at the most", r.result.MajorityAckTime, limit)
	}
	const bound = 12 * time.Second
	if r.result.RecoveryTime > bound {
		r.addBreach("cores gave the newest configuration %v after the cut only", r.result.RecoveryTime)
	}
}

package simulate

import (
	"bytes"
	"time"
)

// check checks every call by itself and against the order in which configurations were
// acknowledged.
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

// checkAnswer checks that an answer came in time and is one that its core could give.
func (r *isolationRun) checkAnswer(call *operatorCall) {
	if call.status == 0 {
		if call.core.Host.incarnation == 0 { // the process was never killed
			r.addBreach("no answer within the operator's timeout: %s", call)
		}
		return
	}
	took := call.answeredAt - call.sentAt
	r.result.SlowestAnswer = max(r.result.SlowestAnswer, took)
	if took > operatorTimeout {
		r.addBreach("answered after the operator's timeout: %s", call)
	}
	if call.status == 503 && call.retryAfter == "" {
		r.addBreach("refused without Retry-After: %s", call)
	}
	reads := call.kind == "GET" || call.kind == "GET retire"
	ambiguous := call.status == 502 || call.status == 504 // the order may have been accepted
	if call.isolated && call.status != 503 && (reads || !ambiguous) {
		r.addBreach("an isolated core answered: %s", call)
	}
}

// checkVersion checks an answer against the versions that were acknowledged before the call.
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
		r.addBreach("no configuration returned although one was acknowledged: %s", call)
	case call.kind == "repeat" && call.status != 200 && call.status < 500 && call.status != 0:
		r.addBreach("the repeat of an acknowledged order was refused: %s", call)
	case call.kind == "stale PUT" && call.status == 200:
		r.addBreach("a change on an outdated version was acknowledged: %s", call)
	case call.kind == "PUT" && call.status >= 400 && call.status < 500:
		r.addBreach("a change on the newest version was refused: %s", call)
	case (call.kind == "GET retire" || call.kind == "POST retire") && call.status != 404 && call.status < 500 && call.status != 0:
		r.addBreach("the retirement of an unknown machine was not answered with 404: %s", call)
	}
}

// checkRead checks that a read returned a configuration that was sent, not refused and
// not older than the newest one acknowledged before.
func (r *isolationRun) checkRead(call *operatorCall, ackedBefore uint64) {
	version := parseGeneration(call.body)
	if version < ackedBefore {
		r.addBreach("version %d returned, but %d was acknowledged before: %s", version, ackedBefore, call)
	}
	for _, order := range r.orders {
		if order.version == version && bytes.Equal(order.document, call.body) {
			if order.refused {
				r.addBreach("a refused configuration is in force: %s", call)
			}
			if order.ackedAt == 0 {
				order.ackedAt = call.answeredAt // in force, so accepted, whatever the sender was answered
			}
			return
		}
	}
	r.addBreach("a configuration was returned that nobody sent: %s", call)
}

// checkForks checks that at most one change was acknowledged on each version, and that the
// majority and, after the isolation, all cores answered in time.
func (r *isolationRun) checkForks() {
	ackedByBase := map[uint64]*sentOrder{}
	for _, order := range r.orders[1:] {
		if order.ackedAt == 0 {
			continue
		}
		if other := ackedByBase[order.baseVersion]; other != nil {
			r.addBreach("versions %d and %d were both acknowledged on top of version %d", other.version, order.version, order.baseVersion)
		}
		ackedByBase[order.baseVersion] = order
	}
	if limit := r.Site.Bounds.Recovery / 4; r.result.MajorityAckTime > limit {
		r.addBreach("the majority's side acknowledged a change only after %v; the limit is %v", r.result.MajorityAckTime, limit)
	}
	const bound = 12 * time.Second
	if r.result.RecoveryTime > bound {
		r.addBreach("all cores returned the newest configuration only %v after the isolation", r.result.RecoveryTime)
	}
}

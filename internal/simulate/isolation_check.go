// Judging what operators were answered while machines were cut off.

package simulate

import (
	"bytes"
	"time"
)

// check looks over all calls: each by itself, and against the order in which
// configurations were acknowledged.
func (p *isolationRun) check() {
	for _, c := range p.calls {
		p.result.CallCount++
		if c.status == 503 {
			p.result.RefusalCount++
		}
		if !c.hostStopped {
			p.checkAnswer(c)
		}
		p.checkVersion(c)
	}
	p.checkForks()
}

// checkAnswer holds an answer to what its core could know, and in time.
func (p *isolationRun) checkAnswer(c *operatorCall) {
	if c.status == 0 {
		if c.core.Host.life == 0 { // its process was not killed meanwhile
			p.addBreach("no answer within the operator's patience: %s", c)
		}
		return
	}
	took := c.answeredAt - c.sentAt
	p.result.SlowestAnswer = max(p.result.SlowestAnswer, took)
	if took > operatorTimeout {
		p.addBreach("answered after the operator had given up: %s", c)
	}
	if c.status == 503 && c.retryAfter == "" {
		p.addBreach("a refusal that does not say when to come back: %s", c)
	}
	reads := c.kind == "GET" || c.kind == "GET retire"
	unknown := c.status == 502 || c.status == 504 // an order that may have been taken
	if c.isolated && c.status != 503 && (reads || !unknown) {
		p.addBreach("a core that was cut off answered: %s", c)
	}
}

// checkVersion holds an answer against the versions acknowledged before it was
// asked for.
func (p *isolationRun) checkVersion(c *operatorCall) {
	before := uint64(0)
	for _, order := range p.orders {
		if order.ackedAt > 0 && order.ackedAt < c.sentAt {
			before = max(before, order.version)
		}
	}
	switch {
	case c.kind == "GET" && c.status == 200:
		p.checkRead(c, before)
	case c.kind == "GET" && c.status >= 400 && c.status < 500:
		p.addBreach("no configuration, though one was acknowledged: %s", c)
	case c.kind == "repeat" && c.status != 200 && c.status < 500 && c.status != 0:
		p.addBreach("an order that was acknowledged is refused: %s", c)
	case c.kind == "stale PUT" && c.status == 200:
		p.addBreach("a change on an old version is acknowledged: %s", c)
	case c.kind == "PUT" && c.status >= 400 && c.status < 500:
		p.addBreach("a change on the newest version is refused: %s", c)
	case (c.kind == "GET retire" || c.kind == "POST retire") && c.status != 404 && c.status < 500 && c.status != 0:
		p.addBreach("a machine that is none was answered for: %s", c)
	}
}

func (p *isolationRun) checkRead(c *operatorCall, before uint64) {
	version := parseGeneration(c.body)
	if version < before {
		p.addBreach("version %d, %d was acknowledged before: %s", version, before, c)
	}
	for _, order := range p.orders {
		if order.version == version && bytes.Equal(order.document, c.body) {
			if order.refused {
				p.addBreach("a configuration that was refused is in force: %s", c)
			}
			if order.ackedAt == 0 {
				order.ackedAt = c.answeredAt // it was in force, whatever its sender was told
			}
			return
		}
	}
	p.addBreach("a configuration that nobody sent: %s", c)
}

// checkForks wants one acknowledged change on each version.
func (p *isolationRun) checkForks() {
	taken := map[uint64]*sentOrder{}
	for _, order := range p.orders[1:] {
		if order.ackedAt == 0 {
			continue
		}
		if other := taken[order.baseVersion]; other != nil {
			p.addBreach("versions %d and %d were both acknowledged on %d", other.version, order.version, order.baseVersion)
		}
		taken[order.baseVersion] = order
	}
	if most := p.Site.Bounds.Recovery / 4; p.result.MajorityAckTime > most {
		p.addBreach("a change was acknowledged on the majority's side after %v only, %v at the most", p.result.MajorityAckTime, most)
	}
	const bound = 12 * time.Second
	if p.result.RecoveryTime > bound {
		p.addBreach("cores gave the newest configuration %v after the cut only", p.result.RecoveryTime)
	}
}

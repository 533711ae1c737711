// Judging what operators were answered while machines were cut off.

package simulate

import (
	"bytes"
	"time"
)

// judge looks over all calls: each by itself, and against the order in which
// configurations were acknowledged.
func (p *cutPlay) judge() {
	for _, c := range p.calls {
		p.run.CallCount++
		if c.status == 503 {
			p.run.RefusalCount++
		}
		if !c.stopped {
			p.judgeAnswer(c)
		}
		p.judgeVersion(c)
	}
	p.judgeForks()
}

// judgeAnswer holds an answer to what its core could know, and in time.
func (p *cutPlay) judgeAnswer(c *consultation) {
	if c.status == 0 {
		if c.core.Host.life == 0 { // its process was not killed meanwhile
			p.breach("no answer within the operator's patience: %s", c)
		}
		return
	}
	took := c.ended - c.sent
	p.run.SlowestAnswer = max(p.run.SlowestAnswer, took)
	if took > operatorSilence {
		p.breach("answered after the operator had given up: %s", c)
	}
	if c.status == 503 && c.retryAfter == "" {
		p.breach("a refusal that does not say when to come back: %s", c)
	}
	reads := c.kind == "GET" || c.kind == "GET retire"
	unknown := c.status == 502 || c.status == 504 // an order that may have been taken
	if c.apart && c.status != 503 && (reads || !unknown) {
		p.breach("a core that was cut off answered: %s", c)
	}
}

// judgeVersion holds an answer against the versions acknowledged before it was
// asked for.
func (p *cutPlay) judgeVersion(c *consultation) {
	before := uint64(0)
	for _, order := range p.orders {
		if order.acked > 0 && order.acked < c.sent {
			before = max(before, order.version)
		}
	}
	switch {
	case c.kind == "GET" && c.status == 200:
		p.judgeRead(c, before)
	case c.kind == "GET" && c.status >= 400 && c.status < 500:
		p.breach("no configuration, though one was acknowledged: %s", c)
	case c.kind == "repeat" && c.status != 200 && c.status < 500 && c.status != 0:
		p.breach("an order that was acknowledged is refused: %s", c)
	case c.kind == "stale PUT" && c.status == 200:
		p.breach("a change on an old version is acknowledged: %s", c)
	case c.kind == "PUT" && c.status >= 400 && c.status < 500:
		p.breach("a change on the newest version is refused: %s", c)
	case (c.kind == "GET retire" || c.kind == "POST retire") && c.status != 404 && c.status < 500 && c.status != 0:
		p.breach("a machine that is none was answered for: %s", c)
	}
}

func (p *cutPlay) judgeRead(c *consultation, before uint64) {
	version := generationOf(c.body)
	if version < before {
		p.breach("version %d, %d was acknowledged before: %s", version, before, c)
	}
	for _, order := range p.orders {
		if order.version == version && bytes.Equal(order.raw, c.body) {
			if order.refused {
				p.breach("a configuration that was refused is in force: %s", c)
			}
			if order.acked == 0 {
				order.acked = c.ended // it was in force, whatever its sender was told
			}
			return
		}
	}
	p.breach("a configuration that nobody sent: %s", c)
}

// judgeForks wants one acknowledged change on each version.
func (p *cutPlay) judgeForks() {
	taken := map[uint64]*cutOrder{}
	for _, order := range p.orders[1:] {
		if order.acked == 0 {
			continue
		}
		if other := taken[order.base]; other != nil {
			p.breach("versions %d and %d were both acknowledged on %d", other.version, order.version, order.base)
		}
		taken[order.base] = order
	}
	if most := p.Site.Bounds.Recovery / 4; p.run.MajorityAckTime > most {
		p.breach("a change was acknowledged on the majority's side after %v only, %v at the most", p.run.MajorityAckTime, most)
	}
	const bound = 12 * time.Second
	if p.run.RecoveryTime > bound {
		p.breach("cores gave the newest configuration %v after the cut only", p.run.RecoveryTime)
	}
}

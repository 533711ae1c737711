package worker

import (
	"time"

	"fordseam/internal/base"
)

// failureStreak is the failures of a worker since its last good answer. Until the time that it
// names the worker is chosen only if no other has room.
type failureStreak struct {
	failures int
	until    time.Duration
}

// maxFailureDoublings bounds how often the time doubles in which a failing worker comes last.
const maxFailureDoublings = 4

// ReportFailure excludes a worker that was sent a request and gave no good answer like Avoid. For
// twice as long after each further failure it is then chosen only if no other has room. A request
// whose own time is over may have waited elsewhere, so it counts for Avoid alone.
func (p *Picker) ReportFailure(ctx *base.Ctx, id string) {
	p.Avoid(id)
	if ctx.Expired() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	streak := p.failing[id]
	streak.failures++
	streak.until = p.clock.Now() + p.bounds.Load().Drain/3<<min(streak.failures, maxFailureDoublings)
	p.failing[id] = streak
}

// ReportSuccess records a good answer of a worker.
func (p *Picker) ReportSuccess(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.failing, id)
}

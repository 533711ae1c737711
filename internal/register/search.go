// A search for the owner of a slot: cores are called one after the other, and
// another one while the first gives no answer, until one answers for itself.

package register

import (
	"sync"
	"time"

	"fordseam/internal/base"
)

// forEver is the patience of a search that never calls two cores at once.
const forEver time.Duration = -1

// answer is what one core said to a call: the result, who else to ask, or why
// there is none.
type answer struct {
	core   string
	hint   string
	result []byte
	err    error
}

// search is one call's way to the owner.
type search struct {
	client   *Client
	ctx      *base.Ctx
	slot     uint32
	limit    time.Duration
	patience time.Duration
	call     func(ctx *base.Ctx, addr string) answer

	// turned counts the calls that brought no core nearer to answering.
	turned map[string]int
	// last is the newest refusal; lost that some call may have run.
	last error
	lost bool
	hops int

	mu      sync.Mutex
	pending map[string]bool
	answers []answer
	arrived *base.Bell
}

// search asks until a core answers for itself or the context is over. A call
// may take up to limit; after patience without any answer another core is asked
// as well, so call must bear being made twice at once unless patience is
// forEver.
func (c *Client) search(ctx *base.Ctx, slot uint32, limit, patience time.Duration, call func(ctx *base.Ctx, addr string) answer) ([]byte, error) {
	s := &search{client: c, ctx: ctx, slot: slot, limit: limit, patience: patience, call: call,
		turned: map[string]int{}, pending: map[string]bool{}, arrived: base.NewBell(c.clock)}
	hint := ""
	for ; !ctx.Over(); s.hops++ {
		chosen := hint
		if chosen == "" || s.turned[chosen] > 0 {
			chosen = c.choose(slot, s.turned)
		}
		hint = ""
		if chosen == "" && !s.waits() {
			s.awaitCore()
			continue
		}
		if s.begin(chosen) {
			got, ok := s.next()
			if !ok {
				s.passOver(chosen)
				continue
			}
			over, err := s.take(got)
			if over {
				return got.result, err
			}
			hint = s.follow(got)
		}
		if s.hops > 0 || hint == "" {
			s.pause()
		}
	}
	return nil, s.unanswered()
}

// waits tells that some call is under way or an answer has come.
func (s *search) waits() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending)+len(s.answers) > 0
}

// awaitCore waits until this node hears of others while it knows no core: it has
// just started, and asks nobody meanwhile.
func (s *search) awaitCore() {
	changed := s.client.view.NextChange()
	if s.client.choose(s.slot, s.turned) == "" {
		changed.Wait(min(s.ctx.Left(), s.client.bounds.Load().Beat()/4))
	}
	s.hops = -1
}

// begin calls a core, unless a call to it is under way or it is not known, and
// tells whether there is an answer to wait for.
func (s *search) begin(core string) bool {
	member, _ := s.client.view.Find(core)
	s.mu.Lock()
	waiting := len(s.pending)+len(s.answers) > 0
	calls := member != nil && !s.pending[core]
	if calls {
		s.pending[core] = true
	}
	s.mu.Unlock()
	switch {
	case !calls:
		return waiting
	case s.patience == forEver:
		s.arrive(core, s.call(s.ctx.Within(s.limit), member.Addr))
	default:
		s.client.clock.Go(func() { s.arrive(core, s.call(s.ctx.Within(s.limit), member.Addr)) })
	}
	return true
}

// arrive keeps an answer.
func (s *search) arrive(core string, got answer) {
	got.core = core
	s.mu.Lock()
	delete(s.pending, core)
	s.answers = append(s.answers, got)
	s.mu.Unlock()
	s.arrived.Ring()
}

// next waits for an answer of any core that was called, for as long as the
// search is patient.
func (s *search) next() (answer, bool) {
	clock := s.client.clock
	end := clock.Now() + s.ctx.Left()
	if s.patience != forEver {
		end = min(end, clock.Now()+s.patience)
	}
	for {
		news := s.arrived.Next()
		s.mu.Lock()
		if len(s.answers) > 0 {
			got := s.answers[0]
			s.answers = s.answers[1:]
			s.mu.Unlock()
			return got, true
		}
		s.mu.Unlock()
		if clock.Now() >= end {
			return answer{}, false
		}
		news.Wait(end - clock.Now())
	}
}

// passOver goes on without a core that is silent so far; the view looks
// whether it still lives.
func (s *search) passOver(core string) {
	s.turned[core]++
	s.client.view.Probe(core)
}

// take learns from an answer and tells whether it ends the search.
func (s *search) take(got answer) (over bool, err error) {
	if got.err == nil {
		if got.hint == "" {
			s.client.note(s.slot, got.core)
		}
		return got.hint == "", nil
	}
	refused := base.FromWire(got.err)
	s.last = refused
	switch refused.Code {
	case "unreachable":
		s.turned[got.core]++
		s.client.view.Suspect(got.core)
	case "reply_lost":
		s.turned[got.core]++
		s.lost = true
		s.client.view.Suspect(got.core)
	case "no_majority":
		s.turned[got.core]++
		s.lost = s.lost || refused.Ran != base.NotRun
	case "slot_moved", "slot_not_ready", "no_disks":
		s.lost = s.lost || refused.Ran != base.NotRun
	default:
		return true, refused
	}
	return false, nil
}

// follow gives the core that an answer names, if it is taken for alive here:
// the one that was asked looks after it meanwhile, and is asked again. A core
// that names one which was called in vain brings nothing nearer either, and
// counts as called in vain itself; else it would be asked for ever, and the one
// that it names never again.
func (s *search) follow(got answer) string {
	if _, alive := s.client.view.Find(got.hint); !alive {
		return ""
	}
	if s.turned[got.hint] > 0 {
		s.turned[got.core]++
		return ""
	}
	return got.hint
}

// pause keeps a search that finds nobody from asking in a tight loop; an answer
// that arrives ends it.
func (s *search) pause() {
	const doublings = 3
	pause := s.client.bounds.Load().Beat() / 10 << min(s.hops, doublings)
	pause += time.Duration(s.client.clock.Int64N(int64(pause)))
	news := s.arrived.Next()
	s.mu.Lock()
	arrived := len(s.answers) > 0
	s.mu.Unlock()
	if !arrived {
		news.Wait(min(s.ctx.Left(), pause))
	}
}

// unanswered is what the caller is told when the time is over.
func (s *search) unanswered() error {
	s.mu.Lock()
	lost := s.lost || len(s.pending) > 0
	for _, got := range s.answers {
		lost = lost || base.FromWire(got.err) != nil && base.FromWire(got.err).Ran != base.NotRun
	}
	s.mu.Unlock()
	if s.last == nil {
		s.last = base.Busy(503, "silent", 1, "no core has answered")
	}
	if lost {
		return base.Unsure(503, "outcome_unknown", "the control state did not answer in time: %v", s.last)
	}
	return base.Busy(503, "control_unreachable", 1, "the control state could not be reached: %v", s.last)
}

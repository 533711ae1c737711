package register

import (
	"sync"
	"time"

	"fordseam/internal/base"
)

// neverHedge is the hedgeAfter of a search that never calls two cores at once.
const neverHedge time.Duration = -1

// coreReply is what a call to a core returned: the result if it leads the shard,
// another core to call, or an error.
type coreReply struct {
	core   string
	hint   string // the core to call instead
	result []byte
	err    error
}

// leaderSearch calls cores until the leader of a shard answers for itself. It
// calls one core after the other, and a further one while a call has no answer
// yet.
type leaderSearch struct {
	client      *Client
	ctx         *base.Ctx
	shardNum    uint32
	callTimeout time.Duration
	hedgeAfter  time.Duration
	call        func(ctx *base.Ctx, addr string) coreReply

	// failures counts for each core the calls that brought the search no further.
	failures map[string]int
	lastErr  error
	// mayHaveRun reports whether a call that failed may have been executed.
	mayHaveRun bool
	attempts   int

	mu       sync.Mutex
	inFlight map[string]bool
	replies  []coreReply    // not handled yet
	replied  *base.Notifier // rung at each reply
}

// findLeader calls cores until one answers for itself or the context is over, and
// returns that core's result. Each call may take up to callTimeout. After
// hedgeAfter without an answer another core is called as well, so call must be
// safe for concurrent use unless hedgeAfter is neverHedge.
func (c *Client) findLeader(ctx *base.Ctx, shardNum uint32, callTimeout, hedgeAfter time.Duration, call func(ctx *base.Ctx, addr string) coreReply) ([]byte, error) {
	s := &leaderSearch{client: c, ctx: ctx, shardNum: shardNum, callTimeout: callTimeout, hedgeAfter: hedgeAfter, call: call,
		failures: map[string]int{}, inFlight: map[string]bool{}, replied: base.NewNotifier(c.clock)}
	hint := ""
	for ; !ctx.Expired(); s.attempts++ {
		core := hint
		if core == "" || s.failures[core] > 0 {
			core = c.pickCore(shardNum, s.failures)
		}
		hint = ""
		if core == "" && !s.hasCalls() {
			s.awaitCore()
			continue
		}
		if s.startCall(core) {
			reply, ok := s.nextReply()
			if !ok {
				s.passOver(core)
				continue
			}
			done, err := s.handleReply(reply)
			if done {
				return reply.result, err
			}
			hint = s.followHint(reply)
		}
		if s.attempts > 0 || hint == "" {
			s.backoff()
		}
	}
	return nil, s.timeoutError()
}

// hasCalls reports whether a call is in flight or a reply is not handled yet.
func (s *leaderSearch) hasCalls() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.inFlight)+len(s.replies) > 0
}

// awaitCore waits for a change of the membership view while no core is known, as
// on a node that has just started. Such a wait is no attempt.
func (s *leaderSearch) awaitCore() {
	changed := s.client.view.NextChange()
	if s.client.pickCore(s.shardNum, s.failures) == "" {
		changed.Wait(min(s.ctx.Remaining(), s.client.bounds.Load().HeartbeatInterval()/4))
	}
	s.attempts = -1
}

// startCall calls a core unless it is unknown or already being called. It reports
// whether there is a reply to wait for.
func (s *leaderSearch) startCall(core string) bool {
	member, _ := s.client.view.Find(core)
	s.mu.Lock()
	waiting := len(s.inFlight)+len(s.replies) > 0
	callable := member != nil && !s.inFlight[core]
	if callable {
		s.inFlight[core] = true
	}
	s.mu.Unlock()
	switch {
	case !callable:
		return waiting
	case s.hedgeAfter == neverHedge:
		s.addReply(core, s.call(s.ctx.WithTimeout(s.callTimeout), member.Addr))
	default:
		s.client.clock.Go(func() { s.addReply(core, s.call(s.ctx.WithTimeout(s.callTimeout), member.Addr)) })
	}
	return true
}

// addReply queues a core's reply.
func (s *leaderSearch) addReply(core string, reply coreReply) {
	reply.core = core
	s.mu.Lock()
	delete(s.inFlight, core)
	s.replies = append(s.replies, reply)
	s.mu.Unlock()
	s.replied.Notify()
}

// nextReply waits for a reply of any called core, for up to hedgeAfter.
func (s *leaderSearch) nextReply() (coreReply, bool) {
	clock := s.client.clock
	deadline := clock.Now() + s.ctx.Remaining()
	if s.hedgeAfter != neverHedge {
		deadline = min(deadline, clock.Now()+s.hedgeAfter)
	}
	for {
		replied := s.replied.Next()
		s.mu.Lock()
		if len(s.replies) > 0 {
			reply := s.replies[0]
			s.replies = s.replies[1:]
			s.mu.Unlock()
			return reply, true
		}
		s.mu.Unlock()
		if clock.Now() >= deadline {
			return coreReply{}, false
		}
		replied.Wait(deadline - clock.Now())
	}
}

// passOver lets the search go on without a core that has not answered yet, and
// has the membership view probe it.
func (s *leaderSearch) passOver(core string) {
	s.failures[core]++
	s.client.view.Probe(core)
}

// handleReply records what a reply reveals and reports whether it ends the search.
func (s *leaderSearch) handleReply(reply coreReply) (done bool, err error) {
	if reply.err == nil {
		if reply.hint == "" {
			s.client.recordLeader(s.shardNum, reply.core)
		}
		return reply.hint == "", nil
	}
	requestErr := base.ToRequestError(reply.err)
	s.lastErr = requestErr
	switch requestErr.Code {
	case "unreachable":
		s.failures[reply.core]++
		s.client.view.Suspect(reply.core)
	case "reply_lost":
		s.failures[reply.core]++
		s.mayHaveRun = true
		s.client.view.Suspect(reply.core)
	case "no_majority":
		s.failures[reply.core]++
		s.mayHaveRun = s.mayHaveRun || requestErr.Execution != base.NotRun
	case "slot_moved", "slot_not_ready", "no_disks":
		s.mayHaveRun = s.mayHaveRun || requestErr.Execution != base.NotRun
	default:
		return true, requestErr
	}
	return false, nil
}

// followHint returns the core that a reply names if this node believes it alive.
// If not, the core that named it is called again; it probes the named core
// meanwhile. If calls to the named core have failed, the hint counts as a failure
// of the core that gave it; otherwise that core would be called again and again,
// and the one that it names never.
func (s *leaderSearch) followHint(reply coreReply) string {
	if _, alive := s.client.view.Find(reply.hint); !alive {
		return ""
	}
	if s.failures[reply.hint] > 0 {
		s.failures[reply.core]++
		return ""
	}
	return reply.hint
}

// backoff waits before the next attempt, for a randomized time that grows with
// the attempts, or until a reply arrives.
func (s *leaderSearch) backoff() {
	const maxDoublings = 3
	delay := s.client.bounds.Load().HeartbeatInterval() / 10 << min(s.attempts, maxDoublings)
	delay += time.Duration(s.client.clock.Int64N(int64(delay)))
	replied := s.replied.Next()
	s.mu.Lock()
	hasReply := len(s.replies) > 0
	s.mu.Unlock()
	if !hasReply {
		replied.Wait(min(s.ctx.Remaining(), delay))
	}
}

// timeoutError returns the error of a search whose context is over.
func (s *leaderSearch) timeoutError() error {
	s.mu.Lock()
	mayHaveRun := s.mayHaveRun || len(s.inFlight) > 0
	for _, reply := range s.replies {
		mayHaveRun = mayHaveRun || base.ToRequestError(reply.err) != nil && base.ToRequestError(reply.err).Execution != base.NotRun
	}
	s.mu.Unlock()
	if s.lastErr == nil {
		s.lastErr = base.Busy(503, "silent", 1, "no core has answered")
	}
	if mayHaveRun {
		return base.Indeterminate(503, "outcome_unknown", "shard %d of the control state did not answer in time: %v", s.shardNum, s.lastErr)
	}
	return base.Busy(503, "control_unreachable", 1, "shard %d of the control state could not be reached: %v", s.shardNum, s.lastErr)
}

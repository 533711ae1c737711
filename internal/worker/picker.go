// Picking a worker keeps a chain where its prefix is cached, as long as
// that worker has room. A chain without such a worker goes to the first in
// the session's own order whose load is below a ratio of the mean, so that
// sessions spread and a burst spills over. A leg that finds every worker full waits in a bounded line:
// urgent programs first; the time since a program was last served counts as
// urgency, so that none starves and none crowds out others by its own numbers;
// and among equals the site, then the program, with fewest legs under way. A line that is full
// declines at once and says when to come again, and so does one in
// which a leg could not come to its end in time.

package worker

import (
	"math"
	"slices"
	"sync"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/policy"
)

const spillRatio = 1.25

// mark is a worker's own notice as this node saw it.
type mark struct {
	incarnation string
	at          time.Duration
}

// NoticeTTL is how long a worker's refusal counts as its leaving, if nothing
// else is heard; a report of its own counts until it says otherwise.
func NoticeTTL(bounds *base.Bounds) time.Duration { return 10 * bounds.Leave }

type waiter struct {
	need    *Requirements
	since   time.Duration
	until   time.Duration
	granted *Worker
	signal  base.Signal
	gone    bool
}

// Picker hands out workers on one node.
type Picker struct {
	clock    base.Clock
	bounds   *base.Table[base.Bounds]
	counters *base.Counters
	book     *UsageReports
	zone     string
	roster   base.Table[Roster]

	mu       sync.Mutex
	busy     map[string]int
	programs map[string]int
	shunned  map[string]time.Duration
	left     map[string]mark
	kept     map[string]bool
	sites    map[string]int
	waiting  []*waiter
	lasting  map[string]time.Duration
	// spacing is the time between workers given out while there is a line, and
	// booked the moment that the last of the refused was told to come back.
	spacing map[string]time.Duration
	granted map[string]time.Duration
	booked  map[string]time.Duration
	served  map[string]time.Duration
}

func NewPicker(clock base.Clock, bounds *base.Table[base.Bounds], counters *base.Counters, book *UsageReports, zone string) *Picker {
	p := &Picker{zone: zone, clock: clock, bounds: bounds, counters: counters, book: book,
		busy: map[string]int{}, programs: map[string]int{}, shunned: map[string]time.Duration{}, left: map[string]mark{}, kept: map[string]bool{}, sites: map[string]int{}, lasting: map[string]time.Duration{}, spacing: map[string]time.Duration{}, granted: map[string]time.Duration{}, booked: map[string]time.Duration{}, served: map[string]time.Duration{}}
	p.roster.Swap(&Roster{Pools: map[string][]Worker{}})
	return p
}

// SetRoster takes a new roster and looks at who waits.
func (p *Picker) SetRoster(roster *Roster) {
	p.roster.Swap(roster)
	p.mu.Lock()
	listed := map[string]bool{}
	for _, pool := range roster.Pools {
		for _, one := range pool {
			listed[one.ID+" "+p.Incarnation(&one)] = true
		}
	}
	for life := range p.kept {
		if !listed[life] {
			delete(p.kept, life)
		}
	}
	p.pump()
	p.mu.Unlock()
}

func (p *Picker) Roster() *Roster { return p.roster.Load() }

// Acquire takes a worker for a leg; Release gives it back.
func (p *Picker) Acquire(ctx *base.Ctx, need *Requirements) (*Worker, error) {
	p.mu.Lock()
	chosen, possible := p.choose(need)
	if chosen != nil {
		p.take(chosen, need)
		p.mu.Unlock()
		return chosen, nil
	}
	if !possible {
		p.mu.Unlock()
		return nil, base.Busy(503, "no_worker", 1, "no worker of pool %q can take this now", need.Pool)
	}
	line := 0
	for _, other := range p.waiting {
		if other.need.Pool == need.Pool {
			line++
		}
	}
	expected := p.lasting[need.Pool] + time.Duration(line+1)*max(p.spacing[need.Pool], p.lasting[need.Pool]/time.Duration(max(1, p.size(need.Pool))))
	if line >= need.MaxQueue || expected > ctx.Left() {
		after := p.comeBack(need.Pool, line)
		p.mu.Unlock()
		p.counters.Add("legs_declined_busy", 1)
		return nil, base.Busy(429, "overloaded", after, "all workers are busy and the line is too long")
	}
	w := &waiter{need: need, since: p.clock.Now(), until: ctx.Until, signal: p.clock.NewSignal()}
	p.waiting = append(p.waiting, w)
	p.mu.Unlock()
	p.counters.Add("legs_waited", 1)
	w.signal.Wait(ctx.Left())
	p.mu.Lock()
	defer p.mu.Unlock()
	w.gone = true
	p.waiting = slices.DeleteFunc(p.waiting, func(other *waiter) bool { return other == w })
	if w.granted == nil {
		return nil, base.Busy(429, "overloaded", p.comeBack(need.Pool, len(p.waiting)), "no worker came free in time")
	}
	return w.granted, nil
}

// comeBack says in how many seconds to come again: when the line will have
// passed, and after those who were refused before, one by one as workers have
// come free here. So the refused return spread out, at the pace at which they
// can be served. The caller holds the lock.
func (p *Picker) comeBack(pool string, line int) int {
	now, spacing := p.clock.Now(), p.spacing[pool]
	longest := p.bounds.Load().Recover * 5 / 2
	next := max(p.booked[pool], now+spacing*time.Duration(line)) + spacing
	if next > now+longest {
		next = now + longest/2 + time.Duration(p.clock.Int64N(int64(longest/2)))
	} else {
		p.booked[pool] = next
	}
	// The header takes whole seconds: the rest decides by chance.
	wait := next - now
	after := int(wait / time.Second)
	if time.Duration(p.clock.Int64N(int64(time.Second))) < wait%time.Second {
		after++
	}
	return max(1, after)
}

func (p *Picker) size(pool string) int {
	total := 0
	for _, one := range p.roster.Load().Pools[pool] {
		total += one.Capacity
	}
	return total
}

func (p *Picker) take(chosen *Worker, need *Requirements) {
	p.busy[chosen.ID]++
	p.programs[need.Program]++
	p.sites[need.Site]++
	p.served[need.Program] = p.clock.Now()
	if gap := p.clock.Now() - p.granted[need.Pool]; len(p.waiting) > 0 || p.spacing[need.Pool] == 0 {
		p.spacing[need.Pool] += (min(gap, p.bounds.Load().Recover/12) - p.spacing[need.Pool]) / 8
	}
	p.granted[need.Pool] = p.clock.Now()
}

// Release ends a leg's hold and learns how long such legs last.
func (p *Picker) Release(held *Worker, need *Requirements, lasted time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lasting[need.Pool] += (lasted - p.lasting[need.Pool]) / 8
	if p.busy[held.ID]--; p.busy[held.ID] <= 0 {
		delete(p.busy, held.ID)
	}
	if p.sites[need.Site]--; p.sites[need.Site] <= 0 {
		delete(p.sites, need.Site)
	}
	if p.programs[need.Program]--; p.programs[need.Program] <= 0 {
		delete(p.programs, need.Program)
		delete(p.served, need.Program)
	}
	p.pump()
}

// Avoid keeps off a worker for a little after it could not be reached or was
// busy; whoever waits for it is looked at again then.
func (p *Picker) Avoid(id string) {
	span := p.bounds.Load().Leave / 3
	p.mu.Lock()
	p.shunned[id] = p.clock.Now() + span
	p.mu.Unlock()
	p.clock.Go(func() {
		p.clock.Sleep(span)
		p.mu.Lock()
		p.pump()
		p.mu.Unlock()
	})
}

// Incarnation is the life of a worker that this node knows of.
func (p *Picker) Incarnation(one *Worker) string {
	if _, incarnation, _ := p.book.Load(one.ID); incarnation != "" {
		return incarnation
	}
	return one.Incarnation
}

// MarkLeaving stops new work for this life of a worker at once on this node.
func (p *Picker) MarkLeaving(one *Worker) {
	p.mu.Lock()
	p.left[one.ID] = mark{p.Incarnation(one), p.clock.Now()}
	p.mu.Unlock()
}

// ObserveResponse looks at how a worker answered. One that used to keep connections
// and now closes them says that it is leaving; one that never kept any says
// nothing by it.
func (p *Picker) ObserveResponse(one *Worker, closes bool) (leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	life := one.ID + " " + p.Incarnation(one)
	if !closes {
		p.kept[life] = true
	}
	return closes && p.kept[life]
}

// ClearLeaving takes a local leaving mark away again.
func (p *Picker) ClearLeaving(id string) {
	p.mu.Lock()
	delete(p.left, id)
	p.pump()
	p.mu.Unlock()
}

// StillEligible is the last look at a worker before a leg goes out: whoever holds it
// may have waited since, and the news come meanwhile.
func (p *Picker) StillEligible(held *Worker, need *Requirements) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := false
	for _, one := range p.roster.Load().Pools[need.Pool] {
		listed = listed || one.ID == held.ID && one.Addr == held.Addr
	}
	return listed && p.open(held, need)
}

func (p *Picker) open(one *Worker, need *Requirements) bool {
	if need.Tried[one.ID] {
		return false
	}
	if _, _, leaving := p.book.Load(one.ID); leaving {
		return false
	}
	incarnation := p.Incarnation(one)
	if seen, ok := p.left[one.ID]; ok && seen.incarnation == incarnation && p.clock.Now()-seen.at < NoticeTTL(p.bounds.Load()) {
		return false
	}
	// A notice stands until the control state takes it back: a node that was
	// restarted, or has not heard the worker lately, cannot tell its lives apart.
	_, noticed := p.roster.Load().Leaving[one.ID]
	return !noticed
}

func (p *Picker) usage(one *Worker) int {
	reported, _, _ := p.book.Load(one.ID)
	return max(p.busy[one.ID], int(reported))
}

// choose looks for a worker with room; possible says whether any worker
// would do once it has room. The caller holds the lock.
func (p *Picker) choose(need *Requirements) (chosen *Worker, possible bool) {
	candidates := map[string]*Worker{}
	ids, total := []string{}, 0
	for _, one := range p.roster.Load().Pools[need.Pool] {
		if p.open(&one, need) {
			possible = true
			if p.clock.Now() < p.shunned[one.ID] {
				continue
			}
			candidates[one.ID] = &one
			ids = append(ids, one.ID)
			total += p.usage(&one)
		}
	}
	if len(ids) == 0 {
		return nil, possible
	}
	if one := p.byPolicy(need, ids, candidates); one != nil {
		return one, true
	}
	if former := candidates[need.LastWorker]; former != nil && p.usage(former) < former.Capacity {
		p.counters.Add("picked_at_prefix", 1)
		return former, true
	}
	order := base.Rendezvous(need.AffinityKey, ids)
	bound := int(math.Ceil(spillRatio * float64(total+1) / float64(len(ids))))
	for _, allowed := range []int{bound, math.MaxInt} {
		for place, id := range order {
			one := candidates[id]
			if used := p.usage(one); used < min(allowed, one.Capacity) {
				if place == 0 && need.LastWorker == "" {
					p.counters.Add("picked_first", 1)
				} else {
					p.counters.Add("picked_spilled", 1)
				}
				return one, true
			}
		}
	}
	return nil, true
}

// byPolicy asks the operators' policy, if there is one; it may name a worker
// that has room, or leave the choice to the rule.
func (p *Picker) byPolicy(need *Requirements, ids []string, candidates map[string]*Worker) *Worker {
	if need.Policy == nil {
		return nil
	}
	offered := base.Map(ids, func(id string) policy.Candidate {
		one := candidates[id]
		return policy.Candidate{ID: id, Zone: one.Zone, Load: p.usage(one), Capacity: one.Capacity, Previous: id == need.LastWorker}
	})
	id, err := need.Policy.Pick(need.Urgency, p.zone, offered)
	if err != nil {
		p.counters.Add("policy_faults", 1)
		return nil
	}
	one := candidates[id]
	if one == nil || p.usage(one) >= one.Capacity {
		return nil
	}
	p.counters.Add("picked_by_policy", 1)
	return one
}

func (p *Picker) rank(w *waiter) float64 {
	aged := float64(p.clock.Now()-max(w.since, p.served[w.need.Program])) / float64(p.bounds.Load().Recover/6)
	return float64(urgencies[w.need.Urgency]) + aged
}

// pump gives free workers to those who wait; the caller holds the lock.
func (p *Picker) pump() {
	slices.SortStableFunc(p.waiting, func(a, b *waiter) int {
		if first, second := math.Floor(p.rank(a)), math.Floor(p.rank(b)); first != second {
			return int(second - first)
		}
		if first, second := p.sites[a.need.Site], p.sites[b.need.Site]; first != second {
			return first - second
		}
		if first, second := p.programs[a.need.Program], p.programs[b.need.Program]; first != second {
			return first - second
		}
		return int(a.since - b.since)
	})
	ahead := map[string]time.Duration{}
	for _, w := range p.waiting {
		if w.granted != nil || w.gone {
			continue
		}
		// Those ahead may go faster than lately, but hardly at twice the pace.
		if p.clock.Now()+ahead[w.need.Pool]*p.spacing[w.need.Pool]/2+p.lasting[w.need.Pool] > w.until {
			w.gone = true // it could not end in time: better told now
			w.signal.Fire()
			continue
		}
		ahead[w.need.Pool]++
		if chosen, _ := p.choose(w.need); chosen != nil {
			w.granted = chosen
			p.take(chosen, w.need)
			w.signal.Fire()
		}
	}
}

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

// NoticeSpan is how long a worker's refusal counts as its leaving, if nothing
// else is heard; a report of its own counts until it says otherwise.
func NoticeSpan(bounds *base.Bounds) time.Duration { return 10 * bounds.Leave }

type waiter struct {
	need    *Need
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
	book     *Book
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

func NewPicker(clock base.Clock, bounds *base.Table[base.Bounds], counters *base.Counters, book *Book, zone string) *Picker {
	n := &Picker{zone: zone, clock: clock, bounds: bounds, counters: counters, book: book,
		busy: map[string]int{}, programs: map[string]int{}, shunned: map[string]time.Duration{}, left: map[string]mark{}, kept: map[string]bool{}, sites: map[string]int{}, lasting: map[string]time.Duration{}, spacing: map[string]time.Duration{}, granted: map[string]time.Duration{}, booked: map[string]time.Duration{}, served: map[string]time.Duration{}}
	n.roster.Swap(&Roster{Pools: map[string][]Worker{}})
	return n
}

// Swap takes a new roster and looks at who waits.
func (n *Picker) Swap(roster *Roster) {
	n.roster.Swap(roster)
	n.mu.Lock()
	listed := map[string]bool{}
	for _, pool := range roster.Pools {
		for _, one := range pool {
			listed[one.ID+" "+n.Incarnation(&one)] = true
		}
	}
	for life := range n.kept {
		if !listed[life] {
			delete(n.kept, life)
		}
	}
	n.pump()
	n.mu.Unlock()
}

func (n *Picker) Roster() *Roster { return n.roster.Load() }

// Hold takes a worker for a leg; Release gives it back.
func (n *Picker) Hold(ctx *base.Ctx, need *Need) (*Worker, error) {
	n.mu.Lock()
	chosen, possible := n.choose(need)
	if chosen != nil {
		n.take(chosen, need)
		n.mu.Unlock()
		return chosen, nil
	}
	if !possible {
		n.mu.Unlock()
		return nil, base.Busy(503, "no_worker", 1, "no worker of pool %q can take this now", need.Pool)
	}
	line := 0
	for _, other := range n.waiting {
		if other.need.Pool == need.Pool {
			line++
		}
	}
	expected := n.lasting[need.Pool] + time.Duration(line+1)*max(n.spacing[need.Pool], n.lasting[need.Pool]/time.Duration(max(1, n.size(need.Pool))))
	if line >= need.Waiting || expected > ctx.Left() {
		after := n.comeBack(need.Pool, line)
		n.mu.Unlock()
		n.counters.Add("legs_declined_busy", 1)
		return nil, base.Busy(429, "overloaded", after, "all workers are busy and the line is too long")
	}
	w := &waiter{need: need, since: n.clock.Now(), until: ctx.Until, signal: n.clock.NewSignal()}
	n.waiting = append(n.waiting, w)
	n.mu.Unlock()
	n.counters.Add("legs_waited", 1)
	w.signal.Wait(ctx.Left())
	n.mu.Lock()
	defer n.mu.Unlock()
	w.gone = true
	n.waiting = slices.DeleteFunc(n.waiting, func(other *waiter) bool { return other == w })
	if w.granted == nil {
		return nil, base.Busy(429, "overloaded", n.comeBack(need.Pool, len(n.waiting)), "no worker came free in time")
	}
	return w.granted, nil
}

// comeBack says in how many seconds to come again: when the line will have
// passed, and after those who were refused before, one by one as workers have
// come free here. So the refused return spread out, at the pace at which they
// can be served. The caller holds the lock.
func (n *Picker) comeBack(pool string, line int) int {
	now, spacing := n.clock.Now(), n.spacing[pool]
	longest := n.bounds.Load().Recover * 5 / 2
	next := max(n.booked[pool], now+spacing*time.Duration(line)) + spacing
	if next > now+longest {
		next = now + longest/2 + time.Duration(n.clock.Int64N(int64(longest/2)))
	} else {
		n.booked[pool] = next
	}
	// The header takes whole seconds: the rest decides by chance.
	wait := next - now
	after := int(wait / time.Second)
	if time.Duration(n.clock.Int64N(int64(time.Second))) < wait%time.Second {
		after++
	}
	return max(1, after)
}

func (n *Picker) size(pool string) int {
	total := 0
	for _, one := range n.roster.Load().Pools[pool] {
		total += one.Capacity
	}
	return total
}

func (n *Picker) take(chosen *Worker, need *Need) {
	n.busy[chosen.ID]++
	n.programs[need.Program]++
	n.sites[need.Site]++
	n.served[need.Program] = n.clock.Now()
	if gap := n.clock.Now() - n.granted[need.Pool]; len(n.waiting) > 0 || n.spacing[need.Pool] == 0 {
		n.spacing[need.Pool] += (min(gap, n.bounds.Load().Recover/12) - n.spacing[need.Pool]) / 8
	}
	n.granted[need.Pool] = n.clock.Now()
}

// Release ends a leg's hold and learns how long such legs last.
func (n *Picker) Release(held *Worker, need *Need, lasted time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lasting[need.Pool] += (lasted - n.lasting[need.Pool]) / 8
	if n.busy[held.ID]--; n.busy[held.ID] <= 0 {
		delete(n.busy, held.ID)
	}
	if n.sites[need.Site]--; n.sites[need.Site] <= 0 {
		delete(n.sites, need.Site)
	}
	if n.programs[need.Program]--; n.programs[need.Program] <= 0 {
		delete(n.programs, need.Program)
		delete(n.served, need.Program)
	}
	n.pump()
}

// Shun keeps off a worker for a little after it could not be reached or was
// busy; whoever waits for it is looked at again then.
func (n *Picker) Shun(id string) {
	span := n.bounds.Load().Leave / 3
	n.mu.Lock()
	n.shunned[id] = n.clock.Now() + span
	n.mu.Unlock()
	n.clock.Go(func() {
		n.clock.Sleep(span)
		n.mu.Lock()
		n.pump()
		n.mu.Unlock()
	})
}

// Incarnation is the life of a worker that this node knows of.
func (n *Picker) Incarnation(one *Worker) string {
	if _, incarnation, _ := n.book.Load(one.ID); incarnation != "" {
		return incarnation
	}
	return one.Incarnation
}

// LeftNow stops new work for this life of a worker at once on this node.
func (n *Picker) LeftNow(one *Worker) {
	n.mu.Lock()
	n.left[one.ID] = mark{n.Incarnation(one), n.clock.Now()}
	n.mu.Unlock()
}

// Answered looks at how a worker answered. One that used to keep connections
// and now closes them says that it is leaving; one that never kept any says
// nothing by it.
func (n *Picker) Answered(one *Worker, closes bool) (leaving bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	life := one.ID + " " + n.Incarnation(one)
	if !closes {
		n.kept[life] = true
	}
	return closes && n.kept[life]
}

// Back takes a local leaving mark away again.
func (n *Picker) Back(id string) {
	n.mu.Lock()
	delete(n.left, id)
	n.pump()
	n.mu.Unlock()
}

// Stays is the last look at a worker before a leg goes out: whoever holds it
// may have waited since, and the news come meanwhile.
func (n *Picker) Stays(held *Worker, need *Need) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	listed := false
	for _, one := range n.roster.Load().Pools[need.Pool] {
		listed = listed || one.ID == held.ID && one.Addr == held.Addr
	}
	return listed && n.open(held, need)
}

func (n *Picker) open(one *Worker, need *Need) bool {
	if need.Tried[one.ID] {
		return false
	}
	if _, _, leaving := n.book.Load(one.ID); leaving {
		return false
	}
	incarnation := n.Incarnation(one)
	if seen, ok := n.left[one.ID]; ok && seen.incarnation == incarnation && n.clock.Now()-seen.at < NoticeSpan(n.bounds.Load()) {
		return false
	}
	// A notice stands until the control state takes it back: a node that was
	// restarted, or has not heard the worker lately, cannot tell its lives apart.
	_, noticed := n.roster.Load().Leaving[one.ID]
	return !noticed
}

func (n *Picker) usage(one *Worker) int {
	reported, _, _ := n.book.Load(one.ID)
	return max(n.busy[one.ID], int(reported))
}

// choose looks for a worker with room; possible says whether any worker
// would do once it has room. The caller holds the lock.
func (n *Picker) choose(need *Need) (chosen *Worker, possible bool) {
	candidates := map[string]*Worker{}
	ids, total := []string{}, 0
	for _, one := range n.roster.Load().Pools[need.Pool] {
		if n.open(&one, need) {
			possible = true
			if n.clock.Now() < n.shunned[one.ID] {
				continue
			}
			candidates[one.ID] = &one
			ids = append(ids, one.ID)
			total += n.usage(&one)
		}
	}
	if len(ids) == 0 {
		return nil, possible
	}
	if one := n.byPolicy(need, ids, candidates); one != nil {
		return one, true
	}
	if former := candidates[need.Former]; former != nil && n.usage(former) < former.Capacity {
		n.counters.Add("picked_at_prefix", 1)
		return former, true
	}
	order := base.Rendezvous(need.Affinity, ids)
	bound := int(math.Ceil(spillRatio * float64(total+1) / float64(len(ids))))
	for _, allowed := range []int{bound, math.MaxInt} {
		for place, id := range order {
			one := candidates[id]
			if used := n.usage(one); used < min(allowed, one.Capacity) {
				if place == 0 && need.Former == "" {
					n.counters.Add("picked_first", 1)
				} else {
					n.counters.Add("picked_spilled", 1)
				}
				return one, true
			}
		}
	}
	return nil, true
}

// byPolicy asks the operators' policy, if there is one; it may name a worker
// that has room, or leave the choice to the rule.
func (n *Picker) byPolicy(need *Need, ids []string, candidates map[string]*Worker) *Worker {
	if need.Policy == nil {
		return nil
	}
	offered := base.Map(ids, func(id string) policy.Candidate {
		one := candidates[id]
		return policy.Candidate{ID: id, Zone: one.Zone, Load: n.usage(one), Capacity: one.Capacity, Former: id == need.Former}
	})
	id, err := need.Policy.Pick(need.Urgency, n.zone, offered)
	if err != nil {
		n.counters.Add("policy_faults", 1)
		return nil
	}
	one := candidates[id]
	if one == nil || n.usage(one) >= one.Capacity {
		return nil
	}
	n.counters.Add("picked_by_policy", 1)
	return one
}

func (n *Picker) rank(w *waiter) float64 {
	aged := float64(n.clock.Now()-max(w.since, n.served[w.need.Program])) / float64(n.bounds.Load().Recover/6)
	return float64(urgencies[w.need.Urgency]) + aged
}

// pump gives free workers to those who wait; the caller holds the lock.
func (n *Picker) pump() {
	slices.SortStableFunc(n.waiting, func(a, b *waiter) int {
		if first, second := math.Floor(n.rank(a)), math.Floor(n.rank(b)); first != second {
			return int(second - first)
		}
		if first, second := n.sites[a.need.Site], n.sites[b.need.Site]; first != second {
			return first - second
		}
		if first, second := n.programs[a.need.Program], n.programs[b.need.Program]; first != second {
			return first - second
		}
		return int(a.since - b.since)
	})
	ahead := map[string]time.Duration{}
	for _, w := range n.waiting {
		if w.granted != nil || w.gone {
			continue
		}
		// Those ahead may go faster than lately, but hardly at twice the pace.
		if n.clock.Now()+ahead[w.need.Pool]*n.spacing[w.need.Pool]/2+n.lasting[w.need.Pool] > w.until {
			w.gone = true // it could not end in time: better told now
			w.signal.Fire()
			continue
		}
		ahead[w.need.Pool]++
		if chosen, _ := n.choose(w.need); chosen != nil {
			w.granted = chosen
			n.take(chosen, w.need)
			w.signal.Fire()
		}
	}
}

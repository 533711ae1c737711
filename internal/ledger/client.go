// The client writes to a program's replicas and reads from them. In the
// ordinary case it asks just as many as make a write last, its own zone's
// first; the others are turned to at once when one fails or declines, and
// after a short while when one is slow. A store that was slow or could not be
// reached is asked last for a moment.

package ledger

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/register"
)

// Client is a gateway's way to the ledger.
type Client struct {
	clock    base.Clock
	wire     base.Wire
	set      func() *register.DiskSet
	zone     string
	tolerate int
	bounds   *base.Table[base.Bounds]
	counters *base.Counters
	alive    func(addr string) bool

	mu      sync.Mutex
	newer   *register.DiskSet
	doubted map[string]time.Duration
}

// NewClient uses set for the newest disk set this node was told of; alive may
// be nil.
func NewClient(clock base.Clock, wire base.Wire, set func() *register.DiskSet, zone string, tolerate int, bounds *base.Table[base.Bounds], counters *base.Counters, alive func(addr string) bool) *Client {
	if alive == nil {
		alive = func(string) bool { return true }
	}
	return &Client{clock: clock, wire: wire, set: set, zone: zone, tolerate: max(1, tolerate), bounds: bounds, counters: counters, alive: alive,
		doubted: map[string]time.Duration{}}
}

// Beginning is a turn that wants to run, and the claim it runs under: for a
// first claim the epoch is 1, for a successor's one more than that of the Run
// it succeeds, and once a Begin gave the session to the claim, the epoch it
// gave, with Confirmed. A Run that had to give way needs a new id to claim
// again.
type Beginning struct {
	Program  string
	Session  string
	Turn     string
	Previous string
	Owner    string
	Run      string
	Epoch    uint64
	// Confirmed tells that a quorum took this claim before.
	Confirmed bool
	// Budgeted turns reserve Most of the program's Budget.
	Budgeted bool
	Most     int64
	Budget   int64
	// Keep is how long the program's state may be needed after this.
	Keep time.Duration
}

// Begun is who holds the session; Mine tells that it is the claimant.
type Begun struct {
	Mine  bool
	Owner string
	Run   string
	Epoch uint64
}

// Finished is a turn that was answered whole.
type Finished struct {
	Program  string
	Session  string
	Turn     string
	Previous string
	Owner    string
	Run      string
	Epoch    uint64
	Input    []byte
	Output   []byte
	Budgeted bool
	Tokens   int64
	Retain   time.Duration
}

// Settled is what a turn came to that was not answered whole.
type Settled struct {
	Program string
	Run     string
	Turn    string
	Tokens  int64
	Keep    time.Duration
}

func (c *Client) newest() *register.DiskSet {
	told := c.set()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.newer.GetStamp() > told.GetStamp() {
		return c.newer
	}
	return told
}

func (c *Client) learn(set *register.DiskSet) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if set.GetStamp() > c.newer.GetStamp() {
		c.newer = set
	}
}

func (c *Client) doubt(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.doubted[addr] = c.clock.Now() + c.bounds.Load().Suspect()/2
}

func (c *Client) doubts(addr string) bool {
	c.mu.Lock()
	until, ok := c.doubted[addr]
	if ok && until <= c.clock.Now() {
		delete(c.doubted, addr)
		ok = false
	}
	c.mu.Unlock()
	return ok || !c.alive(addr)
}

// prefer puts those in doubt last and this zone's first.
func (c *Client) prefer(entries []*register.DiskEntry) []*register.DiskEntry {
	rank := func(entry *register.DiskEntry) int {
		switch {
		case c.doubts(entry.Addr):
			return 2
		case entry.Zone != c.zone:
			return 1
		}
		return 0
	}
	ranks := map[string]int{}
	for _, entry := range entries {
		ranks[entry.Id] = rank(entry)
	}
	ordered := slices.Clone(entries)
	slices.SortStableFunc(ordered, func(a, b *register.DiskEntry) int { return ranks[a.Id] - ranks[b.Id] })
	return ordered
}

func (c *Client) store(entry *register.DiskEntry) Ledger {
	return NewLedgerProtobufClient("http://"+entry.Addr, c.wire)
}

// answer is what one store said. A store that gave none has nil.
type answer[R any] struct {
	entry *register.DiskEntry
	reply R
	ack   *Ack
}

// round is one question to some stores, in their order.
type round[R interface{ GetAck() *Ack }] struct {
	set    *register.DiskSet
	order  []*register.DiskEntry
	enough int
	// wide asks all the others once one has not said yes.
	wide bool
	call func(*base.Ctx, Ledger, *Target) (R, error)
	yes  func(R) bool
	// over, where there is one, tells that no further answer matters.
	over func([]answer[R]) bool
}

// gather asks until enough say yes, all have answered or the time is over. It
// asks one more for each that does not say yes, and one more each time a while
// passes. moved tells that a newer set was learnt.
func gather[R interface{ GetAck() *Ack }](c *Client, ctx *base.Ctx, r round[R]) (taken []answer[R], moved bool) {
	var mu sync.Mutex
	bell := base.NewBell(c.clock)
	set, order, asked := r.set, r.order, 0
	answers := []answer[R]{}
	silent := map[string]bool{}
	ask := func(entry *register.DiskEntry) {
		one := answer[R]{entry: entry}
		for tries := 0; tries < 2; tries++ {
			reply, err := r.call(ctx.Within(c.bounds.Load().DiskLimit()), c.store(entry), &Target{Disk: entry.Id, Stamp: set.Stamp})
			if err != nil {
				c.counters.Add("ledger_unreached", 1)
				c.doubt(entry.Addr)
				break
			}
			one.reply, one.ack = reply, reply.GetAck()
			if one.ack.GetWhy() != "behind" {
				break
			}
			if _, err := c.store(entry).Learn(ctx.Within(c.bounds.Load().DiskLimit()), &LearnRequest{Set: set}); err != nil {
				break
			}
		}
		switch one.ack.GetWhy() {
		case "set":
			c.learn(one.ack.Set)
		case "blank", "broken", "full", "stalled":
			c.doubt(entry.Addr)
		}
		mu.Lock()
		answers = append(answers, one)
		delete(silent, entry.Addr)
		mu.Unlock()
		bell.Ring()
	}
	hedge := c.bounds.Load().Hedge()
	due := c.clock.Now() + hedge
	for {
		next := bell.Next()
		mu.Lock()
		taken = append([]answer[R](nil), answers...)
		said, good := len(taken), 0
		for _, one := range taken {
			moved = moved || one.ack.GetWhy() == "set" && one.ack.Set.GetStamp() > set.Stamp
			if one.ack != nil && r.yes(one.reply) {
				good++
			}
		}
		if moved || good >= r.enough || said == len(order) || r.over != nil && r.over(taken) || ctx.Over() {
			mu.Unlock()
			return taken, moved
		}
		want := r.enough - good + said
		if r.wide && said > good {
			want = len(order)
		}
		if now := c.clock.Now(); now >= due {
			want, due = max(want, asked+1), now+hedge
			if asked < len(order) {
				c.counters.Add("ledger_hedged", 1)
			}
			for _, addr := range base.SortedKeys(silent) {
				defer c.doubt(addr)
			}
		}
		chosen := order[asked:min(len(order), max(asked, want))]
		asked += len(chosen)
		for _, entry := range chosen {
			silent[entry.Addr] = true
		}
		mu.Unlock()
		for _, entry := range chosen {
			c.clock.Go(func() { ask(entry) })
		}
		wait := ctx.Left()
		if asked < len(order) {
			wait = min(wait, max(due-c.clock.Now(), hedge/16))
		}
		next.Wait(wait)
	}
}

// replicas are a program's in the newest set, in the order of asking.
func (c *Client) replicas(program string) (set *register.DiskSet, order []*register.DiskEntry, need int) {
	set = c.newest()
	if len(set.GetDisks()) == 0 {
		return nil, nil, 0
	}
	_, need = quorum(len(set.Disks), c.tolerate)
	return set, c.prefer(place(set, program, c.tolerate)), need
}

func (c *Client) pause(ctx *base.Ctx) {
	hedge := int64(c.bounds.Load().Hedge())
	c.clock.Sleep(min(ctx.Left(), time.Duration(hedge/4+c.clock.Int64N(hedge/2))))
}

// effort is one try at having the stores confirm something. A turn is not held
// for it towards its deadline: whoever asks is refused in time to come back.
type effort struct {
	client *Client
	ctx    *base.Ctx
	began  time.Duration
}

// confirming begins a try that lasts as long as one answer of a disk may take,
// and leaves half of the time that the turn has.
func (c *Client) confirming(ctx *base.Ctx) *effort {
	limit := min(c.bounds.Load().DiskLimit(), ctx.Left()/2)
	return &effort{client: c, ctx: ctx.Within(limit), began: c.clock.Now()}
}

// settledHedges is after how many hedges a try ends whose stores all answer and
// lack too much: only their filling helps, which takes longer.
const settledHedges = 4

// over tells that the try has ended. answered tells that every store that was
// asked gave an answer.
func (e *effort) over(answered bool) bool {
	settled := answered && e.client.clock.Now()-e.began >= settledHedges*e.client.bounds.Load().Hedge()
	return settled || e.ctx.Over()
}

func (c *Client) unreached(what string) error {
	c.counters.Add("ledger_unconfirmed", 1)
	return base.BusyFor(503, "ledger_unreachable", c.bounds.Load().Recover/40, "too few storage machines answered for %s", what)
}

// claimed is what one round of a claim came to.
type claimed struct {
	taken bool
	moved bool
	over  bool
	// best is the assignment that stands against the claim; it has won if a
	// quorum holds to it, or as good as won if its owner said that one did.
	best *Assignment
	won  bool
	// silent tells that not all replicas answered.
	silent bool
	spends map[string]*Spend
	alike  bool
}

func (c *Client) claim(ctx *base.Ctx, b *Beginning, epoch uint64, known []*Spend) claimed {
	set, order, need := c.replicas(b.Program)
	if set == nil {
		return claimed{}
	}
	claim := &Assignment{Session: b.Session, Owner: b.Owner, Run: b.Run, Epoch: epoch, Confirmed: b.Confirmed}
	good := func(reply *BeginReply) bool { return reply.Ack.GetWhy() == "" && reply.Ack.GetWhole() }
	against := func(answers []answer[*BeginReply]) (best *Assignment, won bool) {
		votes := map[[2]string]int{}
		held := 0
		for _, one := range answers {
			if one.ack.GetWhy() == "held" {
				holder := one.reply.Holder
				held++
				votes[[2]string{holder.Owner, holder.Run}]++
				if better(holder, best) {
					best = holder
				}
			}
		}
		if best == nil || best.Run == "" {
			return best, false
		}
		won = votes[[2]string{best.Owner, best.Run}] >= need || best.Epoch > epoch && held > len(order)-need
		return best, won || best.Confirmed && !b.Confirmed
	}
	answers, moved := gather(c, ctx, round[*BeginReply]{set: set, order: order, enough: need, yes: good,
		call: func(ctx *base.Ctx, store Ledger, target *Target) (*BeginReply, error) {
			return store.Begin(ctx, &BeginRequest{Target: target, Program: b.Program, Claim: claim, Turn: b.Turn, Previous: b.Previous,
				Budgeted: b.Budgeted, Most: b.Most, KeepMs: b.Keep.Milliseconds(), Known: known})
		},
		over: func(answers []answer[*BeginReply]) bool {
			_, won := against(answers)
			return won
		}})
	came := claimed{moved: moved, spends: map[string]*Spend{}, alike: true, silent: len(answers) < len(order)}
	took := 0
	var first []*Spend
	for _, one := range answers {
		switch {
		case one.ack == nil:
			came.silent = true
		case good(one.reply):
			if took++; took == 1 {
				first = one.reply.Others
			}
			came.alike = came.alike && sameSpends(first, one.reply.Others)
			for _, held := range one.reply.Others {
				came.count(held)
			}
		case one.reply.Over:
			came.over = true
		}
	}
	came.best, came.won = against(answers)
	came.taken = took >= need && !moved
	return came
}

// better orders assignments that stand against each other.
func better(a, b *Assignment) bool {
	switch {
	case b == nil || a.Epoch != b.Epoch:
		return b == nil || a.Epoch > b.Epoch
	case a.Confirmed != b.Confirmed:
		return a.Confirmed
	}
	return b.Run == "" || a.Run != "" && a.Run < b.Run
}

func (r *claimed) count(held *Spend) {
	key := held.Turn + "/" + held.Run
	known, ok := r.spends[key]
	if !ok || held.Settled && !known.Settled || held.Settled == known.Settled && held.Tokens > known.Tokens {
		r.spends[key] = held
	}
}

func (r *claimed) known() []*Spend {
	return base.Map(base.SortedKeys(r.spends), func(key string) *Spend { return r.spends[key] })
}

// merge adds what an earlier round saw.
func (r *claimed) merge(former claimed) {
	for _, held := range former.spends {
		r.count(held)
	}
}

func (r *claimed) sums() (settled, open int64) {
	for _, held := range r.spends {
		if held.Settled {
			settled += held.Tokens
		} else {
			open += held.Tokens
		}
	}
	return settled, open
}

func sameSpends(a, b []*Spend) bool {
	if len(a) != len(b) {
		return false
	}
	known := map[[2]string]bool{}
	for _, held := range a {
		known[[2]string{held.Turn, held.Run}] = true
	}
	for _, held := range b {
		if !known[[2]string{held.Turn, held.Run}] {
			return false
		}
	}
	return true
}

// Begin claims the session and reserves the turn's tokens. When another holds
// the session nothing is reserved and the holder is told. An error means that
// the turn must not run.
func (c *Client) Begin(ctx *base.Ctx, b *Beginning) (*Begun, error) {
	epoch := max(b.Epoch, 1)
	came, err := c.settleClaim(ctx, b, &epoch, nil)
	if err != nil || came.best != nil {
		c.cancel(b)
		if err != nil {
			return nil, err
		}
		return &Begun{Owner: came.best.Owner, Run: came.best.Run, Epoch: came.best.Epoch}, nil
	}
	if b.Budgeted && b.Turn != "" {
		if err := c.afford(ctx, b, &epoch, came); err != nil {
			c.cancel(b)
			return nil, err
		}
	}
	return &Begun{Mine: true, Owner: b.Owner, Run: b.Run, Epoch: epoch}, nil
}

// settleClaim asks until a quorum took the claim or it must give way. Where the
// replicas' votes are split between claims at one epoch, the one whose Run is
// first by name asks again at a higher one.
func (c *Client) settleClaim(ctx *base.Ctx, b *Beginning, epoch *uint64, known []*Spend) (claimed, error) {
	try := c.confirming(ctx)
	ctx = try.ctx
	answered := false
	for tries := 0; !try.over(answered); tries++ {
		came := c.claim(ctx, b, *epoch, known)
		best := came.best
		answered = best == nil && !came.silent && !came.moved
		switch {
		case came.moved:
		case came.taken:
			came.best = nil
			return came, nil
		case came.over:
			return came, base.Decline(409, "turn_over", "the turn is over; this is a late copy")
		case came.won:
			return came, nil
		case best == nil || came.silent && tries < 3 || b.Confirmed && best.Epoch > *epoch:
			c.pause(ctx)
		case best.Run == "" || best.Epoch == *epoch && b.Run < best.Run:
			c.counters.Add("ledger_claims_split", 1)
			*epoch = best.Epoch + 1
		default:
			return came, nil
		}
	}
	return claimed{}, c.unreached("the program's state")
}

// afford decides whether the budget holds the turn. Any two reservations meet
// at some replica, where the later sees the earlier, but of three each may see
// only one other. So one round is enough only where all replicas saw the same
// reservations. Otherwise a second, begun after the first was on a quorum, sees
// whatever was granted before it, and tells each replica what it missed. Of any
// reservations granted so, one sees all the others; docs/duties/ledger.md says
// why.
func (c *Client) afford(ctx *base.Ctx, b *Beginning, epoch *uint64, came claimed) error {
	for tries := 0; ; tries++ {
		if !came.alike || tries > 0 {
			c.counters.Add("ledger_second_rounds", 1)
			again, err := c.settleClaim(ctx, b, epoch, came.known())
			if err != nil {
				return err
			}
			if again.best != nil {
				return base.Decline(409, "stale_assignment", "the session is assigned to another Run")
			}
			again.merge(came)
			came = again
		}
		settled, open := came.sums()
		if settled+open < b.Budget {
			return nil
		}
		if settled+came.ahead(b.Turn+"/"+b.Run) >= b.Budget || tries == 3 || ctx.Over() {
			return base.Decline(402, "over_budget", "the program's budget is spent")
		}
		c.clock.Sleep(min(ctx.Left(), c.bounds.Load().Hedge()/8<<tries))
	}
}

// ahead is what reservations came to that are before one by name. Where too
// many want what is left, those behind give way at once.
func (r *claimed) ahead(name string) int64 {
	sum := int64(0)
	for key, held := range r.spends {
		if !held.Settled && key < name {
			sum += held.Tokens
		}
	}
	return sum
}

// cancel takes back what a turn reserved that will not run.
func (c *Client) cancel(b *Beginning) {
	if !b.Budgeted || b.Turn == "" {
		return
	}
	c.clock.Go(func() {
		_ = c.Settle(base.NewCtx(c.clock, c.bounds.Load().Call()), &Settled{Program: b.Program, Run: b.Run, Turn: b.Turn, Keep: b.Keep})
	})
}

// Succeed takes a session over from a Run; it is told by that Run's epoch.
// Whoever loses a race is told who won.
func (c *Client) Succeed(ctx *base.Ctx, program, session, owner, run string, expected uint64, keep time.Duration) (*Begun, error) {
	return c.Begin(ctx, &Beginning{Program: program, Session: session, Owner: owner, Run: run, Epoch: expected + 1, Keep: keep})
}

// Finish keeps a turn that was answered whole. Until it returns without error
// the end of the answer must not be let out.
func (c *Client) Finish(ctx *base.Ctx, f *Finished) error {
	claim := &Assignment{Session: f.Session, Owner: f.Owner, Run: f.Run, Epoch: f.Epoch, Confirmed: true}
	for !ctx.Over() {
		set, order, need := c.replicas(f.Program)
		if set == nil {
			c.pause(ctx)
			continue
		}
		stale := func(answers []answer[*WriteReply]) bool {
			return len(base.Filter(answers, func(one answer[*WriteReply]) bool { return one.ack.GetWhy() == "held" })) > len(order)-need
		}
		answers, moved := gather(c, ctx, round[*WriteReply]{set: set, order: order, enough: need, yes: wholeYes, over: stale,
			call: func(ctx *base.Ctx, store Ledger, target *Target) (*WriteReply, error) {
				return store.Finish(ctx, &FinishRequest{Target: target, Program: f.Program, Claim: claim, Turn: f.Turn, Previous: f.Previous,
					Input: f.Input, Output: f.Output, Budgeted: f.Budgeted, Tokens: f.Tokens, KeepMs: f.Retain.Milliseconds()})
			}})
		switch {
		case moved:
		case wholes(answers) >= need:
			return nil
		case stale(answers):
			return base.Decline(409, "stale_assignment", "the session is assigned to another Run")
		default:
			c.pause(ctx)
		}
	}
	return base.Unsure(503, "outcome_unknown", "too few storage machines answered for the turn's end")
}

func wholeYes(reply *WriteReply) bool { return reply.Ack.GetWhy() == "" && reply.Ack.GetWhole() }

func wholes(answers []answer[*WriteReply]) int {
	return len(base.Filter(answers, func(one answer[*WriteReply]) bool { return one.ack != nil && wholeYes(one.reply) }))
}

// Settle says what a turn came to that was not answered whole: nought where it
// surely handed nothing out.
func (c *Client) Settle(ctx *base.Ctx, t *Settled) error {
	for !ctx.Over() {
		set, order, need := c.replicas(t.Program)
		if set == nil {
			c.pause(ctx)
			continue
		}
		answers, moved := gather(c, ctx, round[*WriteReply]{set: set, order: order, enough: need, yes: wholeYes,
			call: func(ctx *base.Ctx, store Ledger, target *Target) (*WriteReply, error) {
				return store.Settle(ctx, &SettleRequest{Target: target, Program: t.Program, Run: t.Run, Turn: t.Turn, Tokens: t.Tokens, KeepMs: t.Keep.Milliseconds()})
			}})
		if wholes(answers) >= need && !moved {
			return nil
		}
		if !moved {
			c.pause(ctx)
		}
	}
	return base.Unsure(503, "outcome_unknown", "too few storage machines answered for what the turn came to")
}

// Chain gives a turn and all before it, oldest first. The program is a hint
// where to look. A turn is told unknown only when no quorum can hide it.
func (c *Client) Chain(ctx *base.Ctx, program, id string) ([]*Turn, error) {
	found := []*Turn{}
	for id != "" {
		part, err := c.look(ctx, program, id)
		if len(found) > 0 && base.IsCode(err, "unknown_turn") {
			c.counters.Add("ledger_chains_broken", 1)
			return nil, base.Busy(503, "chain_broken", 1, "a turn that the chain goes on from is missing")
		}
		if err != nil {
			return nil, err
		}
		found = append(part, found...)
		program, id = part[0].Program, part[0].Previous
	}
	return found, nil
}

func (c *Client) look(ctx *base.Ctx, program, id string) ([]*Turn, error) {
	try := c.confirming(ctx)
	ctx = try.ctx
	answered := false
	for !try.over(answered) {
		set, order, need := c.replicas(program)
		if set == nil {
			c.pause(ctx)
			continue
		}
		others := base.Filter(set.Disks, func(entry *register.DiskEntry) bool { return !slices.Contains(order, entry) })
		has := func(reply *ChainReply) bool { return reply.Ack.GetWhy() == "" && len(reply.Turns) > 0 }
		absent := func(answers []answer[*ChainReply]) bool {
			without := base.Filter(answers, func(one answer[*ChainReply]) bool {
				return one.ack != nil && one.ack.Why == "" && one.ack.Whole && len(one.reply.Turns) == 0
			})
			return len(without) > len(set.Disks)-need
		}
		answers, moved := gather(c, ctx, round[*ChainReply]{set: set, order: append(order, c.prefer(others)...), enough: 1, wide: true, yes: has, over: absent,
			call: func(ctx *base.Ctx, store Ledger, target *Target) (*ChainReply, error) {
				return store.Chain(ctx, &ChainRequest{Target: target, Turn: id})
			}})
		for _, one := range answers {
			if one.ack != nil && has(one.reply) {
				return one.reply.Turns, nil
			}
		}
		if !moved && absent(answers) {
			return nil, base.Decline(404, "unknown_turn", "there is no such turn")
		}
		answered = !moved && allAnswered(answers, len(set.Disks))
		if !moved {
			c.pause(ctx)
		}
	}
	return nil, c.unreached("the turn's chain")
}

// Gaps lists the disks of a set whose stores lack something or do not answer,
// with the reason; a store that goes by an older set is told the newer one.
func (c *Client) Gaps(ctx *base.Ctx, set *register.DiskSet) []register.DiskGap {
	var mu sync.Mutex
	reasons := map[string]string{}
	for _, entry := range set.GetDisks() {
		reasons[entry.Id] = "does not answer for its turn history"
	}
	base.AskAll(c.clock, set.GetDisks(), ctx.Left(), func(ctx *base.Ctx, entry *register.DiskEntry) {
		reason := c.gap(ctx, set, entry)
		mu.Lock()
		defer mu.Unlock()
		reasons[entry.Id] = reason
	})
	mu.Lock()
	defer mu.Unlock()
	gaps := []register.DiskGap{}
	for _, disk := range base.SortedKeys(reasons) {
		if reasons[disk] != "" {
			gaps = append(gaps, register.DiskGap{Disk: disk, Reason: reasons[disk]})
		}
	}
	return gaps
}

// gap says what one store lacks under a set; nothing where it is whole.
func (c *Client) gap(ctx *base.Ctx, set *register.DiskSet, entry *register.DiskEntry) string {
	state, err := c.store(entry).Describe(ctx, &DescribeRequest{})
	switch {
	case err != nil:
		return "does not answer for its turn history"
	case state.Disk != entry.Id:
		return "is another one now"
	case state.Stamp < set.Stamp:
		if _, err := c.store(entry).Learn(ctx, &LearnRequest{Set: set}); err != nil {
			return "does not answer for its turn history"
		}
		return fmt.Sprintf("goes by set %d of %d", state.Stamp, set.Stamp)
	case state.Stamp > set.Stamp:
		return fmt.Sprintf("goes by set %d already", state.Stamp)
	case state.Whole < set.Stamp:
		return fmt.Sprintf("has its turn history whole up to set %d of %d", state.Whole, set.Stamp)
	}
	return ""
}

// allAnswered tells that each of a number of stores gave an answer.
func allAnswered[R any](answers []answer[R], stores int) bool {
	said := base.Filter(answers, func(one answer[R]) bool { return one.ack != nil })
	return len(said) == stores
}

// Whole tells whether every store of the newest set lacks nothing.
func (c *Client) Whole(ctx *base.Ctx) bool {
	set := c.newest()
	return set != nil && len(c.Gaps(ctx.Within(c.bounds.Load().DiskLimit()), set)) == 0
}

// Emptied tells whether a disk is out of the set and nothing rests on it.
func (c *Client) Emptied(ctx *base.Ctx, disk string) bool {
	set := c.newest()
	return set != nil && entryIn(set, disk) == nil && c.Whole(ctx)
}

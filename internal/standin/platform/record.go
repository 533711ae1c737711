// What the parties saw, as one record: tries of clients, arrivals at workers,
// what the platform's list showed, operators' orders, and troubles that the
// harness brought about. Moments are on the one clock of the run. The ledger
// gathers it from many tasks; the checker reads it when all have ended.

package platform

import (
	"sync"
	"time"
)

// Event is one event of a stream.
type Event struct {
	ID   int64
	Data string
	At   time.Duration
}

// Try is one request of a client under an id of its own, and what came of it.
type Try struct {
	ID       string
	Class    string
	Kind     Kind
	Host     string
	Method   string
	Target   string
	Header   [][2]string
	Body     []byte `json:"-"`
	Chunked  bool
	Zone     string
	Client   string
	Fresh    bool
	Deadline time.Duration
	Aim      time.Duration
	Pause    time.Duration
	Retain   time.Duration
	MaxTries int
	// Resumable streams may be continued; After is the event that this try goes on
	// from.
	Resumable bool
	After     int64
	// Probe requests go to one node directly and reveal its configuration.
	Probe bool

	Program  string
	Session  string
	Previous string
	Budget   int64
	Most     int64

	Node string
	// Sent is when its first byte left, Written when its last did, First when
	// the first event or byte of the body came, Ended when it was over.
	Sent, Written, First, Ended time.Duration
	Status                      int
	Echo                        string
	Seal                        string
	Encoding                    string
	RetryAfter                  time.Duration
	Answer                      string // digest of the body
	Events                      []Event
	// Complete answers ended as the protocol says; GaveUp tries were left by
	// the client; Unread ones were closed without having been read.
	Complete, GaveUp, Unread bool
	// Garbage tells of bytes that form no answer, Surplus of bytes that came
	// where no request was waiting.
	Garbage, Surplus string
}

// Succeeded says that a whole answer of success came.
func (t *Try) Succeeded() bool {
	return t.Status >= 200 && t.Status < 300 && t.Complete && t.Seal != ""
}

// Repeatable says that the request may run more than once.
func (t *Try) Repeatable() bool { return t.Kind == Idempotent || t.Resumable }

// AnsweredBySystem says that the answer is the system's own and not a worker's.
func (t *Try) AnsweredBySystem() bool { return t.Status != 0 && t.Seal == "" }

// Arrival is one request as a worker saw it.
type Arrival struct {
	Worker  string
	Service string
	ID      string
	Host    string
	Method  string
	Target  string
	Body    string // digest
	After   int64  // the event that it was to go on from
	At      time.Duration
	// Ran is set once the worker has begun to work on it.
	Ran          bool
	Began, Ended time.Duration
	Status       int
	Seal         string
	Answer       string // digest of the whole body
	Events       []Event
	// Whole answers were sent to their end; Broke ones the worker cut off
	// itself, Left ones the other side did.
	Whole, Broke, Left bool
}

// Notice is the moment the platform's list showed a worker as leaving or gone.
type Notice struct {
	Worker string
	At     time.Duration
}

// Trouble is a span in which something was done to a machine.
type Trouble struct {
	Kind    string
	Machine string
	Class   string
	From    time.Duration
	To      time.Duration
	// Term and Hup are planned: their process is told and goes on or ends.
	Term, Hup, Slow bool
}

// Planned troubles are no trouble to a process that keeps the rules.
func (t *Trouble) Planned() bool { return t.Term || t.Hup }

// Order is one configuration of an operator, with all its repeats.
type Order struct {
	Operator string
	Base     uint64
	Config   *Config // nil when it cannot be read whole
	Raw      []byte  `json:"-"`
	Fault    string  // why it is invalid, or nothing
	Sent     time.Duration
	Ended    time.Duration
	Status   int
	// Unclear orders had a call that got no clear answer.
	Unclear bool
	// Node is the address that gave the last answer.
	Node string
}

// Acked orders were answered 200.
func (o *Order) Acked() bool { return o.Status == 200 }

// Refused orders cannot be in force: none of their calls was without a clear answer.
func (o *Order) Refused() bool { return o.Status >= 400 && o.Status < 500 && !o.Unclear }

// Generation is the order's version, 0 when it cannot be read.
func (o *Order) Generation() uint64 {
	if o.Config == nil {
		return 0
	}
	return o.Config.Generation
}

// ReadBack is the configuration as the system gave it at the end.
type ReadBack struct {
	At     time.Duration
	Status int
	Raw    []byte
}

// Start is the beginning of one life of a machine's process.
type Start struct {
	Machine string
	Class   string
	At      time.Duration
}

// Closing is the fault at the end of a day, and when its machines were back.
type Closing struct {
	From, Back time.Duration
}

// Bounds are the figures of the rules.
type Bounds struct {
	SeedLag, ReuseAfter, Contact, Ack, CatchUp, Drain, Grace, LossSlack     time.Duration
	Apply, RevertSlack, Stretch, Recovery, Pass, Finish, Settle, ListMaxLag time.Duration
}

// DefaultBounds are those of both known deployments.
func DefaultBounds() Bounds {
	ms := time.Millisecond
	return Bounds{SeedLag: 3000 * ms, ReuseAfter: 2000 * ms, Contact: 3000 * ms, Ack: 4000 * ms, CatchUp: 4100 * ms, Drain: 3000 * ms, Grace: 8000 * ms,
		LossSlack: 200 * ms, Apply: 2000 * ms, RevertSlack: 250 * ms, Stretch: 5000 * ms, Recovery: 12000 * ms, Pass: 120 * ms, Finish: 10000 * ms,
		Settle: 1000 * ms, ListMaxLag: 800 * ms}
}

// Ending is how a program ended.
type Ending string

const (
	InTime      Ending = "in time"
	Late        Ending = "late"
	TooLate     Ending = "too late"
	Failed      Ending = "failed"
	BudgetSpent Ending = "budget spent"
)

// Outcome is one program's end, or one plain request's.
type Outcome struct {
	Class   string
	Program string
	Began   time.Duration
	Ended   time.Duration
	Ending  Ending
	Why     string
	Runaway bool
}

// Record is everything that was seen.
type Record struct {
	Bounds   Bounds
	Stride   int
	Tries    []*Try
	Arrivals []*Arrival
	Notices  []Notice
	Troubles []*Trouble
	Orders   []*Order
	Reads    []ReadBack
	Starts   []Start
	Closing  *Closing
	Outcomes []Outcome
	// Core is how many core machines there are.
	Core int
	// Over is when the run ended.
	Over time.Duration
}

// Recorder gathers a record from many tasks.
type Recorder struct {
	mu     sync.Mutex
	record Record
}

func NewRecorder(bounds Bounds, stride, core int) *Recorder {
	return &Recorder{record: Record{Bounds: bounds, Stride: stride, Core: core}}
}

// Update changes the record under the ledger's lock.
func (l *Recorder) Update(change func(r *Record)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.record)
}

// Snapshot gives the record as it stands, tries in copies of their own.
func (l *Recorder) Snapshot() *Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	copied := l.record
	copied.Arrivals = make([]*Arrival, 0, len(l.record.Arrivals))
	for _, arrival := range l.record.Arrivals {
		one := *arrival
		copied.Arrivals = append(copied.Arrivals, &one)
	}
	copied.Tries = append([]*Try(nil), l.record.Tries...)
	copied.Troubles = append([]*Trouble(nil), l.record.Troubles...)
	copied.Orders = append([]*Order(nil), l.record.Orders...)
	return &copied
}

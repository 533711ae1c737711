package platform

import (
	"sync"
	"time"
)

// Event is one event of a stream. At is when the client received it or the worker sent it.
type Event struct {
	ID   int64
	Data string
	At   time.Duration
}

// Try is one request of a client, with an id of its own, and its outcome. A client that
// retries makes a new Try.
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
	Fresh    bool // a retry, which uses a new connection
	Deadline time.Duration
	Aim      time.Duration // target latency
	Pause    time.Duration // target gap between events
	Retain   time.Duration // how long the turn is retained, 0 if it isn't
	MaxTries int           // workers that the route lets it run on
	// Resumable streams may be continued; After is the id of the last event that the
	// client has, from which this try continues.
	Resumable bool
	After     int64
	// Probe requests go directly to one node, to find out which configuration it uses.
	Probe bool

	Program  string
	Session  string
	Previous string // id of the turn that this one continues
	Budget   int64  // tokens of the whole program
	Most     int64  // tokens that this turn may put out

	Node string
	// Sent is when the first byte was sent, Written when the last one was, First when the
	// first event or byte of the body arrived, Ended when the try was over.
	Sent, Written, First, Ended time.Duration
	Status                      int
	Echo                        string // try id in the answer
	Seal                        string // the worker's proof that it ran the request
	Encoding                    string
	RetryAfter                  time.Duration
	Answer                      string // digest of the body
	Events                      []Event
	// Complete is set when the answer ended as the protocol says, GaveUp when the client
	// abandoned the try, Unread when the node closed it without having read it.
	Complete, GaveUp, Unread bool
	// Garbage describes bytes that are not an HTTP response, Surplus bytes that arrived on
	// the connection when no request was waiting for them.
	Garbage, Surplus string
}

// Succeeded reports whether a complete 2xx answer of a worker arrived.
func (t *Try) Succeeded() bool {
	return t.Status >= 200 && t.Status < 300 && t.Complete && t.Seal != ""
}

// Repeatable reports whether the request may run more than once.
func (t *Try) Repeatable() bool { return t.Kind == Idempotent || t.Resumable }

// AnsweredBySystem reports whether the answer was made by the system under test itself: it
// has no worker's seal.
func (t *Try) AnsweredBySystem() bool { return t.Status != 0 && t.Seal == "" }

// Arrival is one request as a worker received it.
type Arrival struct {
	Worker  string
	Service string
	ID      string
	Host    string
	Method  string
	Target  string
	Body    string // digest
	After   int64  // id of the event to continue after
	At      time.Duration
	// Ran is set when the worker begins to work on the request.
	Ran          bool
	Began, Ended time.Duration
	Status       int
	Seal         string
	Answer       string // digest of the whole body
	Events       []Event
	// Whole is set when the answer was sent to its end, Broke when the worker broke it off
	// itself, Left when the other side did.
	Whole, Broke, Left bool
	// EndlessBytes is how much of an endless answer the connection took, buffers of sockets
	// included; 0 if the answer had an end.
	EndlessBytes int64 `json:",omitempty"`
}

// Notice is the time at which the instance list showed a worker as draining or removed.
type Notice struct {
	Worker string
	At     time.Duration
}

// Trouble is a period during which the test harness disturbed a machine.
type Trouble struct {
	Kind    string
	Machine string
	Class   string
	From    time.Duration
	To      time.Duration
	// Term (the process is told to stop) and Hup (it is told to reload its settings) are
	// planned. Slow machines run slower.
	Term, Hup, Slow bool
}

// Planned reports whether the process was told beforehand, so that a correct process loses
// nothing.
func (t *Trouble) Planned() bool { return t.Term || t.Hup }

// Order is one configuration sent by an operator, with all the calls repeated for it.
type Order struct {
	Operator string
	Base     uint64
	Config   *Config // nil when Raw can't be parsed
	Raw      []byte  `json:"-"`
	Fault    string  // why it is invalid, or empty
	Sent     time.Duration
	Ended    time.Duration
	Status   int
	// Unclear is set when one of the calls had no definite answer, so that the
	// configuration may have been accepted.
	Unclear bool
	// Node is the address that was called last.
	Node string
}

// Acked reports whether the configuration was acknowledged with 200.
func (o *Order) Acked() bool { return o.Status == 200 }

// Refused reports whether the configuration can't be in force: it was rejected, and no call
// was without a definite answer.
func (o *Order) Refused() bool { return o.Status >= 400 && o.Status < 500 && !o.Unclear }

// Generation returns the configuration's generation, or 0 when it can't be parsed.
func (o *Order) Generation() uint64 {
	if o.Config == nil {
		return 0
	}
	return o.Config.Generation
}

// ReadBack is one answer to a request for the current configuration at the end of a run.
type ReadBack struct {
	At     time.Duration
	Status int
	Raw    []byte
}

// Start is one start of a machine's process.
type Start struct {
	Machine string
	Class   string
	At      time.Duration
}

// Closing is the fault at the end of a run, and when its machines were back.
type Closing struct {
	From, Back time.Duration
}

// Bounds are the time limits and tolerances of the rules, as they stand in the settings file.
// The checker uses these: after Contact without trouble, a node must keep the other bounds;
// Ack limits an acknowledgement, Apply the time from there until every node uses the
// configuration, with Stretch added while only a majority of the core is undisturbed; Drain
// limits new work on a draining worker, Grace is what a stopping node has to finish its
// requests, LossSlack and RevertSlack allow for timing, and Recovery follows a closing fault.
type Bounds struct {
	SeedLag, ReuseAfter, Contact, Ack, CatchUp, Drain, Grace, LossSlack     time.Duration
	Apply, RevertSlack, Stretch, Recovery, Pass, Finish, Settle, ListMaxLag time.Duration
}

// DefaultBounds returns the bounds of both known deployments.
func DefaultBounds() Bounds {
	ms := time.Millisecond
	return Bounds{SeedLag: 3000 * ms, ReuseAfter: 2000 * ms, Contact: 3000 * ms, Ack: 4000 * ms, CatchUp: 4100 * ms, Drain: 3000 * ms, Grace: 8000 * ms,
		LossSlack: 200 * ms, Apply: 2000 * ms, RevertSlack: 250 * ms, Stretch: 5000 * ms, Recovery: 12000 * ms, Pass: 120 * ms, Finish: 10000 * ms,
		Settle: 1000 * ms, ListMaxLag: 800 * ms}
}

// Ending says how a program ended: in time is within its target, late within twice the
// target.
type Ending string

const (
	InTime      Ending = "in time"
	Late        Ending = "late"
	TooLate     Ending = "too late"
	Failed      Ending = "failed"
	BudgetSpent Ending = "budget spent"
)

// Outcome is the result of one program or of one request outside programs.
type Outcome struct {
	Class   string
	Program string
	Began   time.Duration
	Ended   time.Duration
	Ending  Ending
	Why     string
	Runaway bool
}

// Record is everything that clients, workers, operators and the instance list observed in a
// run, and what the harness did. All times are on the one clock of the run.
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
	// Continuations lists the turns that clients tried to continue at the end of a run, when
	// all machines were back, until one of the tries was answered or the recovery bound was
	// over.
	Continuations []string
	// Core is the number of core machines.
	Core int
	// Over is when the run ended.
	Over time.Duration
}

// Recorder collects a record from concurrent tasks; the checker reads it after all of them
// have ended.
type Recorder struct {
	mu     sync.Mutex
	record Record
}

// NewRecorder returns a recorder of an empty record.
func NewRecorder(bounds Bounds, stride, core int) *Recorder {
	return &Recorder{record: Record{Bounds: bounds, Stride: stride, Core: core}}
}

// Update changes the record while holding the recorder's lock.
func (r *Recorder) Update(change func(r *Record)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.record)
}

// Snapshot returns the record as it stands. Arrivals are copied; tries, troubles and orders
// are shared with the recorder, in lists of their own.
func (r *Recorder) Snapshot() *Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	copied := r.record
	copied.Arrivals = make([]*Arrival, 0, len(r.record.Arrivals))
	for _, arrival := range r.record.Arrivals {
		arrivalCopy := *arrival
		copied.Arrivals = append(copied.Arrivals, &arrivalCopy)
	}
	copied.Tries = append([]*Try(nil), r.record.Tries...)
	copied.Troubles = append([]*Trouble(nil), r.record.Troubles...)
	copied.Orders = append([]*Order(nil), r.record.Orders...)
	return &copied
}

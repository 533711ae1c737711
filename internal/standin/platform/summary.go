package platform

import (
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
	"time"

	"fordseam/internal/base"
)

// LatencySummary is the number, the 50th and 95th percentiles and the maximum of latencies.
type LatencySummary struct {
	Count    int
	P50, P95 time.Duration
	Max      time.Duration
}

// SummarizeLatencies returns the summary of a list of latencies.
func SummarizeLatencies(latencies []time.Duration) LatencySummary {
	if len(latencies) == 0 {
		return LatencySummary{}
	}
	sorted := slices.Sorted(slices.Values(latencies))
	quantile := func(share float64) time.Duration { return sorted[int(share*float64(len(sorted)-1))] }
	return LatencySummary{len(sorted), quantile(0.5), quantile(0.95), sorted[len(sorted)-1]}
}

func (s LatencySummary) String() string {
	return fmt.Sprintf("p50 %.1f ms  p95 %.1f ms  max %.1f ms  (%d)", ms(s.P50), ms(s.P95), ms(s.Max), s.Count)
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// ClassSummary summarizes one class of requests: how programs and tries ended, and how long
// callers waited.
type ClassSummary struct {
	ProgramsByEnding map[Ending]int
	Runaways         int
	Tries            int
	TriesByStatus    map[string]int
	FirstEvent       LatencySummary
	EventGaps        LatencySummary
	FullAnswer       LatencySummary
	EventDelay       LatencySummary // from an event's sending by the worker to its arrival at the client
}

// Summarize summarizes a record by class of requests.
func (r *Record) Summarize() map[string]*ClassSummary {
	type lists struct{ first, gaps, whole, passing []time.Duration }
	all, times := map[string]*ClassSummary{}, map[string]*lists{}
	classOf := func(class string) (*ClassSummary, *lists) {
		if all[class] == nil {
			all[class], times[class] = &ClassSummary{ProgramsByEnding: map[Ending]int{}, TriesByStatus: map[string]int{}}, &lists{}
		}
		return all[class], times[class]
	}
	for _, o := range r.Outcomes {
		s, _ := classOf(o.Class)
		if o.Runaway {
			s.Runaways++
			continue
		}
		s.ProgramsByEnding[o.Ending]++
	}
	runs := map[string]*Arrival{}
	for _, a := range r.Arrivals {
		if a.Ran {
			runs[a.ID] = a
		}
	}
	for _, t := range r.Tries {
		s, l := classOf(t.Class)
		s.Tries++
		s.TriesByStatus[t.StatusText()]++
		if !t.Succeeded() {
			continue
		}
		l.whole = append(l.whole, t.Ended-t.Sent)
		l.first = append(l.first, t.First-t.Sent)
		for index, event := range t.Events {
			if index > 0 {
				l.gaps = append(l.gaps, event.At-t.Events[index-1].At)
			}
			if run := runs[t.ID]; run != nil && index < len(run.Events) {
				l.passing = append(l.passing, event.At-run.Events[index].At)
			}
		}
	}
	for class, s := range all {
		l := times[class]
		s.FirstEvent, s.EventGaps, s.FullAnswer, s.EventDelay = SummarizeLatencies(l.first), SummarizeLatencies(l.gaps), SummarizeLatencies(l.whole), SummarizeLatencies(l.passing)
	}
	return all
}

// StatusText describes how a try ended: its status, or why there is none.
func (t *Try) StatusText() string {
	word := fmt.Sprint(t.Status)
	switch {
	case t.Status == 0 && t.GaveUp:
		return "given up"
	case t.Status == 0 && t.Unread:
		return "closed unread"
	case t.Status == 0:
		return "closed"
	case !t.Complete:
		word += " cut"
	}
	if t.AnsweredBySystem() {
		word += " own"
	}
	return word
}

var tryIDPattern = regexp.MustCompile(`\b[0-9a-f]{16}\b`)

// DescribeTry describes the outcome of a try: what its client saw, and each worker that it
// reached.
func (r *Record) DescribeTry(id string) string {
	var lines []string
	for _, t := range r.Tries {
		if t.ID == id {
			lines = append(lines, fmt.Sprintf("%.3fs %s %s %s%s to %s, previous %q: %s, %d events, until %.3fs", t.Sent.Seconds(), t.Class, t.Method, t.Host, t.Target, t.Node,
				t.Previous, t.StatusText(), len(t.Events), t.Ended.Seconds()))
		}
	}
	for _, a := range r.Arrivals {
		if a.ID == id {
			lines = append(lines, fmt.Sprintf("%.3fs at %s of %s: ran %v, status %d, %d events, whole %v, broke off %v, left %v, until %.3fs", a.At.Seconds(), a.Worker, a.Service, a.Ran,
				a.Status, len(a.Events), a.Whole, a.Broke, a.Left, a.Ended.Seconds()))
		}
	}
	return strings.Join(lines, "; ")
}

// Print writes a readable summary of the record and its breaches; it describes the first try
// named by a breach of each rule.
func (r *Record) Print(out io.Writer, breaches []Breach) {
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(out, format+"\n", args...) }
	classes := r.Summarize()
	for _, name := range base.SortedKeys(classes) {
		s := classes[name]
		line("%s: %d tries", name, s.Tries)
		for _, ending := range []Ending{InTime, Late, TooLate, Failed, BudgetSpent} {
			if s.ProgramsByEnding[ending] > 0 {
				line("  programs %-14s %d", ending, s.ProgramsByEnding[ending])
			}
		}
		if s.Runaways > 0 {
			line("  runaway programs  %d", s.Runaways)
		}
		for _, status := range base.SortedKeys(s.TriesByStatus) {
			line("  answered %-14s %d", status, s.TriesByStatus[status])
		}
		for _, spread := range []struct {
			what string
			is   LatencySummary
		}{{"first event", s.FirstEvent}, {"between events", s.EventGaps}, {"full answer", s.FullAnswer}, {"event delay", s.EventDelay}} {
			if spread.is.Count > 0 {
				line("  %-20s %s", spread.what, spread.is)
			}
		}
	}
	reasons := map[string]int{}
	for _, o := range r.Outcomes {
		if o.Ending == Failed && !o.Runaway {
			reasons[o.Class]++
			if reasons[o.Class] <= 3 {
				line("failed: %s %s at %.1fs: %s", o.Class, o.Program, o.Ended.Seconds(), o.Why)
			}
		}
	}
	acked := 0
	for _, o := range r.Orders {
		if o.Acked() {
			acked++
		}
	}
	line("configurations: %d sent, %d acknowledged; %d troubles", len(r.Orders), acked, len(r.Troubles))
	described := map[string]bool{}
	for _, b := range breaches {
		line("BROKEN %s", b)
		if id := tryIDPattern.FindString(b.Detail); id != "" && !described[b.Rule] {
			described[b.Rule] = true
			line("  %s", r.DescribeTry(id))
		}
	}
	if len(breaches) == 0 {
		line("no rule broken")
	}
}

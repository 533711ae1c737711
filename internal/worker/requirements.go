package worker

import "fordseam/internal/policy"

// Requirements describes which worker a request needs and how it queues for one.
type Requirements struct {
	Pool string
	// AffinityKey orders the pool's workers for rendezvous hashing, so that
	// requests with the same key tend to go to the same worker.
	AffinityKey string
	// LastWorker is the worker that ran the session's previous request and has
	// its prefix cached; empty if there is none.
	LastWorker string
	Program    string
	Site       string
	Urgency    string
	// MaxQueue is the queue length of the pool at which the request is declined
	// instead of queued.
	MaxQueue int
	// Tried holds the ids of workers that must not be picked again.
	Tried map[string]bool
	// Policy, if not nil, may choose among the workers.
	Policy *policy.Policy
}

// urgencyLevels orders the urgencies of requests, the most urgent last.
var urgencyLevels = map[string]int{"low": 0, "normal": 1, "": 1, "urgent": 2}

// ValidUrgency reports whether name is a known urgency.
func ValidUrgency(name string) bool { _, ok := urgencyLevels[name]; return ok }

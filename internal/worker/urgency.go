// What a request needs of a worker, and how urgent it is.

package worker

import "fordseam/internal/policy"

// Requirements is what a leg asks for.
type Requirements struct {
	Pool        string
	AffinityKey string
	LastWorker  string
	Program     string
	Site        string
	Urgency     string
	MaxQueue    int
	Tried       map[string]bool
	Policy      *policy.Policy
}

var urgencies = map[string]int{"low": 0, "normal": 1, "": 1, "urgent": 2}

// ValidUrgency reports whether a word names an urgency.
func ValidUrgency(word string) bool { _, ok := urgencies[word]; return ok }

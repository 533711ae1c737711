// What a request needs of a worker, and how urgent it is.

package worker

import "fordseam/internal/policy"

// Need is what a leg asks for.
type Need struct {
	Pool     string
	Affinity string
	Former   string
	Program  string
	Site     string
	Urgency  string
	Waiting  int
	Tried    map[string]bool
	Policy   *policy.Policy
}

var urgencies = map[string]int{"low": 0, "normal": 1, "": 1, "urgent": 2}

// KnownUrgency reports whether a word names an urgency.
func KnownUrgency(word string) bool { _, ok := urgencies[word]; return ok }

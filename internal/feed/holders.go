// Who follows the feed here and which settings each holds, as their questions
// told it. The owner of the feed's slot knows all that may serve: every permit
// was given by its answers, or by an answer from before it took the slot.

package feed

import (
	"sync"
	"time"

	"fordseam/internal/base"
)

type poll struct {
	stamp uint64
	at    time.Duration
}

type polls struct {
	mu      sync.Mutex
	epoch   uint64
	since   time.Duration
	unnamed time.Duration // the last question that told nothing of its node
	holders map[string]poll
}

// note keeps what a question tells as it comes in: a permit that its answer
// gives counts from before. One that comes while this core is not the owner is
// from before its time as such.
func (v *Service) note(request *FollowRequest) {
	epoch, now := v.owner.FeedEpoch(), v.clock.Now()
	if epoch == 0 {
		return
	}
	v.polls.mu.Lock()
	defer v.polls.mu.Unlock()
	if v.polls.epoch != epoch {
		v.polls.epoch, v.polls.since = epoch, now
		clear(v.polls.holders)
	}
	if request.Node == "" {
		v.polls.unnamed = now
		return
	}
	v.polls.holders[request.Node] = poll{max(request.Stamp, v.polls.holders[request.Node].stamp), now}
}

// AllNodesHave tells whether all nodes that may hold a permit have told that they
// hold the settings of a stamp. It speaks for this core's time as owner under an
// epoch, and counts for a change that is made under the same.
func (v *Service) AllNodesHave(epoch, stamp uint64, permit time.Duration) bool {
	now := v.clock.Now()
	v.polls.mu.Lock()
	defer v.polls.mu.Unlock()
	if epoch == 0 || v.polls.epoch != epoch || now < v.polls.since+permit || now < v.polls.unnamed+permit {
		return false
	}
	for _, one := range v.polls.holders {
		if one.stamp < stamp && now < one.at+permit {
			return false
		}
	}
	return true
}

// NodeSettings is a node and the settings it told of last.
type NodeSettings struct {
	Node  string `json:"node"`
	Stamp uint64 `json:"stamp"`
	AgoMs int64  `json:"ago_ms"`
}

// ReportedSettings lists who asked within a while; those silent for longer are dropped.
func (v *Service) ReportedSettings(within time.Duration) []NodeSettings {
	now := v.clock.Now()
	v.polls.mu.Lock()
	defer v.polls.mu.Unlock()
	found := []NodeSettings{}
	for _, node := range base.SortedKeys(v.polls.holders) {
		one := v.polls.holders[node]
		if now > one.at+within {
			delete(v.polls.holders, node)
			continue
		}
		found = append(found, NodeSettings{node, one.stamp, (now - one.at).Milliseconds()})
	}
	return found
}

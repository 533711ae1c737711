package feed

import (
	"sync"
	"time"

	"fordseam/internal/base"
)

// settingsReport is the settings version that a node last reported, with the
// time.
type settingsReport struct {
	version    uint64
	receivedAt time.Duration
}

// settingsReports records, on the leader of the feed's shard, which settings
// version each follower has, as its requests report. The leader knows every
// node that may serve: each lease was granted by one of its answers, or by an
// answer from before it became the leader.
type settingsReports struct {
	mu            sync.Mutex
	epoch         uint64
	leaderSince   time.Duration
	lastAnonymous time.Duration // the last request that did not name its node
	byNode        map[string]settingsReport
}

// recordReport records a request as it arrives, because the lease that its
// answer grants counts from before. A request that arrives while this core is
// not the leader belongs to the time before leaderSince.
func (s *Service) recordReport(request *FollowRequest) {
	epoch, now := s.server.FeedEpoch(), s.clock.Now()
	if epoch == 0 {
		return
	}
	s.reports.mu.Lock()
	defer s.reports.mu.Unlock()
	if s.reports.epoch != epoch {
		s.reports.epoch, s.reports.leaderSince = epoch, now
		clear(s.reports.byNode)
	}
	if request.Node == "" {
		s.reports.lastAnonymous = now
		return
	}
	s.reports.byNode[request.Node] = settingsReport{max(request.Stamp, s.reports.byNode[request.Node].version), now}
}

// AllNodesHave reports whether every node that may have a lease has reported at
// least the given settings version. The answer is about this core's time as
// leader under epoch, and is valid for a change that is committed under the
// same epoch.
func (s *Service) AllNodesHave(epoch, version uint64, lease time.Duration) bool {
	now := s.clock.Now()
	s.reports.mu.Lock()
	defer s.reports.mu.Unlock()
	if epoch == 0 || s.reports.epoch != epoch || now < s.reports.leaderSince+lease || now < s.reports.lastAnonymous+lease {
		return false
	}
	for _, report := range s.reports.byNode {
		if report.version < version && now < report.receivedAt+lease {
			return false
		}
	}
	return true
}

// NodeSettings is a node and the settings version that it last reported.
type NodeSettings struct {
	Node    string `json:"node"`
	Version uint64 `json:"stamp"`
	AgoMs   int64  `json:"ago_ms"`
}

// ReportedSettings returns the reports received within the given time; older
// ones are dropped.
func (s *Service) ReportedSettings(within time.Duration) []NodeSettings {
	now := s.clock.Now()
	s.reports.mu.Lock()
	defer s.reports.mu.Unlock()
	reported := []NodeSettings{}
	for _, node := range base.SortedKeys(s.reports.byNode) {
		report := s.reports.byNode[node]
		if now > report.receivedAt+within {
			delete(s.reports.byNode, node)
			continue
		}
		reported = append(reported, NodeSettings{node, report.version, (now - report.receivedAt).Milliseconds()})
	}
	return reported
}

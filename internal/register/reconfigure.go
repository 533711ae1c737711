package register

import (
	"encoding/json"
	"fmt"
	"slices"
	"sync"

	"fordseam/internal/base"
	"fordseam/internal/consensus"
)

// DiskSetKey is the feed's key of the disk set's record.
const DiskSetKey = "feed/disks"

// minVoters is the least number of voters that a disk set may have.
const minVoters = 3

// DiskSetRecord is the stored record of the disk set and of a change in
// progress. It is a key of shard 0 itself.
//
// The set changes by one vote at a time. A new disk joins as a learner: it is
// sent all shards and has no vote. A change is recorded as proposed, which makes
// it the only possible next set; then a majority of the set before and of the
// set after adopt it. These majorities always intersect. From then on disks
// reject requests under the former set. The next change waits until a majority
// of the new set holds every shard completely. The leader of shard 0 carries a
// change on, whoever that is, so an interrupted change is resumed.
type DiskSetRecord struct {
	Current       *DiskSet `json:"current"`
	Next          *DiskSet `json:"next,omitempty"`
	Settled       bool     `json:"settled"`
	SettledShards int      `json:"settled_slots"`
	// TargetVoters is how many voters there should be once all lost disks are
	// replaced; it is maintained only where reconciliation is enabled.
	TargetVoters int `json:"wanted,omitempty"`
	// Retired lists the disks that an operator removed; reconciliation does not
	// admit them again.
	Retired []string `json:"retired,omitempty"`
}

// ChangePending reports whether a change is in progress: proposed, not settled, or
// with a learner that is still being filled.
func (d *DiskSetRecord) ChangePending() bool {
	if d.Next != nil || !d.Settled {
		return true
	}
	for _, entry := range d.Current.GetDisks() {
		if entry.Learner {
			return true
		}
	}
	return false
}

// diskSetArgs are the arguments of the disk set's operations.
type diskSetArgs struct {
	Base          *DiskSet `json:"base,omitempty"`
	Next          *DiskSet `json:"next,omitempty"`
	Stamp         uint64   `json:"stamp,omitempty"`
	SettledShards int      `json:"slots,omitempty"`
	// TargetVoters and Retire are recorded with a proposal.
	TargetVoters int    `json:"wanted,omitempty"`
	Retire       string `json:"retire,omitempty"`
}

func decodeDiskSetRecord(raw []byte) *DiskSetRecord {
	if raw == nil {
		return nil
	}
	var record DiskSetRecord
	if json.Unmarshal(raw, &record) != nil {
		return nil
	}
	return &record
}

// registerDiskSetOps registers the operations that read and change the disk
// set's record.
func (srv *Server) registerDiskSetOps() {
	handle := func(name string, op func(tx *Tx, request *diskSetArgs, record *DiskSetRecord) (*DiskSetRecord, error)) {
		srv.Handle(name, func(tx *Tx, args []byte) (any, error) {
			var request diskSetArgs
			_ = json.Unmarshal(args, &request)
			return op(tx, &request, decodeDiskSetRecord(tx.Get(DiskSetKey)))
		})
	}
	handle("disks.get", func(_ *Tx, _ *diskSetArgs, record *DiskSetRecord) (*DiskSetRecord, error) { return record, nil })
	handle("disks.record", func(tx *Tx, request *diskSetArgs, record *DiskSetRecord) (*DiskSetRecord, error) {
		if record == nil {
			record = &DiskSetRecord{Current: request.Base, Settled: true, SettledShards: ShardCount, TargetVoters: len(voters(request.Base))}
			tx.Put(DiskSetKey, base.MustMarshal(record))
		}
		return record, nil
	})
	handle("disks.want", func(tx *Tx, request *diskSetArgs, record *DiskSetRecord) (*DiskSetRecord, error) {
		if record != nil && record.Next == nil && record.Current.Stamp == request.Base.GetStamp() && record.TargetVoters != request.TargetVoters {
			record.TargetVoters = request.TargetVoters
			tx.Put(DiskSetKey, base.MustMarshal(record))
		}
		return record, nil
	})
	handle("disks.propose", func(tx *Tx, request *diskSetArgs, record *DiskSetRecord) (*DiskSetRecord, error) {
		if record == nil {
			record = &DiskSetRecord{Current: request.Base, Settled: true, SettledShards: ShardCount}
		}
		if record.Next != nil && record.Next.Stamp == request.Next.Stamp && string(base.MustMarshal(record.Next)) == string(base.MustMarshal(request.Next)) {
			return record, nil
		}
		switch record.ToConsensus().CheckProposal(*request.Next.ToConsensus()) {
		case consensus.ProposalChangePending:
			return nil, base.Busy(409, "disks_moving", 2, "another change of the disk set is in progress")
		case consensus.ProposalStale:
			return nil, base.Decline(409, "stale_stamp", "the proposed disk set has stamp %d, but the current one has stamp %d", request.Next.Stamp, record.Current.Stamp)
		case consensus.ProposalTooManyVotes:
			return nil, base.Decline(409, "many_votes", "a change of the disk set may add or remove at most one voter")
		}
		record.Next = request.Next
		if request.TargetVoters > 0 {
			record.TargetVoters = request.TargetVoters
		}
		if request.Retire != "" && !slices.Contains(record.Retired, request.Retire) {
			record.Retired = append(record.Retired, request.Retire)
		}
		if remaining := len(voters(request.Next)); request.Retire != "" && record.TargetVoters > remaining {
			record.TargetVoters = remaining
		}
		tx.Put(DiskSetKey, base.MustMarshal(record))
		return record, nil
	})
	handle("disks.conclude", func(tx *Tx, request *diskSetArgs, record *DiskSetRecord) (*DiskSetRecord, error) {
		if record != nil && record.Next != nil && record.Next.Stamp == request.Stamp {
			record.Current, record.Next, record.Settled, record.SettledShards = record.Next, nil, false, 0
			tx.Put(DiskSetKey, base.MustMarshal(record))
		}
		return record, nil
	})
	handle("disks.settle", func(tx *Tx, request *diskSetArgs, record *DiskSetRecord) (*DiskSetRecord, error) {
		if record != nil && record.Current.Stamp == request.Stamp && (record.SettledShards != request.SettledShards || record.Settled != (request.SettledShards == ShardCount)) {
			record.SettledShards, record.Settled = request.SettledShards, request.SettledShards == ShardCount
			tx.Put(DiskSetKey, base.MustMarshal(record))
		}
		return record, nil
	})
}

// AdmitDisk proposes to add a blank disk as a learner. It becomes a voter once it
// holds all shards.
func AdmitDisk(ctx *base.Ctx, client *Client, current *DiskSet, entry *DiskEntry) (*DiskSetRecord, error) {
	for _, existing := range current.Disks {
		if existing.Id == entry.Id {
			return nil, base.Decline(409, "disk_known", "disk %q is already in the set", entry.Id)
		}
	}
	entry.Learner = true
	next := &DiskSet{Stamp: current.Stamp + 1, Cluster: current.Cluster, Disks: append(append([]*DiskEntry{}, current.Disks...), entry)}
	return proposeDiskSet(ctx, client, diskSetArgs{Base: current, Next: next})
}

// RetireDisk proposes to remove a disk from the set.
func RetireDisk(ctx *base.Ctx, client *Client, current *DiskSet, id string) (*DiskSetRecord, error) {
	next := &DiskSet{Stamp: current.Stamp + 1, Cluster: current.Cluster,
		Disks: base.Filter(current.Disks, func(entry *DiskEntry) bool { return entry.Id != id })}
	if len(next.Disks) == len(current.Disks) {
		return nil, base.Decline(404, "unknown_disk", "disk %q is not in the set", id)
	}
	if remaining := len(voters(next)); remaining < minVoters {
		return nil, base.Decline(409, "too_few_disks", "without disk %q only %d voting disks would remain; at least %d are required", id, remaining, minVoters)
	}
	return proposeDiskSet(ctx, client, diskSetArgs{Base: current, Next: next, Retire: id})
}

func proposeDiskSet(ctx *base.Ctx, client *Client, request diskSetArgs) (*DiskSetRecord, error) {
	var record DiskSetRecord
	return &record, client.Change(ctx, FeedGroup, "disks.propose", request, &record)
}

// resolveSetMismatch handles a rejection because the disk uses another disk set.
// A newer set is learned from the disk. A disk with an older set, or with none,
// is sent the set that this core knows; that is safe because a set is recorded
// as proposed before any disk adopts it. It reports whether the request may be
// repeated at once.
func (srv *Server) resolveSetMismatch(entry *DiskEntry, ack *Ack) bool {
	if ack.Why != "set" {
		return false
	}
	knownStamp := srv.knownSet().GetStamp()
	srv.LearnDiskSet(ack.Set)
	set := srv.knownSet()
	if ack.Set.GetStamp() < set.Stamp && inSet(set, entry.Id) {
		adopted, err := srv.diskClient(entry).Adopt(base.NewCtx(srv.clock, srv.bounds.Load().DiskTimeout()), &AdoptRequest{Set: set})
		return err == nil && adopted.Ok
	}
	return set.Stamp > knownStamp
}

// readRecords reads the disk set's record and the retirements from this core's
// copy of the feed's shard; nil if this core does not lead it.
func (srv *Server) readRecords(s *shard) (records *feedRecords) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase != phaseLeading {
		return nil
	}
	records = &feedRecords{epoch: s.epoch, targetSeq: s.lastSeq}
	if raw, ok := s.kv.Get(DiskSetKey); ok {
		records.diskSet = decodeDiskSetRecord(raw.([]byte))
	}
	tx := &Tx{kv: s.kv}
	tx.Walk(RetirementPrefix, "", func(_ string, value []byte) bool {
		if retirement := decodeRetirement(value); retirement != nil {
			records.retirements = append(records.retirements, retirement)
		}
		return true
	})
	return records
}

// feedRecords are the records of the feed's shard that reconfiguration acts on.
// They may not be acted on before targetSeq is committed under epoch.
type feedRecords struct {
	epoch, targetSeq uint64
	diskSet          *DiskSetRecord
	retirements      []*Retirement
}

// driveReconfiguration starts a task that carries a change of the disk set on
// while this core leads shard 0. The pause between two steps is short after
// progress and doubles, up to half a heartbeat interval, without. Run calls it
// once a heartbeat interval.
func (srv *Server) driveReconfiguration() {
	s := srv.shards[0]
	records := srv.readRecords(s)
	if records == nil && srv.reconciler != nil {
		srv.reconciler.reset()
	}
	srv.mu.Lock()
	starts := records != nil && !srv.reconfiguring && (srv.reconciler != nil || records.diskSet != nil && records.diskSet.ChangePending())
	srv.reconfiguring = srv.reconfiguring || starts
	srv.mu.Unlock()
	if !starts {
		return
	}
	srv.clock.Go(func() {
		minPause := srv.bounds.Load().HeartbeatInterval() / 16
		for pause, lastProgress := minPause, ""; ; {
			progress, more := srv.reconfigureStep(s)
			if !more {
				break
			}
			if pause = min(2*pause, srv.bounds.Load().HeartbeatInterval()/2); progress != lastProgress {
				pause, lastProgress = minPause, progress
			}
			srv.clock.Sleep(pause)
		}
		srv.mu.Lock()
		srv.reconfiguring = false
		srv.mu.Unlock()
	})
}

// applyToFeed executes one of this core's own operations on the feed's shard.
func (srv *Server) applyToFeed(op string, args any) error {
	s := srv.shards[0]
	_, err := srv.apply(base.NewCtx(srv.clock, srv.bounds.Load().CoreCallTimeout()), s, FeedGroup, func(tx *Tx) (any, error) {
		return srv.ops[op](tx, base.MustMarshal(args))
	})
	return err
}

// reconfigureStep executes the next step of a change of the disk set. It first
// waits until the records it read are committed, since a majority may not have
// a proposal yet. progress is a mark that differs from the last one if the step
// got further; more reports whether another step should follow soon.
func (srv *Server) reconfigureStep(s *shard) (progress string, more bool) {
	records := srv.readRecords(s)
	if records == nil || srv.waitCommitted(base.NewCtx(srv.clock, srv.bounds.Load().CoreCallTimeout()), s, records.epoch, records.targetSeq) != nil {
		return "", false
	}
	record := records.diskSet
	if record == nil {
		if srv.reconciler == nil || srv.knownSet() == nil {
			return "", false
		}
		return "recorded", srv.applyToFeed("disks.record", diskSetArgs{Base: srv.knownSet()}) == nil
	}
	if record.Next != nil {
		if !srv.adoptDiskSet(record.Current, record.Next) {
			return "", false
		}
		srv.LearnDiskSet(record.Next)
		srv.counters.Add("disk_sets_changed", 1)
		return fmt.Sprint("adopted ", record.Next.Stamp), srv.applyToFeed("disks.conclude", diskSetArgs{Stamp: record.Next.Stamp}) == nil
	}
	settledShards, filledShards := ShardCount, map[string]int{}
	if record.ChangePending() {
		settledShards, filledShards = srv.collectCensus(record.Current)
	}
	if !record.Settled {
		_ = srv.applyToFeed("disks.settle", diskSetArgs{Stamp: record.Current.Stamp, SettledShards: settledShards})
		return fmt.Sprint("settled ", record.Current.Stamp, settledShards), true
	}
	if srv.reconciler != nil {
		return srv.reconcileDiskSet(records, filledShards)
	}
	for _, entry := range record.Current.Disks {
		if entry.Learner && filledShards[entry.Id] == ShardCount {
			err := srv.applyToFeed("disks.propose", diskSetArgs{Base: record.Current, Next: record.Current.withPromoted(entry.Id)})
			return fmt.Sprint("promoted after ", record.Current.Stamp), err == nil
		}
	}
	return fmt.Sprint(filledShards), record.ChangePending()
}

// withPromoted returns the next set, in which a learner becomes a voter.
func (s *DiskSet) withPromoted(id string) *DiskSet {
	return &DiskSet{Stamp: s.Stamp + 1, Cluster: s.Cluster, Disks: base.Map(s.Disks, func(entry *DiskEntry) *DiskEntry {
		return &DiskEntry{Id: entry.Id, Addr: entry.Addr, Zone: entry.Zone, Node: entry.Node, Learner: entry.Learner && entry.Id != id}
	})}
}

// adoptDiskSet asks all disks of both sets to adopt the next one and reports
// whether a majority of each set did. A disk is skipped if another disk answers
// at its address.
func (srv *Server) adoptDiskSet(current, next *DiskSet) bool {
	byID := map[string]*DiskEntry{}
	for _, entry := range append(append([]*DiskEntry{}, current.Disks...), next.Disks...) {
		byID[entry.Id] = entry
	}
	var mu sync.Mutex
	adopted := map[string]bool{}
	before, after := *current.ToConsensus(), *next.ToConsensus()
	entries := base.Map(base.SortedKeys(byID), func(id string) *DiskEntry { return byID[id] })
	return base.CallQuorum(srv.clock, entries, 1, srv.bounds.Load().DiskTimeout(), func(ctx *base.Ctx, entry *DiskEntry) bool {
		state, err := srv.diskClient(entry).Describe(ctx, &DescribeRequest{})
		if err != nil || state.Id != entry.Id {
			return false
		}
		ack, err := srv.diskClient(entry).Adopt(ctx, &AdoptRequest{Set: next})
		mu.Lock()
		defer mu.Unlock()
		adopted[entry.Id] = err == nil && ack.Ok
		return consensus.Adopted(before, after, func(id string) bool { return adopted[id] })
	})
}

// DiskSetIn reads the disk set from a snapshot of the feed; nil if it has none.
func DiskSetIn(values map[string][]byte) *DiskSet {
	return decodeDiskSetRecord(values[DiskSetKey]).GetCurrent()
}

// GetCurrent returns the set in force; nil if there is no record.
func (d *DiskSetRecord) GetCurrent() *DiskSet {
	if d == nil {
		return nil
	}
	return d.Current
}

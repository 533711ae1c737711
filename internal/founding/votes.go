package founding

import (
	"encoding/json"
	"sync"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/consensus"
	"fordseam/internal/disk"
	"fordseam/internal/register"

	"github.com/apex/log"
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"
)

// acceptor is a seed's state in the vote on the first disk set.
type acceptor = consensus.Acceptor[*register.DiskSet]

// Votes is a seed's part in the vote, as it is kept on the seed's disk until the cluster is
// formed. A vote is sent only once it is on the disk, so a seed that restarts goes on voting.
// A seed without a disk keeps its votes in memory, and takes part until it restarts.
type Votes struct {
	clock base.Clock
	files disk.Files // nil without a disk
	seeds []string

	mu        sync.Mutex
	acceptor  acceptor
	saving    bool
	saved     *base.Notifier
	concluded bool
}

// savedVotes is the form of Votes on the disk.
type savedVotes struct {
	Seeds     []string `json:"seeds"`
	Concluded bool     `json:"concluded"`
	Promised  uint64   `json:"promised"`
	Accepted  uint64   `json:"accepted"`
	Set       []byte   `json:"set"` // an encoded register.DiskSet
}

// LoadVotes returns the votes of a process, or nil if it has no part in the vote: if this is not
// the first start of the whole system and the disk holds no open vote of an earlier start.
func LoadVotes(clock base.Clock, files disk.Files, seeds []string, firstStart bool) *Votes {
	v := &Votes{clock: clock, files: files, seeds: seeds, saved: base.NewNotifier(clock)}
	saved, found := v.load()
	switch {
	case found && saved.Concluded:
		return nil
	case found:
		set := &register.DiskSet{}
		if err := proto.Unmarshal(saved.Set, set); err != nil {
			return nil
		}
		v.seeds = saved.Seeds
		v.acceptor = acceptor{Promised: saved.Promised, Accepted: saved.Accepted, Value: set}
		return v
	case !firstStart:
		return nil
	}
	if err := v.save(acceptor{}, false); err != nil {
		log.WithError(err).Warn("cannot keep the vote on the first disk set on the disk: it is lost with a restart")
		v.files = nil
	}
	return v
}

// load reads the votes from the disk. Votes that cannot be read count as lost.
func (v *Votes) load() (saved savedVotes, found bool) {
	if v.files == nil {
		return saved, false
	}
	payload := disk.ReadFoundingVotes(v.files)
	if payload == nil {
		return saved, false
	}
	return saved, json.Unmarshal(payload, &saved) == nil
}

// save writes the state of the vote to the disk, if there is one.
func (v *Votes) save(state acceptor, concluded bool) error {
	if v.files == nil {
		return nil
	}
	set, err := proto.Marshal(state.Value)
	if err != nil {
		return errors.Trace(err)
	}
	return disk.WriteFoundingVotes(v.files, base.MustMarshal(savedVotes{Seeds: v.seeds, Concluded: concluded, Promised: state.Promised, Accepted: state.Accepted, Set: set}))
}

// change applies a decision and saves its result, and reports whether the new state may be
// told to others: the decision was made and is on the disk.
func (v *Votes) change(decide func(acceptor) (acceptor, bool)) (next acceptor, ok bool) {
	v.beginSaving()
	v.mu.Lock()
	concluded := v.concluded
	if next, ok = decide(v.acceptor); !ok {
		next = v.acceptor
	}
	v.mu.Unlock()
	if ok {
		ok = v.save(next, concluded) == nil
	}
	v.mu.Lock()
	v.acceptor, v.saving = next, false
	v.mu.Unlock()
	v.saved.Notify()
	return next, ok
}

// savePollInterval is how often a state that is being saved is looked at even without notice.
const savePollInterval = time.Second

// beginSaving waits until no other change is being saved. No lock is held during the wait or
// while a change is saved.
func (v *Votes) beginSaving() {
	for {
		saved := v.saved.Next()
		v.mu.Lock()
		busy := v.saving
		v.saving = true
		v.mu.Unlock()
		if !busy {
			return
		}
		saved.Wait(savePollInterval)
	}
}

// observe raises the ballot below which this seed starts no ballot of its own.
func (v *Votes) observe(promised uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.acceptor.Promised = max(v.acceptor.Promised, promised)
}

// conclude keeps the seed from voting after its next restart: the cluster exists.
func (v *Votes) conclude() {
	v.mu.Lock()
	v.concluded = true
	v.mu.Unlock()
	v.change(func(state acceptor) (acceptor, bool) { return state, true })
}

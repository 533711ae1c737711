package disk

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"fordseam/internal/base"
	"fordseam/internal/consensus"
	"fordseam/internal/register"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	testShard           = 3
	maxGeneratedEpoch   = 4
	maxGeneratedSeq     = 6
	maxGeneratedEntries = 3
)

// leaderMessage is a message of a leader to the replica.
type leaderMessage struct {
	kind   byte
	epoch  uint64
	leader string
	seq    uint64
	count  uint64
}

// modelReplica is the model that the replica is compared with.
type modelReplica struct {
	shard  consensus.ShardState
	values map[string]string
}

func (r modelReplica) clone() modelReplica {
	return modelReplica{shard: r.shard, values: maps.Clone(r.values)}
}

// keyAndValue returns the key and value of a change. The value is unique.
func keyAndValue(epoch, seq uint64) (key, value string) {
	return fmt.Sprint("key-", seq%2), fmt.Sprint(epoch, "/", seq)
}

func newPut(epoch, seq uint64) *register.Put {
	key, value := keyAndValue(epoch, seq)
	return &register.Put{Key: key, Value: []byte(value)}
}

// apply returns the model after a message, and the expected rejection.
func (r modelReplica) apply(message leaderMessage) (modelReplica, consensus.Rejection) {
	self := consensus.Identity{ID: "replica", SetVersion: 1}
	claim := consensus.Claim{Epoch: message.epoch, Leader: message.leader, SetVersion: 1, Replica: "replica"}
	if rejection := consensus.CheckClaim(self, r.shard, claim); rejection != consensus.Accepted {
		return r, rejection
	}
	next := r.clone()
	switch message.kind {
	case kindPromise:
		next.shard = r.shard.Promise(message.epoch, message.leader)
	case kindInstall:
		next.shard = r.shard.Promise(message.epoch, message.leader)
		if shard, installed := r.shard.Install(message.epoch, message.leader, message.seq); installed {
			key, value := keyAndValue(message.epoch, message.seq)
			next = modelReplica{shard: shard, values: map[string]string{key: value}}
		}
	case kindAppend:
		if rejection := consensus.CheckAppend(r.shard, message.epoch, message.seq); rejection != consensus.Accepted {
			return r, rejection
		}
		for seq := message.seq; seq < message.seq+message.count; seq++ {
			if shard, appended := next.shard.Append(message.epoch, seq); appended {
				key, value := keyAndValue(message.epoch, seq)
				next.shard, next.values[key] = shard, value
			}
		}
	}
	return next, consensus.Accepted
}

// send sends a message to the replica and returns its acknowledgement.
func (d *testDisk) send(message leaderMessage) *register.Ack {
	claim := d.claim(message.epoch, message.leader)
	ctx := context.Background()
	switch message.kind {
	case kindPromise:
		reply, err := d.service.Promise(ctx, &register.PromiseRequest{Claim: claim})
		d.is.NoErr(err)
		return reply.Ack
	case kindInstall:
		ack, err := d.service.Install(ctx, &register.InstallRequest{Claim: claim, Seq: message.seq, Puts: []*register.Put{newPut(message.epoch, message.seq)}})
		d.is.NoErr(err)
		return ack
	}
	request := &register.AppendRequest{Claim: claim}
	for seq := message.seq; seq < message.seq+message.count; seq++ {
		request.Entries = append(request.Entries, &register.Entry{Seq: seq, Puts: []*register.Put{newPut(message.epoch, seq)}})
	}
	ack, err := d.service.Append(ctx, request)
	d.is.NoErr(err)
	return ack
}

// replicaState returns the replica's state and content.
func (d *testDisk) replicaState() modelReplica {
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	r := d.store.replicaFor(testShard)
	values := map[string]string{}
	for key, value := range r.values {
		values[key] = string(value)
	}
	return modelReplica{shard: r.ShardState, values: values}
}

func (r modelReplica) equal(other modelReplica) bool {
	return r.shard == other.shard && maps.Equal(r.values, other.values)
}

// restartOn closes the disk and opens it again on files.
func (d *testDisk) restartOn(files *memFiles) {
	d.close()
	store, err := Open(base.NewRealClock(), files, base.NewCounters())
	d.is.NoErr(err)
	d.files, d.store = files, store
	d.service = NewService(store, d.service.timeout)
}

// leaderMessages generates messages of two competing leaders.
var leaderMessages = rapid.Custom(func(t *rapid.T) leaderMessage {
	return leaderMessage{
		kind:   rapid.SampledFrom([]byte{kindPromise, kindInstall, kindAppend}).Draw(t, "kind"),
		epoch:  rapid.Uint64Range(1, maxGeneratedEpoch).Draw(t, "epoch"),
		leader: rapid.SampledFrom([]string{"one", "other"}).Draw(t, "leader"),
		seq:    rapid.Uint64Range(1, maxGeneratedSeq).Draw(t, "seq"),
		count:  rapid.Uint64Range(1, maxGeneratedEntries).Draw(t, "count"),
	}
})

// Sends generated messages to a replica on a real store, with power losses between
// messages and during syncs. The replica must reply like the model and hold the
// model's state. A message that was interrupted by a power loss may be persisted or
// not.
func TestGeneratedMessagesAndPowerLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newTestDisk(is.New(t), newMemFiles())
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "sectors"), 0))
		want := modelReplica{values: map[string]string{}}
		t.Repeat(map[string]func(*rapid.T){
			"message": func(t *rapid.T) {
				message := leaderMessages.Draw(t, "message")
				next, rejection := want.apply(message)
				ack := d.send(message)
				if ack.Why != string(rejection) || ack.Ok != (rejection == consensus.Accepted) {
					t.Fatalf("reply to %+v is %v %q, want %q", message, ack.Ok, ack.Why, rejection)
				}
				want = next
			},
			"power lost": func(_ *rapid.T) {
				d.close()
				d.restartOn(d.files.afterPowerLoss(random))
			},
			"power lost in a sync": func(t *rapid.T) {
				message := leaderMessages.Draw(t, "message")
				next, _ := want.apply(message)
				files := d.files
				var remaining *memFiles
				files.beforeSync = func(string) {
					if remaining == nil {
						remaining = files.afterPowerLoss(random)
					}
				}
				d.send(message)
				if remaining == nil {
					remaining = files.clone() // nothing was written
				}
				d.restartOn(remaining)
				if d.replicaState().equal(next) {
					want = next // it was persisted, though not acknowledged
				}
			},
			"": func(t *rapid.T) {
				if got := d.replicaState(); !got.equal(want) {
					t.Fatalf("the replica holds %+v, want %+v", got, want)
				}
			},
		})
		d.close()
	})
}

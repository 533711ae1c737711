package simulate

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"fordseam/internal/register"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
)

// largeConfigPlan returns a plan with a configuration of about 2 MB, which is transferred
// in parts, and a long interval between changes.
func largeConfigPlan(t *testing.T, size string, changes int) ChangeStreamPlan {
	plan := newPlan(t, size, changes)
	plan.Padding, plan.Interval, plan.BytesPerSecond = 1500<<10, 500*time.Millisecond, 100<<20
	return plan
}

func TestLargeConfigReachesAllMembers(t *testing.T) {
	t.Parallel()
	runChangeStreams(t, largeConfigPlan(t, ChangeStreamSizes[0], 12), uint64(*seedCount))
}

// partTraffic counts the parts that were sent to one machine.
type partTraffic struct {
	sent, lost, bytes int
}

// interceptParts intercepts content that leaders send to disks in parts. loses tells
// whether the message is lost before it arrives, or its reply after.
func interceptParts(f *Fleet, loses func(m *Message, part *register.InstallPartRequest) (before, after bool)) {
	f.Net.Intercept = func(m *Message) *http.Response {
		var part register.InstallPartRequest
		if !strings.HasSuffix(m.Path, "Disk/InstallPart") || proto.Unmarshal(m.Body, &part) != nil {
			response, _ := m.Forward(m.Body)
			return response
		}
		before, after := loses(m, &part)
		if before {
			return nil
		}
		response, _ := m.Forward(m.Body)
		if after {
			return nil
		}
		return response
	}
}

// TestInterruptedTransferResumes: a disk that comes back empty gets its content although
// every third part or its reply is lost and the disk loses its power meanwhile. Staged
// parts are not sent again.
func TestInterruptedTransferResumes(t *testing.T) {
	t.Parallel()
	plan := largeConfigPlan(t, "2/3/4", 3)
	plan.NoFaults = true
	for seed := uint64(1); seed <= 3*uint64(*seedCount); seed++ {
		is := is.New(t)
		var filled *Machine
		var traffic partTraffic
		killed := false
		plan.Prepare = func(f *Fleet) {
			interceptParts(f, func(m *Message, part *register.InstallPartRequest) (before, after bool) {
				if filled == nil || m.To != filled.Host || len(part.Data) == 0 {
					return false, false
				}
				traffic.sent++
				traffic.bytes += len(part.Data)
				if traffic.sent == 4 && !killed {
					killed = true
					f.PowerLoss(filled)
					f.CallerHost.Go(func() {
						f.CallerHost.Clock().Sleep(50 * time.Millisecond)
						f.Start(filled)
					})
				}
				lost := traffic.sent%3 == 0
				if lost {
					traffic.lost++
				}
				return lost && traffic.sent%2 == 0, lost && traffic.sent%2 == 1
			})
			f.CallerHost.Go(func() {
				f.wipeAfterChanges(f.Storage[1])
				filled = f.Storage[1]
			})
		}
		report := RunChangeStream(seed, plan)
		t.Logf("seed %d: %+v, killed %v, breaches %v", seed, traffic, killed, report.Breaches)
		is.Equal(len(report.Breaches), 0)
		is.True(killed && traffic.lost > 0)
		// The transfer may restart once for each change that was made meanwhile, but not
		// for each lost message.
		is.True(traffic.sent < 40)
	}
}

// wipeAfterChanges wipes and restarts a machine once some changes were made.
func (f *Fleet) wipeAfterChanges(m *Machine) {
	for newestGatewayVersion(f) < 3 {
		f.CallerHost.Clock().Sleep(20 * time.Millisecond)
	}
	f.wipeMachine(m)
	f.CallerHost.Clock().Sleep(100 * time.Millisecond)
	f.Start(m)
}

// newestGatewayVersion returns the newest configuration version that a gateway has.
func newestGatewayVersion(f *Fleet) (newest uint64) {
	for _, m := range f.Gateways {
		if follower := m.feedFollower(); follower != nil {
			newest = max(newest, configVersion(follower.Snapshot().Values))
		}
	}
	return newest
}

// TestDiskLostWhileNewestContentIsRead: at a takeover, the disk from which the newest
// content is read loses its power in the middle. The read continues at another disk
// with the same content, and nothing is lost.
func TestDiskLostWhileNewestContentIsRead(t *testing.T) {
	t.Parallel()
	plan := largeConfigPlan(t, "2/3/4", 12)
	plan.NoFaults = true
	for seed := uint64(1); seed <= 2*uint64(*seedCount); seed++ {
		is := is.New(t)
		reads, lost := 0, 0
		plan.Prepare = func(f *Fleet) {
			down := false
			f.Net.Intercept = func(m *Message) *http.Response {
				if strings.HasSuffix(m.Path, "Disk/Read") {
					if reads++; reads%9 == 3 && !down {
						lost++
						down = true
						for _, machine := range f.Storage {
							if machine.Host == m.To {
								f.PowerLoss(machine)
								f.CallerHost.Go(func() {
									f.CallerHost.Clock().Sleep(time.Second)
									f.Start(machine)
									f.CallerHost.Clock().Sleep(4 * time.Second)
									down = false
								})
							}
						}
					}
				}
				response, _ := m.Forward(m.Body)
				return response
			}
			f.CallerHost.Go(func() {
				for {
					f.CallerHost.Clock().Sleep(2500 * time.Millisecond)
					for _, m := range f.Cores {
						if newestGatewayVersion(f) > 2 && m.Host.alive && m.core != nil && m.core.RegisterServer.LeadsFeed() {
							f.crash(m, 500*time.Millisecond, false)
							break
						}
					}
				}
			})
		}
		report := RunChangeStream(seed, plan)
		t.Logf("seed %d: %d parts read, %d disks lost meanwhile, breaches %v", seed, reads, lost, report.Breaches)
		is.Equal(len(report.Breaches), 0)
		is.True(lost > 0)
	}
}

// TestDamagedPartIsResent: a part that is corrupted in transit is never installed.
func TestDamagedPartIsResent(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	plan := largeConfigPlan(t, "2/3/4", 4)
	plan.NoFaults = true
	parts, damaged := 0, 0
	plan.Prepare = func(f *Fleet) {
		f.CallerHost.Go(func() { f.wipeAfterChanges(f.Storage[1]) })
		f.Net.Intercept = func(m *Message) *http.Response {
			var part register.InstallPartRequest
			body := m.Body
			if strings.HasSuffix(m.Path, "Disk/InstallPart") && proto.Unmarshal(m.Body, &part) == nil && len(part.Data) > 0 {
				parts++
			}
			if len(part.Data) > 0 && parts%4 == 2 && damaged < 3 {
				damaged++
				part.Data[f.World.Int64N(int64(len(part.Data)))] ^= 1
				body, _ = proto.Marshal(&part)
			}
			response, _ := m.Forward(body)
			return response
		}
	}
	runChangeStreams(t, plan, uint64(*seedCount))
	is.True(damaged > 0)
}

// killLeaderBesideLaggingDisk isolates a disk again and again, and kills the feed's leader
// each time the disk, which lacks changes, is back.
func (f *Fleet) killLeaderBesideLaggingDisk() {
	clock := f.CallerHost.Clock()
	for {
		clock.Sleep(2 * time.Second)
		f.Net.Isolate(map[string]bool{f.Storage[0].Host.Name: true})
		clock.Sleep(1500 * time.Millisecond)
		f.Net.Heal()
		for _, m := range f.Cores {
			if m.Host.alive && m.core != nil && m.core.RegisterServer.LeadsFeed() {
				f.crash(m, 400*time.Millisecond, false)
			}
		}
	}
}

// TestNewLeaderServesNewestContent: a leader has the newest content before it serves, also
// when a disk that lacks it is among those that promised the epoch.
func TestNewLeaderServesNewestContent(t *testing.T) {
	t.Parallel()
	plan := newPlan(t, "2/3/4", 60)
	plan.NoFaults = true
	plan.Prepare = func(f *Fleet) { f.CallerHost.Go(f.killLeaderBesideLaggingDisk) }
	runChangeStreams(t, plan, 4*uint64(*seedCount))
}

// TestDisabledChangeStreamMechanismsAreDetected disables mechanisms of leaders and disks.
// The checks must then report a violation for some seed.
func TestDisabledChangeStreamMechanismsAreDetected(t *testing.T) {
	for _, row := range []struct {
		mechanism string
		plan      func() ChangeStreamPlan
		disable   func(f *Fleet)
		breach    string
	}{
		{"the promises of a majority", func() ChangeStreamPlan {
			plan := newPlan(t, "2/3/4", 60)
			plan.NoFaults = true
			return plan
		}, func(f *Fleet) {
			f.CallerHost.Go(f.killLeaderBesideLaggingDisk)
			f.Net.Intercept = func(m *Message) *http.Response {
				if !strings.HasSuffix(m.Path, "Disk/Promise") || m.To == f.Storage[0].Host {
					response, _ := m.Forward(m.Body)
					return response
				}
				reply, response := forwardAndDecode(m, m.Body, &register.PromiseReply{})
				if response == nil || reply.Ack == nil || !reply.Ack.Ok {
					return response
				}
				return protoResponse(&register.PromiseReply{Ack: reply.Ack}) // as if the disk held nothing
			}
		}, "had been acknowledged"},
		{"the confirmation of the epoch before a read", func() ChangeStreamPlan { return newPlan(t, "2/3/4", 150) }, interceptPath("Disk/Confirm", func(*Message) *http.Response {
			return protoResponse(&register.Ack{Ok: true})
		}), "had been acknowledged"},
		{"the wholeness of a content in parts", func() ChangeStreamPlan { return largeConfigPlan(t, "2/3/4", 16) }, func(f *Fleet) {
			f.Net.Intercept = func(m *Message) *http.Response {
				var part register.InstallPartRequest
				if strings.HasSuffix(m.Path, "Disk/InstallPart") && proto.Unmarshal(m.Body, &part) == nil && len(part.Data) > 0 {
					// The disk reports the content as complete after the first part.
					response, _ := m.Forward(m.Body)
					if response == nil {
						return nil
					}
					return protoResponse(&register.Ack{Ok: true, Seq: part.Snapshot.Seq, Staged: part.Snapshot.Size})
				}
				response, _ := m.Forward(m.Body)
				return response
			}
		}, "is not current"},
	} {
		t.Run(row.mechanism, func(t *testing.T) {
			t.Parallel()
			const maxSeeds = 8
			for seed := uint64(1); seed <= maxSeeds; seed++ {
				plan := row.plan()
				plan.Prepare = row.disable
				for _, breach := range RunChangeStream(seed, plan).Breaches {
					if strings.Contains(breach, row.breach) {
						t.Logf("without %s: seed %d: %s", row.mechanism, seed, breach)
						return
					}
				}
			}
			t.Errorf("none of %d seeds reported a breach with %q", maxSeeds, row.breach)
		})
	}
}

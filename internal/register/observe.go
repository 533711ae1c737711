package register

import (
	"slices"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/membership"
)

// observation is what the leader of shard 0 last learned from the disk at an
// address.
type observation struct {
	memberID    string        // the member at the address; new at each start of the process
	state       *DiskState    // its last answer; nil if this member has not answered yet
	stateAsOf   time.Duration // when the request for state was sent
	askedAt     time.Duration // when the last request was sent
	inFlight    bool          // the last request has no answer yet
	silent      bool          // the last request failed or is overdue
	silentSince time.Duration
}

// diskCondition is the condition of a disk of the set, as observed.
type diskCondition struct {
	known          bool          // the disk's machine has answered
	fresh          bool          // it was observed since the set last changed
	replaced       bool          // another disk answers at its address
	silentFor      time.Duration // 0 if it answers
	alive          bool          // its machine is present in the membership view
	announcedLeave bool          // its machine announced that it would stop
}

// healthy reports whether the disk itself has answered since the set last changed. An
// older answer may be that of the disk that the change replaced.
func (c diskCondition) healthy() bool {
	return c.known && c.fresh && !c.replaced && c.silentFor == 0
}

// lost reports whether the disk is silent or another one has taken its place.
func (c diskCondition) lost() bool { return c.replaced || c.silentFor > 0 }

// clusterView is all that a plan is based on.
type clusterView struct {
	conditions map[string]diskCondition // by disk id
	candidates []*DiskEntry             // healthy disks outside the set that may join it
	retiring   map[string]bool          // names of the machines being retired
	pending    bool                     // a present machine has not answered for the first time yet
	joining    bool                     // a present machine outside the set may join it
}

// observe requests the state of the disks that are due and returns what is known
// of all. While all is well a disk is due only every quarter of the recovery
// bound, since the membership view reports machines that start or fall silent.
// Unknown, silent and leaving machines, and all while a status is reported, are
// due every half heartbeat interval.
func (srv *Server) observe(records *feedRecords) *clusterView {
	r, now, heartbeat := srv.reconciler, srv.clock.Now(), srv.bounds.Load().HeartbeatInterval()
	set := records.diskSet.Current
	view := &clusterView{conditions: map[string]diskCondition{}, retiring: map[string]bool{}}
	for _, retirement := range records.retirements {
		view.retiring[retirement.Node] = true
	}
	members := map[string]*membership.Member{}
	for _, member := range srv.view.Live(membership.RoleStorage) {
		members[member.Addr] = member
	}
	announcedLeave := leavingAddresses(srv.view)
	addresses := map[string]bool{}
	for _, entry := range set.Disks {
		addresses[entry.Addr] = true
	}
	for addr, member := range members {
		addresses[addr] = addresses[addr] || !member.Leaving
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.epoch != records.epoch {
		r.epoch, r.stamp, r.observations = records.epoch, 0, map[string]*observation{}
	}
	if r.stamp != set.Stamp {
		r.stamp, r.setSince = set.Stamp, now
	}
	for addr := range r.observations {
		if !addresses[addr] {
			delete(r.observations, addr)
		}
	}
	for _, addr := range base.SortedKeys(addresses) {
		observed, member := r.observations[addr], members[addr]
		if observed == nil {
			observed = &observation{}
			r.observations[addr] = observed
		}
		if member != nil && member.Id != observed.memberID {
			observed.memberID, observed.state = member.Id, nil
		}
		interval := srv.bounds.Load().Recovery / 4
		switch {
		case observed.state == nil || observed.silent || member == nil || announcedLeave[addr]:
			interval = heartbeat / 2
		case observed.askedAt < r.setSince:
			interval = 0
		case len(r.status) > 0:
			interval = heartbeat / 2
		}
		if !observed.inFlight && (observed.askedAt == 0 || now-observed.askedAt >= interval) {
			observed.inFlight, observed.askedAt = true, now
			memberID := observed.memberID
			srv.clock.Go(func() {
				srv.describeDisk(observed, memberID, addr, member != nil && !member.Leaving, view.retiring, set)
			})
		}
		view.pending = view.pending || observed.inFlight && observed.state == nil && member != nil
		if observed.inFlight && !observed.silent && now-observed.askedAt > heartbeat/2 {
			observed.silent, observed.silentSince = true, observed.askedAt
		}
	}
	for _, entry := range set.Disks {
		observed := r.observations[entry.Addr]
		condition := diskCondition{known: observed.state != nil, alive: members[entry.Addr] != nil, announcedLeave: announcedLeave[entry.Addr]}
		condition.fresh = observed.silent || observed.state != nil && observed.stateAsOf >= r.setSince
		condition.replaced = observed.state != nil && observed.stateAsOf >= r.setSince && observed.state.Id != entry.Id
		if observed.silent {
			condition.silentFor = max(1, now-observed.silentSince)
		}
		view.conditions[entry.Id] = condition
	}
	for _, addr := range base.SortedKeys(members) {
		member, observed := members[addr], r.observations[addr]
		if member.Leaving || observed == nil {
			continue
		}
		if observed.state == nil {
			view.joining = true
			continue
		}
		state := observed.state
		if inSet(set, state.Id) || view.retiring[state.Node] {
			continue
		}
		if state.Set != nil && state.Set.Cluster != set.Cluster || slices.Contains(records.diskSet.Retired, state.Id) {
			continue
		}
		view.joining = true
		if observed.silent || state.Id == "" {
			continue
		}
		view.candidates = append(view.candidates, &DiskEntry{Id: state.Id, Addr: addr, Zone: member.Zone, Node: state.Node, Learner: true})
	}
	return view
}

// leavingAddresses returns the addresses of storage machines that announced that
// they would stop and at which no process has started since.
func leavingAddresses(view *membership.View) map[string]bool {
	leaving := map[string]bool{}
	for _, member := range view.Known(membership.RoleStorage) {
		leaving[member.Addr] = leaving[member.Addr] || member.Leaving
	}
	for _, member := range view.Live(membership.RoleStorage) {
		if !member.Leaving {
			leaving[member.Addr] = false
		}
	}
	return leaving
}

// describeDisk requests a disk's state and records it. A blank disk is formatted
// if its machine is present and not being retired.
func (srv *Server) describeDisk(observed *observation, memberID, addr string, present bool, retiring map[string]bool, set *DiskSet) {
	ctx := base.NewCtx(srv.clock, srv.bounds.Load().DiskTimeout())
	disk := NewDiskProtobufClient("http://"+addr, srv.httpClient)
	state, err := disk.Describe(ctx, describeRequest(set))
	if err == nil && state.Id == "" && present && !retiring[state.Node] {
		if formatted, formatErr := disk.Format(ctx, &FormatRequest{}); formatErr == nil {
			state = formatted
			srv.counters.Add("disks_formatted", 1)
		}
	}
	srv.reconciler.mu.Lock()
	defer srv.reconciler.mu.Unlock()
	observed.inFlight = false
	switch {
	case err == nil && memberID != observed.memberID:
		observed.askedAt = 0 // another process has started there meanwhile
	case err == nil:
		observed.state, observed.stateAsOf, observed.silent = state, observed.askedAt, false
	case !observed.silent:
		observed.silent, observed.silentSince = true, observed.askedAt
	}
}

package controller

import (
	"slices"

	"almondstep"
)

// maxPastBoots is the number of earlier boots recorded per upstream, so that late
// rumors about them are ignored.
const maxPastBoots = 4

// upstreamStates holds the state of each upstream's current boot, from traffic and
// rumors.
type upstreamStates struct {
	byAddr map[almondstep.Address]*upstreamState
	// listRead is set once a list of VMs has been read. Before that, rumors about any
	// upstream are kept: a daemon that starts may receive them only once.
	listRead bool
	// minSequence is the lowest sequence number of this daemon's own rumors. It is
	// above those of its earlier starts.
	minSequence uint64
}

type upstreamState struct {
	boot        almondstep.BootID
	pastBoots   []almondstep.BootID
	temperature almondstep.Temperature
	// sequence is the highest sequence number in use for this boot.
	sequence uint64
	// reported is set if the temperature is known: from traffic or a rumor, or cold
	// after a restart of the upstream or the return of its zone.
	reported bool
	// reportedHere is set if the last report is by this daemon as the owner.
	reportedHere bool
	// listed reports whether the list of VMs contains this upstream.
	listed bool
}

// sequenceShift is the number of low bits of a sequence number that count the rumors
// of one start of a daemon; the bits above hold its epoch.
const sequenceShift = 32

func (u *upstreamStates) init(epoch uint32) {
	u.byAddr = make(map[almondstep.Address]*upstreamState)
	u.minSequence = uint64(epoch) << sequenceShift
}

func (u *upstreamStates) ensure(addr almondstep.Address) *upstreamState {
	s := u.byAddr[addr]
	if s == nil {
		s = &upstreamState{}
		u.byAddr[addr] = s
	}
	return s
}

// reboot records a new boot, which is cold. It counts as reported unless it is the
// first boot known here: that one may have been warm for long.
func (s *upstreamState) reboot(boot almondstep.BootID) {
	if s.boot != "" {
		s.pastBoots = append(s.pastBoots, s.boot)
	}
	if len(s.pastBoots) > maxPastBoots {
		s.pastBoots = s.pastBoots[1:]
	}
	s.reported = s.boot != ""
	s.reportedHere = false
	s.boot = boot
	s.temperature = almondstep.Cold
	s.sequence = 0
}

// setFleet takes boots and leaving states from the list of VMs. The list lags: a
// boot that is already known to be over is ignored.
func (u *upstreamStates) setFleet(f *almondstep.Fleet) {
	u.listRead = true
	for _, s := range u.byAddr {
		s.listed = false
	}
	for i := range f.Upstreams {
		vm := &f.Upstreams[i]
		s := u.ensure(vm.Addr)
		s.listed = true
		if s.boot != vm.Boot && !slices.Contains(s.pastBoots, vm.Boot) {
			s.reboot(vm.Boot)
		}
		if vm.State == almondstep.VMLeaving && s.boot == vm.Boot {
			s.temperature = almondstep.Leaving
		}
	}
	for addr, s := range u.byAddr {
		if !s.listed {
			delete(u.byAddr, addr)
		}
	}
}

// receive handles a rumor and returns the rumor to spread, if any. An owner that has
// reported the upstream itself has better information than a former owner: instead
// of the rumor it spreads its own state with a higher sequence number.
func (u *upstreamStates) receive(r *almondstep.Rumor) (almondstep.Rumor, bool) {
	s := u.byAddr[r.Upstream]
	if s == nil && !u.listRead {
		s = u.ensure(r.Upstream)
	}
	if s == nil || slices.Contains(s.pastBoots, r.Boot) {
		return almondstep.Rumor{}, false
	}
	if s.boot != r.Boot {
		s.reboot(r.Boot)
	}
	final := r.Temperature == almondstep.Leaving
	if s.temperature == almondstep.Leaving || !final && r.Sequence <= s.sequence {
		return almondstep.Rumor{}, false
	}
	if s.reportedHere && !final {
		s.sequence = r.Sequence
		return u.nextRumor(s, r.Upstream), true
	}
	s.set(r.Temperature, r.Sequence)
	return *r, true
}

// release returns the rumor that passes the state of an upstream to its next
// owner, if the state is known.
func (u *upstreamStates) release(addr almondstep.Address) (almondstep.Rumor, bool) {
	s := u.byAddr[addr]
	if s == nil || !s.reported || s.temperature == almondstep.Leaving {
		return almondstep.Rumor{}, false
	}
	s.reportedHere = false
	return u.nextRumor(s, addr), true
}

// nextRumor returns the known state of an upstream as a rumor with the next
// sequence number.
func (u *upstreamStates) nextRumor(s *upstreamState, addr almondstep.Address) almondstep.Rumor {
	s.sequence = max(s.sequence+1, u.minSequence)
	return almondstep.Rumor{
		Kind:        almondstep.RumorUpstream,
		Upstream:    addr,
		Boot:        s.boot,
		Temperature: s.temperature,
		Sequence:    s.sequence,
	}
}

func (s *upstreamState) set(t almondstep.Temperature, sequence uint64) {
	s.temperature = t
	s.sequence = max(s.sequence, sequence)
	s.reported = true
}

// observe handles a state that this daemon's traffic has shown and returns the rumor
// to spread, if any; owned reports whether this daemon owns the upstream.
func (u *upstreamStates) observe(e *almondstep.MarkUpstream, owned bool) (almondstep.Rumor, bool) {
	s := u.byAddr[e.Addr]
	if s == nil || slices.Contains(s.pastBoots, e.Boot) {
		return almondstep.Rumor{}, false
	}
	if e.Boot != "" && s.boot != e.Boot {
		s.reboot(e.Boot)
	}
	if s.temperature == almondstep.Leaving {
		return almondstep.Rumor{}, false
	}
	s.reportedHere = owned
	if s.reported && s.temperature == e.Temperature {
		return almondstep.Rumor{}, false
	}
	s.set(e.Temperature, s.sequence)
	return u.nextRumor(s, e.Addr), true
}

// resetToCold records an upstream as cold until its owner reports another state.
func (u *upstreamStates) resetToCold(addr almondstep.Address) {
	s := u.byAddr[addr]
	if s != nil && s.temperature != almondstep.Leaving {
		s.set(almondstep.Cold, s.sequence+1)
	}
}

// routingTemperature returns the temperature used by planners. An upstream whose
// state is not known here counts as warm: its owner has better information and keeps
// to the cold allowance for all callers. One that isn't in the list counts as cold.
func (u *upstreamStates) routingTemperature(addr almondstep.Address) almondstep.Temperature {
	s := u.byAddr[addr]
	if s == nil {
		return almondstep.Cold
	}
	if !s.reported && s.temperature == almondstep.Cold {
		return almondstep.Warm
	}
	return s.temperature
}

// ownerTemperature returns an upstream's temperature and boot for its owner: cold
// unless reported otherwise.
func (u *upstreamStates) ownerTemperature(addr almondstep.Address) (almondstep.Temperature, almondstep.BootID) {
	s := u.byAddr[addr]
	if s == nil {
		return almondstep.Cold, ""
	}
	return s.temperature, s.boot
}

// leaving reports whether an upstream gets no new work during its current boot.
func (u *upstreamStates) leaving(addr almondstep.Address) bool {
	s := u.byAddr[addr]
	return s != nil && s.temperature == almondstep.Leaving
}

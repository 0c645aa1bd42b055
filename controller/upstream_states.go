package controller

import (
	"slices"

	"almondstep"
)

// maxPastBoots is the number of earlier boots remembered per upstream, to
// recognize late rumors about them.
const maxPastBoots = 4

// marks holds the state of each upstream's current boot, from traffic and rumors.
type marks struct {
	byAddr map[almondstep.Address]*mark
	// listRead reports whether the list of VMs is known. Before that, rumors about
	// any upstream are kept: a daemon that starts receives them only once.
	listRead bool
	// minSequence is the lowest sequence number of this daemon's own rumors, above
	// those of its earlier starts.
	minSequence uint64
}

type mark struct {
	boot        almondstep.BootID
	pastBoots   []almondstep.BootID
	temperature almondstep.Temperature
	sequence    uint64
	// reported is set once an owner has reported the state of this boot.
	reported bool
	// reportedHere is set if this daemon, as the owner, has reported it.
	reportedHere bool
	// listed reports whether the list of VMs contains this upstream.
	listed bool
}

// sequenceShift reserves the low bits for the rumors of one start.
const sequenceShift = 32

func (m *marks) init(epoch uint32) {
	m.byAddr = make(map[almondstep.Address]*mark)
	m.minSequence = uint64(epoch) << sequenceShift
}

func (m *marks) ensure(addr almondstep.Address) *mark {
	k := m.byAddr[addr]
	if k == nil {
		k = &mark{}
		m.byAddr[addr] = k
	}
	return k
}

// reboot starts a new boot: cold, and not yet reported.
func (k *mark) reboot(boot almondstep.BootID) {
	if k.boot != "" {
		k.pastBoots = append(k.pastBoots, k.boot)
	}
	if len(k.pastBoots) > maxPastBoots {
		k.pastBoots = k.pastBoots[1:]
	}
	k.reported = k.boot != ""
	k.reportedHere = false
	k.boot = boot
	k.temperature = almondstep.Cold
	k.sequence = 0
}

// setFleet takes boots and leaving states from the list of VMs. The list lags: a
// boot that is already known to be over is ignored.
func (m *marks) setFleet(f *almondstep.Fleet) {
	m.listRead = true
	for _, k := range m.byAddr {
		k.listed = false
	}
	for i := range f.Upstreams {
		vm := &f.Upstreams[i]
		k := m.ensure(vm.Addr)
		k.listed = true
		if k.boot != vm.Boot && !slices.Contains(k.pastBoots, vm.Boot) {
			k.reboot(vm.Boot)
		}
		if vm.State == almondstep.VMLeaving && k.boot == vm.Boot {
			k.temperature = almondstep.Leaving
		}
	}
	for addr, k := range m.byAddr {
		if !k.listed {
			delete(m.byAddr, addr)
		}
	}
}

// receive handles a rumor and returns the rumor to spread instead, if any. An
// owner that has reported the upstream itself has better information than a
// former owner: it repeats its own state with a higher sequence number.
func (m *marks) receive(r *almondstep.Rumor) (almondstep.Rumor, bool) {
	k := m.byAddr[r.Upstream]
	if k == nil && !m.listRead {
		k = m.ensure(r.Upstream)
	}
	if k == nil || slices.Contains(k.pastBoots, r.Boot) {
		return almondstep.Rumor{}, false
	}
	if k.boot != r.Boot {
		k.reboot(r.Boot)
	}
	final := r.Temperature == almondstep.Leaving
	if k.temperature == almondstep.Leaving || !final && r.Sequence <= k.sequence {
		return almondstep.Rumor{}, false
	}
	if k.reportedHere && !final {
		k.sequence = r.Sequence
		return m.nextRumor(k, r.Upstream), true
	}
	k.set(r.Temperature, r.Sequence)
	return *r, true
}

// release returns the rumor that passes the state of an upstream to its next
// owner, if the state is known.
func (m *marks) release(addr almondstep.Address) (almondstep.Rumor, bool) {
	k := m.byAddr[addr]
	if k == nil || !k.reported || k.temperature == almondstep.Leaving {
		return almondstep.Rumor{}, false
	}
	k.reportedHere = false
	return m.nextRumor(k, addr), true
}

// nextRumor returns the known state of an upstream as a rumor with the next
// sequence number.
func (m *marks) nextRumor(k *mark, addr almondstep.Address) almondstep.Rumor {
	k.sequence = max(k.sequence+1, m.minSequence)
	return almondstep.Rumor{
		Kind:        almondstep.RumorUpstream,
		Upstream:    addr,
		Boot:        k.boot,
		Temperature: k.temperature,
		Sequence:    k.sequence,
	}
}

func (k *mark) set(t almondstep.Temperature, sequence uint64) {
	k.temperature = t
	k.sequence = max(k.sequence, sequence)
	k.reported = true
}

// mark handles a state observed by this daemon's traffic and returns the rumor
// to spread, if any; owned reports whether the daemon owns the upstream.
func (m *marks) mark(e *almondstep.MarkUpstream, owned bool) (almondstep.Rumor, bool) {
	k := m.byAddr[e.Addr]
	if k == nil || slices.Contains(k.pastBoots, e.Boot) {
		return almondstep.Rumor{}, false
	}
	if e.Boot != "" && k.boot != e.Boot {
		k.reboot(e.Boot)
	}
	if k.temperature == almondstep.Leaving {
		return almondstep.Rumor{}, false
	}
	k.reportedHere = owned
	if k.reported && k.temperature == e.Temperature {
		return almondstep.Rumor{}, false
	}
	k.set(e.Temperature, k.sequence)
	return m.nextRumor(k, e.Addr), true
}

// resetToCold marks an upstream as cold until its owner reports another state.
func (m *marks) resetToCold(addr almondstep.Address) {
	k := m.byAddr[addr]
	if k != nil && k.temperature != almondstep.Leaving {
		k.set(almondstep.Cold, k.sequence+1)
	}
}

// routingTemperature returns the temperature used by planners. An upstream that
// has not been reported since this daemon started counts as warm: its owner has
// better information and keeps to its cold allowance for all callers.
func (m *marks) routingTemperature(addr almondstep.Address) almondstep.Temperature {
	k := m.byAddr[addr]
	if k == nil {
		return almondstep.Cold
	}
	if !k.reported && k.temperature == almondstep.Cold {
		return almondstep.Warm
	}
	return k.temperature
}

// ownerTemperature returns the initial temperature for an owner: cold unless
// reported otherwise.
func (m *marks) ownerTemperature(addr almondstep.Address) (almondstep.Temperature, almondstep.BootID) {
	k := m.byAddr[addr]
	if k == nil {
		return almondstep.Cold, ""
	}
	return k.temperature, k.boot
}

// leaving reports whether an upstream gets no new work during its current boot.
func (m *marks) leaving(addr almondstep.Address) bool {
	k := m.byAddr[addr]
	return k != nil && k.temperature == almondstep.Leaving
}

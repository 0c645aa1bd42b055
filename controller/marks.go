package controller

import (
	"slices"

	"almondstep"
)

// formerBoots is how many earlier boots of an upstream are remembered, so that
// late word of them is told from news.
const formerBoots = 4

// marks has what traffic and rumors say of each upstream's present boot.
type marks struct {
	byAddr map[almondstep.Address]*mark
}

type mark struct {
	boot        almondstep.BootID
	former      []almondstep.BootID
	temperature almondstep.Temperature
	sequence    uint64
	// known says that an owner has spoken of this boot.
	known bool
	// listed says that the list of VMs has named this upstream.
	listed bool
}

func (m *marks) init() { m.byAddr = make(map[almondstep.Address]*mark) }

func (m *marks) ensure(addr almondstep.Address) *mark {
	k := m.byAddr[addr]
	if k == nil {
		k = &mark{}
		m.byAddr[addr] = k
	}
	return k
}

// reboot begins a new boot: cold, and not yet spoken of.
func (k *mark) reboot(boot almondstep.BootID) {
	if k.boot != "" {
		k.former = append(k.former, k.boot)
	}
	if len(k.former) > formerBoots {
		k.former = k.former[1:]
	}
	k.known = k.boot != ""
	k.boot = boot
	k.temperature = almondstep.Cold
	k.sequence = 0
}

// setFleet takes boots and leaving marks from the list, which lags: a boot that
// is already known to be over is ignored.
func (m *marks) setFleet(f *almondstep.Fleet) {
	for _, k := range m.byAddr {
		k.listed = false
	}
	for i := range f.Upstreams {
		vm := &f.Upstreams[i]
		k := m.ensure(vm.Addr)
		k.listed = true
		if k.boot != vm.Boot && !slices.Contains(k.former, vm.Boot) {
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

// hear takes a rumor and says whether it was news.
func (m *marks) hear(r *almondstep.Rumor) bool {
	k := m.byAddr[r.Upstream]
	if k == nil || slices.Contains(k.former, r.Boot) {
		return false
	}
	if k.boot != r.Boot {
		k.reboot(r.Boot)
	}
	if k.temperature == almondstep.Leaving || (r.Temperature != almondstep.Leaving && r.Sequence <= k.sequence) {
		return false
	}
	k.set(r.Temperature, r.Sequence)
	return true
}

func (k *mark) set(t almondstep.Temperature, sequence uint64) {
	k.temperature = t
	k.sequence = max(k.sequence, sequence)
	k.known = true
}

// mark takes the owner's own word and gives the rumor that spreads it.
func (m *marks) mark(e *almondstep.MarkUpstream) (almondstep.Rumor, bool) {
	k := m.byAddr[e.Addr]
	if k == nil || slices.Contains(k.former, e.Boot) {
		return almondstep.Rumor{}, false
	}
	if e.Boot != "" && k.boot != e.Boot {
		k.reboot(e.Boot)
	}
	if k.temperature == almondstep.Leaving || (k.known && k.temperature == e.Temperature) {
		return almondstep.Rumor{}, false
	}
	k.set(e.Temperature, k.sequence+1)
	return almondstep.Rumor{
		Kind:        almondstep.RumorUpstream,
		Upstream:    e.Addr,
		Boot:        k.boot,
		Temperature: e.Temperature,
		Sequence:    k.sequence,
	}, true
}

// cool makes an upstream cold until its owner says otherwise.
func (m *marks) cool(addr almondstep.Address) {
	k := m.byAddr[addr]
	if k != nil && k.temperature != almondstep.Leaving {
		k.set(almondstep.Cold, k.sequence+1)
	}
}

// forRouting is the temperature a planner sees. An upstream that nobody has
// spoken of since this daemon started counts as warm: its owner knows better
// and holds to its allowance whoever asks.
func (m *marks) forRouting(addr almondstep.Address) almondstep.Temperature {
	k := m.byAddr[addr]
	if k == nil {
		return almondstep.Cold
	}
	if !k.known && k.temperature == almondstep.Cold {
		return almondstep.Warm
	}
	return k.temperature
}

// forOwner is the temperature an owner begins with: cold unless told otherwise.
func (m *marks) forOwner(addr almondstep.Address) (almondstep.Temperature, almondstep.BootID) {
	k := m.byAddr[addr]
	if k == nil {
		return almondstep.Cold, ""
	}
	return k.temperature, k.boot
}

// leaving says whether an upstream gets no new work for its present boot.
func (m *marks) leaving(addr almondstep.Address) bool {
	k := m.byAddr[addr]
	return k != nil && k.temperature == almondstep.Leaving
}

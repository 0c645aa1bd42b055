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
	// listRead says that the list of VMs is known. Before that, what is heard of
	// any upstream is kept: a daemon that starts hears it only once.
	listRead bool
	// first is the least number of a word of this daemon's own, above those of its
	// earlier starts.
	first uint64
}

type mark struct {
	boot        almondstep.BootID
	former      []almondstep.BootID
	temperature almondstep.Temperature
	sequence    uint64
	// known says that an owner has spoken of this boot.
	known bool
	// spoken says that this daemon, as its owner, has spoken of this boot.
	spoken bool
	// listed says that the list of VMs has named this upstream.
	listed bool
}

// sequenceShift leaves room for the words of one start below those of the next.
const sequenceShift = 32

func (m *marks) init(epoch uint32) {
	m.byAddr = make(map[almondstep.Address]*mark)
	m.first = uint64(epoch) << sequenceShift
}

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
	k.spoken = false
	k.boot = boot
	k.temperature = almondstep.Cold
	k.sequence = 0
}

// setFleet takes boots and leaving marks from the list, which lags: a boot that
// is already known to be over is ignored.
func (m *marks) setFleet(f *almondstep.Fleet) {
	m.listRead = true
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

// hear takes a rumor, gives the one to spread in its place, and says whether
// there is any. An owner that has spoken of the upstream itself knows better than
// a former one: it repeats its own word with a higher number.
func (m *marks) hear(r *almondstep.Rumor) (almondstep.Rumor, bool) {
	k := m.byAddr[r.Upstream]
	if k == nil && !m.listRead {
		k = m.ensure(r.Upstream)
	}
	if k == nil || slices.Contains(k.former, r.Boot) {
		return almondstep.Rumor{}, false
	}
	if k.boot != r.Boot {
		k.reboot(r.Boot)
	}
	final := r.Temperature == almondstep.Leaving
	if k.temperature == almondstep.Leaving || !final && r.Sequence <= k.sequence {
		return almondstep.Rumor{}, false
	}
	if k.spoken && !final {
		k.sequence = r.Sequence
		return m.repeat(k, r.Upstream), true
	}
	k.set(r.Temperature, r.Sequence)
	return *r, true
}

// handOver gives the word that this daemon leaves to the next owner of an
// upstream, and says whether it has any.
func (m *marks) handOver(addr almondstep.Address) (almondstep.Rumor, bool) {
	k := m.byAddr[addr]
	if k == nil || !k.known || k.temperature == almondstep.Leaving {
		return almondstep.Rumor{}, false
	}
	k.spoken = false
	return m.repeat(k, addr), true
}

// repeat says what is known of an upstream with the next number.
func (m *marks) repeat(k *mark, addr almondstep.Address) almondstep.Rumor {
	k.sequence = max(k.sequence+1, m.first)
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
	k.known = true
}

// mark takes what this daemon's traffic shows and gives the rumor that spreads
// it; owned says that the daemon owns the upstream.
func (m *marks) mark(e *almondstep.MarkUpstream, owned bool) (almondstep.Rumor, bool) {
	k := m.byAddr[e.Addr]
	if k == nil || slices.Contains(k.former, e.Boot) {
		return almondstep.Rumor{}, false
	}
	if e.Boot != "" && k.boot != e.Boot {
		k.reboot(e.Boot)
	}
	if k.temperature == almondstep.Leaving {
		return almondstep.Rumor{}, false
	}
	k.spoken = owned
	if k.known && k.temperature == e.Temperature {
		return almondstep.Rumor{}, false
	}
	k.set(e.Temperature, k.sequence)
	return m.repeat(k, e.Addr), true
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

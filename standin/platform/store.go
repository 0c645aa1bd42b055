package platform

import (
	"sync"
	"time"

	"almondstep"
)

// historyLength is the number of earlier entries of a key that are kept for a rollback.
const historyLength = 8

// store holds the values, the leases and the list of VMs. Each change closes the
// changed channel of the value or list, which wakes its watches.
type store struct {
	mu         sync.Mutex
	values     map[string]*value
	leases     map[string]lease
	vms        almondstep.Fleet
	vmsChanged chan struct{}
}

// value is one key's entry and the earlier ones, oldest first.
type value struct {
	entry   almondstep.Entry
	history []almondstep.Entry
	changed chan struct{}
}

type lease struct {
	holder string
	expiry time.Time
}

func newStore() *store {
	return &store{
		values:     map[string]*value{},
		leases:     map[string]lease{},
		vmsChanged: make(chan struct{}),
	}
}

// read returns the entry and a channel that is closed at its next change.
func (st *store) read(key string) (almondstep.Entry, <-chan struct{}) {
	st.mu.Lock()
	defer st.mu.Unlock()
	v := st.value(key)
	return v.entry, v.changed
}

// value returns the value of a key, after adding an absent one with revision 0. The
// caller holds mu.
func (st *store) value(key string) *value {
	v, ok := st.values[key]
	if !ok {
		v = &value{changed: make(chan struct{})}
		st.values[key] = v
	}
	return v
}

// compareAndSwap writes a key if its revision is still base. It returns the
// resulting revision of the key and whether it wrote.
func (st *store) compareAndSwap(key string, base uint64, body []byte) (uint64, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	v := st.value(key)
	if v.entry.Revision != base {
		return v.entry.Revision, false
	}
	v.history = append(v.history, v.entry)
	if len(v.history) > historyLength {
		v.history = v.history[1:]
	}
	v.set(almondstep.Entry{Revision: base + 1, Value: body})
	return v.entry.Revision, true
}

// set replaces the entry and wakes the watches.
func (v *value) set(e almondstep.Entry) {
	v.entry = e
	close(v.changed)
	v.changed = make(chan struct{})
}

func (st *store) rollback(key string, writes int) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	v, ok := st.values[key]
	if !ok || writes < 1 || writes > len(v.history) {
		return false
	}
	i := len(v.history) - writes
	v.set(v.history[i])
	v.history = v.history[:i]
	return true
}

// acquireLease acquires or renews a lease. It reports false if another holder has it.
func (st *store) acquireLease(key, holder string, now time.Time, ttl time.Duration) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	l, ok := st.leases[key]
	if ok && l.holder != holder && now.Before(l.expiry) {
		return false
	}
	st.leases[key] = lease{holder: holder, expiry: now.Add(ttl)}
	return true
}

func (st *store) readFleet() (almondstep.Fleet, <-chan struct{}) {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.vms, st.vmsChanged
}

func (st *store) setFleet(f almondstep.Fleet) almondstep.Revision {
	st.mu.Lock()
	defer st.mu.Unlock()
	f.Revision = st.vms.Revision + 1
	st.vms = f
	close(st.vmsChanged)
	st.vmsChanged = make(chan struct{})
	return f.Revision
}

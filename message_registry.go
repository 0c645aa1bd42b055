package almondstep

import "time"

// RegistryChanges is the content of the platform's registry, or the changes to it,
// up to a revision.
type RegistryChanges struct {
	Revision uint64 `json:"revision"`
	// Routes is the newest route table; nil if it hasn't changed.
	Routes       *RouteTable      `json:"-"`
	Upstreams    []UpstreamChange `json:"upstreams,omitempty"`
	DrainedZones []ZoneChange     `json:"zonesOut,omitempty"`
	Daemons      []DaemonChange   `json:"daemons,omitempty"`
	Crashes      []CrashChange    `json:"crashes,omitempty"`
	Rollouts     []RolloutChange  `json:"rollouts,omitempty"`
	// Entries are the same changes in the registry's own form, for forwarding to
	// other daemons.
	Entries []RegistryEntry `json:"entries,omitempty"`
	// More is set if there are further changes beyond the revision.
	More bool `json:"more,omitempty"`
}

// RegistryEntry is one entry of the registry in the registry's own form.
type RegistryEntry struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	// Removed is set if the entry was deleted; it then has no value.
	Removed bool   `json:"removed,omitempty"`
	Value   string `json:"value,omitempty"`
	// Base is nonzero if Value is a patch of the value at that revision; Sum is then
	// the hash of the full value.
	Base uint64 `json:"base,omitempty"`
	Sum  uint64 `json:"sum,omitempty"`
}

// RegistryUpdateRequest is a daemon's request to another for the changes of the
// registry after a revision.
type RegistryUpdateRequest struct {
	// After is the revision of the requester's registry cache.
	After uint64 `json:"after"`
	// Wait is the maximum time to wait for changes.
	Wait time.Duration `json:"wait"`
	// PatchBases are the long entries in the requester's cache, whose changes can be
	// sent as patches. They are sent without their values.
	PatchBases []RegistryEntry `json:"holds,omitempty"`
}

// RegistryUpdate is the reply to a RegistryUpdateRequest.
type RegistryUpdate struct {
	// Revision is the revision of the source daemon's registry cache.
	Revision uint64 `json:"revision"`
	// Full is set if Entries is the whole registry rather than the changes.
	Full    bool            `json:"whole,omitempty"`
	Entries []RegistryEntry `json:"entries,omitempty"`
	// Source is the daemon from which the source daemon itself gets its updates;
	// empty if it reads the registry.
	Source DaemonID `json:"source,omitempty"`
	// Age is the time since the registry itself last confirmed the content, summed
	// over all daemons that relayed the update; AgeUnknown if it never did.
	Age time.Duration `json:"age"`
	// SinceOutage is the time since an outage of the registry last ended or was
	// detected, as far as the source daemon knows; AgeUnknown if there was none.
	SinceOutage time.Duration `json:"lostAgo"`
}

// Empty reports whether nothing has changed.
func (c *RegistryChanges) Empty() bool {
	return c.Routes == nil && len(c.Upstreams)+len(c.DrainedZones)+len(c.Daemons)+len(c.Crashes)+len(c.Rollouts) == 0
}

// UpstreamChange is a change of an upstream's entry. Upstream is nil if the entry
// was removed or doesn't describe a usable upstream.
type UpstreamChange struct {
	Key string `json:"key"`
	// Revision is the revision of the change, which orders changes of one key.
	Revision uint64    `json:"revision"`
	Upstream *Upstream `json:"upstream,omitempty"`
}

// ZoneChange is a change of whether operators have drained a zone.
type ZoneChange struct {
	Zone    ZoneName `json:"zone"`
	Drained bool     `json:"out"`
	// Revision is the revision of the change.
	Revision uint64 `json:"revision,omitempty"`
}

// DaemonChange is the announcement of a daemon, or the end of its lease.
type DaemonChange struct {
	Daemon DaemonID `json:"daemon"`
	Alive  bool     `json:"alive"`
	// Zone is the daemon's zone, and Addr the address at which it serves other
	// daemons; both are empty if it didn't announce them or its lease has ended.
	Zone ZoneName `json:"zone,omitempty"`
	Addr Address  `json:"addr,omitempty"`
	// Cores is the CPU capacity of its VM, in cores; 0 if unknown.
	Cores float64 `json:"cores,omitempty"`
	// Revision is the revision of the change.
	Revision uint64 `json:"revision,omitempty"`
}

// RegistryRead is the outcome of a ReadRegistry.
type RegistryRead struct {
	// From is the source daemon; empty if the registry itself was read.
	From DaemonID `json:"from,omitempty"`
	// Daemons is set if only the daemons were listed; the list may be slightly out
	// of date.
	Daemons bool             `json:"daemons,omitempty"`
	Changes *RegistryChanges `json:"changes,omitempty"`
	// Full is set if Changes is the whole registry rather than the changes.
	Full bool `json:"whole"`
	// Compacted is set if the registry no longer has the requested history.
	Compacted bool `json:"compacted,omitempty"`
	// Err is the reason the read failed; empty if it succeeded.
	Err string `json:"err,omitempty"`
	// SourceUpdate is the update as the source daemon sent it, which also contains its
	// own source and the update's age; nil if the registry itself was read.
	SourceUpdate *RegistryUpdate `json:"teller,omitempty"`
}

// RegistryUpdateRequested is another daemon's request for the changes of the registry
// after a revision. It is answered by ReplyRegistryUpdate.
type RegistryUpdateRequested struct {
	Call    CallID                `json:"call"`
	Request RegistryUpdateRequest `json:"question"`
}

// ReplyRegistryUpdate answers a RegistryUpdateRequested.
type ReplyRegistryUpdate struct {
	Call   CallID         `json:"call"`
	Update RegistryUpdate `json:"news"`
}

// DaemonAnnounced is the outcome of an AnnounceDaemon. Err is empty if it succeeded.
type DaemonAnnounced struct {
	Err string `json:"err,omitempty"`
}

// ReadRegistry reads the whole registry or, if After is above 0, the changes after
// that revision. The outcome is returned as RegistryRead.
type ReadRegistry struct {
	RegistryUpdateRequest
	// From is the source daemon, and Addr its address; both are empty to read the
	// registry itself.
	From DaemonID `json:"from,omitempty"`
	Addr Address  `json:"addr,omitempty"`
	// Daemons is set to read only the list of daemons.
	Daemons bool `json:"daemons,omitempty"`
}

// AnnounceDaemon takes or renews this daemon's lease in the registry. The outcome
// is returned as DaemonAnnounced.
type AnnounceDaemon struct {
	TTL time.Duration `json:"ttl"`
}

// Control implements ControlEvent.
func (*RegistryRead) Control() {}

// Control implements ControlEvent.
func (*DaemonAnnounced) Control() {}

// Control implements ControlEvent.
func (*RegistryUpdateRequested) Control() {}

// Kind names the event.
func (*RegistryRead) Kind() string { return "registryRead" }

// Kind names the event.
func (*DaemonAnnounced) Kind() string { return "daemonAnnounced" }

// Kind names the event.
func (*RegistryUpdateRequested) Kind() string { return "newsAsked" }

// Kind names the effect.
func (*ReplyRegistryUpdate) Kind() string { return "replyNews" }

// Kind names the effect.
func (*ReadRegistry) Kind() string { return "readRegistry" }

// Kind names the effect.
func (*AnnounceDaemon) Kind() string { return "announceDaemon" }

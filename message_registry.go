package almondstep

import "time"

// RegistryChanges is what the platform's registry holds, or what has changed in
// it, up to a revision.
type RegistryChanges struct {
	Revision uint64 `json:"revision"`
	// Routes is the newest route table; nil if it hasn't changed.
	Routes       *RouteTable      `json:"-"`
	Upstreams    []UpstreamChange `json:"upstreams,omitempty"`
	DrainedZones []ZoneChange     `json:"zonesOut,omitempty"`
	Daemons      []DaemonChange   `json:"daemons,omitempty"`
	// Entries are the same changes as they stand in the registry, to be passed on
	// to other daemons.
	Entries []RegistryEntry `json:"entries,omitempty"`
	// More says that further changes wait beyond the revision.
	More bool `json:"more,omitempty"`
}

// RegistryEntry is one entry of the registry in the registry's own form.
type RegistryEntry struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	// Removed entries have no value.
	Removed bool   `json:"removed,omitempty"`
	Value   string `json:"value,omitempty"`
	// Base is above 0 if Value is a patch of the value as of that revision, and Sum
	// the hash of the whole value.
	Base uint64 `json:"base,omitempty"`
	Sum  uint64 `json:"sum,omitempty"`
}

// RegistryUpdateRequest is what a daemon asks another one of the registry.
type RegistryUpdateRequest struct {
	// After is the revision up to which the asker knows the registry.
	After uint64 `json:"after"`
	// Wait is how long it waits for changes.
	Wait time.Duration `json:"wait"`
	// PatchBases are the long entries that it has: changes of them can be told as patches.
	// Their values aren't sent.
	PatchBases []RegistryEntry `json:"holds,omitempty"`
}

// RegistryUpdate is what one daemon tells another of the registry.
type RegistryUpdate struct {
	// Revision is the one up to which the teller knows the registry.
	Revision uint64 `json:"revision"`
	// Full says that Entries is everything, not what has changed.
	Full    bool            `json:"whole,omitempty"`
	Entries []RegistryEntry `json:"entries,omitempty"`
	// Source is the daemon that the teller itself asks; empty if it reads the
	// registry.
	Source DaemonID `json:"source,omitempty"`
	// Age is how long ago the registry itself was last heard, through all daemons
	// that the news has passed; AgeUnknown if never.
	Age time.Duration `json:"age"`
	// SinceOutage is how long ago an outage of the registry last ended or was noticed,
	// as far as the teller knows; AgeUnknown if there was none.
	SinceOutage time.Duration `json:"lostAgo"`
}

// Empty says that nothing has changed.
func (c *RegistryChanges) Empty() bool {
	return c.Routes == nil && len(c.Upstreams)+len(c.DrainedZones)+len(c.Daemons) == 0
}

// UpstreamChange is an upstream's new entry; Upstream is nil if it was removed,
// or names no upstream that could be used.
type UpstreamChange struct {
	Key string `json:"key"`
	// Revision is that of the change, so that an older one is told from a newer.
	Revision uint64    `json:"revision"`
	Upstream *Upstream `json:"upstream,omitempty"`
}

// ZoneChange says whether operators have taken a zone out.
type ZoneChange struct {
	Zone    ZoneName `json:"zone"`
	Drained bool     `json:"out"`
	// Revision is that of the change.
	Revision uint64 `json:"revision,omitempty"`
}

// DaemonChange says that a daemon has announced itself, or that its lease ended.
type DaemonChange struct {
	Daemon DaemonID `json:"daemon"`
	Alive  bool     `json:"alive"`
	// Zone is the daemon's own, and Addr where it answers other daemons; both are
	// empty if it doesn't say or is gone.
	Zone ZoneName `json:"zone,omitempty"`
	Addr Address  `json:"addr,omitempty"`
	// Cores is the processor time that its VM has, in cores; 0 if it isn't known.
	Cores float64 `json:"cores,omitempty"`
	// Revision is that of the change.
	Revision uint64 `json:"revision,omitempty"`
}

// RegistryRead brings the outcome of a ReadRegistry.
type RegistryRead struct {
	// From is the daemon that was asked; empty if the registry itself was.
	From DaemonID `json:"from,omitempty"`
	// Daemons says that only the daemons were listed, perhaps as they stood a moment
	// ago.
	Daemons bool             `json:"daemons,omitempty"`
	Changes *RegistryChanges `json:"changes,omitempty"`
	// Full says that Changes is everything, not what has changed.
	Full bool `json:"whole"`
	// Compacted says that the history asked for is gone.
	Compacted bool `json:"compacted,omitempty"`
	// Err says why nothing was read; empty if it was.
	Err string `json:"err,omitempty"`
	// SourceUpdate is what the daemon asked says of its own reading; nil if the registry
	// was asked.
	SourceUpdate *RegistryUpdate `json:"teller,omitempty"`
}

// RegistryUpdateRequested says that another daemon asks for what changes after a revision, and
// waits for it; the answer is a ReplyRegistryUpdate.
type RegistryUpdateRequested struct {
	Call    CallID                `json:"call"`
	Request RegistryUpdateRequest `json:"question"`
}

// ReplyRegistryUpdate answers a RegistryUpdateRequested.
type ReplyRegistryUpdate struct {
	Call   CallID         `json:"call"`
	Update RegistryUpdate `json:"news"`
}

// DaemonAnnounced brings the outcome of an AnnounceDaemon.
type DaemonAnnounced struct {
	Err string `json:"err,omitempty"`
}

// ReadRegistry asks for the whole registry or, if After is above 0, for what
// changes after that revision.
type ReadRegistry struct {
	RegistryUpdateRequest
	// From is the daemon to ask, and Addr its address; empty for the registry
	// itself.
	From DaemonID `json:"from,omitempty"`
	Addr Address  `json:"addr,omitempty"`
	// Daemons asks the registry for a list of the daemons alone.
	Daemons bool `json:"daemons,omitempty"`
}

// AnnounceDaemon asks to keep this daemon's lease in the registry.
type AnnounceDaemon struct {
	TTL time.Duration `json:"ttl"`
}

// Control marks the event.
func (*RegistryRead) Control() {}

// Control marks the event.
func (*DaemonAnnounced) Control() {}

// Control marks the event.
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

package almondstep

import "time"

// RegistryChanges is what the platform's registry holds, or what has changed in
// it, up to a revision.
type RegistryChanges struct {
	Revision uint64 `json:"revision"`
	// Routes is the newest route table; nil if it hasn't changed.
	Routes    *RouteTable      `json:"-"`
	Upstreams []UpstreamChange `json:"upstreams,omitempty"`
	ZonesOut  []ZoneChange     `json:"zonesOut,omitempty"`
	Daemons   []DaemonChange   `json:"daemons,omitempty"`
}

// Empty says that nothing has changed.
func (c *RegistryChanges) Empty() bool {
	return c.Routes == nil && len(c.Upstreams)+len(c.ZonesOut)+len(c.Daemons) == 0
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
	Zone ZoneName `json:"zone"`
	Out  bool     `json:"out"`
}

// DaemonChange says that a daemon has announced itself, or that its lease ended.
type DaemonChange struct {
	Daemon DaemonID `json:"daemon"`
	Alive  bool     `json:"alive"`
}

// RegistryRead brings the outcome of a ReadRegistry.
type RegistryRead struct {
	Changes *RegistryChanges `json:"changes,omitempty"`
	// Whole says that Changes is everything, not what has changed.
	Whole bool `json:"whole"`
	// Compacted says that the history asked for is gone.
	Compacted bool `json:"compacted,omitempty"`
	// Err says why nothing was read; empty if it was.
	Err string `json:"err,omitempty"`
}

// DaemonAnnounced brings the outcome of an AnnounceDaemon.
type DaemonAnnounced struct {
	Err string `json:"err,omitempty"`
}

// ReadRegistry asks for the whole registry or, if After is above 0, for what
// changes after that revision.
type ReadRegistry struct {
	After uint64        `json:"after"`
	Wait  time.Duration `json:"wait"`
}

// AnnounceDaemon asks to keep this daemon's lease in the registry.
type AnnounceDaemon struct {
	TTL time.Duration `json:"ttl"`
}

// Control marks the event.
func (*RegistryRead) Control() {}

// Control marks the event.
func (*DaemonAnnounced) Control() {}

// Kind names the event.
func (*RegistryRead) Kind() string { return "registryRead" }

// Kind names the event.
func (*DaemonAnnounced) Kind() string { return "daemonAnnounced" }

// Kind names the effect.
func (*ReadRegistry) Kind() string { return "readRegistry" }

// Kind names the effect.
func (*AnnounceDaemon) Kind() string { return "announceDaemon" }

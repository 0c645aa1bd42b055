package almondstep

// View is the part of the control thread's state that traffic threads read. It is
// immutable. Traffic threads read the newest view through an atomic pointer, so that
// a change of configuration or membership takes effect atomically.
type View struct {
	self                DaemonID
	zone                ZoneName
	revision            Revision
	catalog             *Catalog
	ready               bool
	unready             string
	placements          map[ServiceName][]Placement
	owned               map[Address]OwnedUpstream
	quarantined         map[Fingerprint]struct{}
	crashes             map[Fingerprint]int
	rechecks            map[Fingerprint]Recheck
	peers               map[DaemonID]Address
	stopping            bool
	answerBy            Instant
	directory           *Directory
	directoryFreshUntil Instant
	registryEra         uint64
	keysValidUntil      Instant
}

// Placement lists the replicas of the shards of one service at one version.
type Placement struct {
	version    Version
	shardCount uint32
	replicas   [][]Replica
}

// NewPlacement returns the placement of a partitioning into shardCount shards;
// replicas[i] are those of shard i, best first.
func NewPlacement(version Version, shardCount uint32, replicas [][]Replica) Placement {
	return Placement{version: version, shardCount: shardCount, replicas: replicas}
}

// Version is the snapshot version that the replicas serve.
func (p Placement) Version() Version { return p.version }

// ShardCount is the number of shards in the partitioning.
func (p Placement) ShardCount() uint32 { return p.shardCount }

// Replicas lists the replicas of the shard with the given index, best first; nil if
// index is out of range. The caller must not change it.
func (p Placement) Replicas(index uint32) []Replica {
	if int(index) >= len(p.replicas) {
		return nil
	}
	return p.replicas[index]
}

// OwnedUpstream is an upstream that this daemon owns: no other daemon sends work to
// it.
type OwnedUpstream struct {
	addr        Address
	service     ServiceName
	boot        BootID
	slots       int
	connections int
	grant       Grant
	leaving     bool
	temperature Temperature
	grantUntil  Instant
}

// Grant is the extent to which an owner may use an upstream. The zero value is
// GrantNone.
type Grant uint8

const (
	// GrantNone allows no requests: a handover is in progress.
	GrantNone Grant = iota
	// GrantWarmOnly allows one request at a time if the upstream is known to be
	// warm. It applies while no quorum confirms this daemon's lease, or while another
	// daemon of the zone may still hold a grant for the upstream.
	GrantWarmOnly
	// GrantFull allows requests up to the cold allowance, or the slots once warm.
	GrantFull
)

// NewOwnedUpstream returns an upstream that this daemon owns, whose last known
// warm-up state is t.
func NewOwnedUpstream(vm UpstreamVM, slots, connections int, grant Grant, t Temperature) OwnedUpstream {
	return OwnedUpstream{
		addr:        vm.Addr,
		service:     vm.Service,
		boot:        vm.Boot,
		slots:       slots,
		connections: connections,
		grant:       grant,
		leaving:     vm.State == VMLeaving || t == Leaving,
		temperature: t,
	}
}

// Addr is the upstream's address.
func (o OwnedUpstream) Addr() Address { return o.addr }

// Service is the service that the upstream belongs to.
func (o OwnedUpstream) Service() ServiceName { return o.service }

// Boot is the upstream's boot ID in the platform's list, which may be out of date.
func (o OwnedUpstream) Boot() BootID { return o.boot }

// Slots is the maximum number of concurrent requests of the upstream.
func (o OwnedUpstream) Slots() int { return o.slots }

// Connections is the maximum number of connections the upstream accepts.
func (o OwnedUpstream) Connections() int { return o.connections }

// Grant is the extent to which this daemon may use the upstream.
func (o OwnedUpstream) Grant() Grant { return o.grant }

// Temperature is the upstream's warm-up state as the zone's daemons last reported
// it. A new owner sends no work to an upstream that is reported lost or leaving,
// and under GrantWarmOnly only to one that is reported warm.
func (o OwnedUpstream) Temperature() Temperature { return o.temperature }

// GrantUntil is when a GrantFull expires unless a newer view extends it. No request
// is started under the grant from then on, even if the control thread is paused.
func (o OwnedUpstream) GrantUntil() Instant { return o.grantUntil }

// WithGrantUntil returns a copy of the upstream whose grant expires at until.
func (o OwnedUpstream) WithGrantUntil(until Instant) OwnedUpstream {
	o.grantUntil = until
	return o
}

// Leaving reports whether the upstream is leaving and gets no new work.
func (o OwnedUpstream) Leaving() bool { return o.leaving }

// ViewSpec is the input of NewView.
type ViewSpec struct {
	Self        DaemonID
	Zone        ZoneName
	Revision    Revision
	Catalog     *Catalog
	Unready     string
	Placements  map[ServiceName][]Placement
	Owned       map[Address]OwnedUpstream
	Quarantined map[Fingerprint]struct{}
	// Crashes is the number of upstreams that crashed under each suspect request.
	Crashes map[Fingerprint]int
	// Rechecks holds the next rechecks of quarantined requests that have one left.
	Rechecks map[Fingerprint]Recheck
	Peers    map[DaemonID]Address
	// Stopping is set while the daemon shuts down; it then refuses new forwarded
	// work.
	Stopping bool
	// AnswerBy is when all routed requests must be answered because the daemon shuts down;
	// 0 if there is no such instant.
	AnswerBy Instant
	// Directory holds the routes and their upstreams; nil if the daemon serves no
	// routes.
	Directory *Directory
	// DirectoryFreshUntil is the instant until which the directory counts as
	// complete, unless a newer view extends it; 0 means that it always does.
	DirectoryFreshUntil Instant
	// RegistryEra counts the restores of the registry from a copy, as of the directory.
	RegistryEra uint64
	// KeysValidUntil is the instant until which callers' API keys are accepted, unless a
	// newer view extends it; 0 means that they always are.
	KeysValidUntil Instant
}

// NewView creates a view. The caller must not change what the spec refers to
// afterwards. The view is ready if Unready is empty.
func NewView(spec ViewSpec) *View {
	return &View{
		self:                spec.Self,
		zone:                spec.Zone,
		revision:            spec.Revision,
		catalog:             spec.Catalog,
		ready:               spec.Unready == "",
		unready:             spec.Unready,
		placements:          spec.Placements,
		owned:               spec.Owned,
		quarantined:         spec.Quarantined,
		crashes:             spec.Crashes,
		rechecks:            spec.Rechecks,
		peers:               spec.Peers,
		stopping:            spec.Stopping,
		answerBy:            spec.AnswerBy,
		directory:           spec.Directory,
		directoryFreshUntil: spec.DirectoryFreshUntil,
		keysValidUntil:      spec.KeysValidUntil,
		registryEra:         spec.RegistryEra,
	}
}

// Self is the daemon the view belongs to.
func (v *View) Self() DaemonID { return v.self }

// Zone is the daemon's availability zone.
func (v *View) Zone() ZoneName { return v.zone }

// Revision is the revision of the configuration in effect at this daemon.
func (v *View) Revision() Revision { return v.revision }

// RegistryEra counts the restores of the registry from a copy, as of the directory.
func (v *View) RegistryEra() uint64 { return v.registryEra }

// Catalog is the configuration in effect at this daemon; nil if there is none yet.
func (v *View) Catalog() *Catalog { return v.catalog }

// Ready reports whether the daemon is ready for callers.
func (v *View) Ready() bool { return v.ready }

// Unready is the reason the daemon is not ready for callers; empty if it is ready.
func (v *View) Unready() string { return v.unready }

// Stopping reports whether the daemon is shutting down. It then refuses new
// forwarded work and finishes the work in progress.
func (v *View) Stopping() bool { return v.stopping }

// Placements lists the placements of a service, newest version first. The caller
// must not change it.
func (v *View) Placements(s ServiceName) []Placement { return v.placements[s] }

// Placement returns the placement of a service at a version.
func (v *View) Placement(s ServiceName, version Version) (Placement, bool) {
	for _, p := range v.placements[s] {
		if p.version == version {
			return p, true
		}
	}
	return Placement{}, false
}

// Owned looks up an upstream that this daemon owns.
func (v *View) Owned(a Address) (OwnedUpstream, bool) {
	o, ok := v.owned[a]
	return o, ok
}

// OwnedAll returns all upstreams that this daemon owns. The caller must not change it.
func (v *View) OwnedAll() map[Address]OwnedUpstream { return v.owned }

// Quarantined reports whether a request is quarantined because it crashes the
// upstreams that run it.
func (v *View) Quarantined(f Fingerprint) bool {
	_, ok := v.quarantined[f]
	return ok
}

// Crashes returns the number of upstreams that crashed under a request, as far as it is
// known; 0 if the request isn't suspect.
func (v *View) Crashes(f Fingerprint) int { return v.crashes[f] }

// Suspects returns the number of upstreams that crashed under each suspect request. The caller
// must not change it.
func (v *View) Suspects() map[Fingerprint]int { return v.crashes }

// Recheck returns the next recheck of a quarantined request, and whether it has one left.
func (v *View) Recheck(f Fingerprint) (Recheck, bool) {
	t, ok := v.rechecks[f]
	return t, ok
}

// HasSuspects reports whether upstreams crashed under any request.
func (v *View) HasSuspects() bool { return len(v.crashes) > 0 }

// AnswerBy returns when all routed requests must be answered because the daemon shuts
// down; 0 if there is no such instant.
func (v *View) AnswerBy() Instant { return v.answerBy }

// Peer looks up the address of another daemon.
func (v *View) Peer(id DaemonID) (Address, bool) {
	a, ok := v.peers[id]
	return a, ok
}

// Peers returns the addresses of the other daemons. The caller must not change it.
func (v *View) Peers() map[DaemonID]Address { return v.peers }

// DirectoryFresh reports whether the directory counts as complete at now. If not,
// upstreams or routes may have been added since it was last confirmed.
func (v *View) DirectoryFresh(now Instant) bool {
	return v.directoryFreshUntil == 0 || now <= v.directoryFreshUntil
}

// KeysValid reports whether callers' API keys are accepted at now. If not, they may have
// been revoked since the directory was last confirmed.
func (v *View) KeysValid(now Instant) bool {
	return v.keysValidUntil == 0 || now <= v.keysValidUntil
}

// Directory returns the routes and their upstreams; nil if the daemon serves no
// routes.
func (v *View) Directory() *Directory { return v.directory }

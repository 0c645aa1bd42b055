package almondstep

// View is what the control thread has decided, as one immutable value. Traffic
// threads read the newest one through an atomic pointer, so that a change of
// configuration or membership takes effect in one step.
type View struct {
	self        DaemonID
	zone        ZoneName
	revision    Revision
	catalog     *Catalog
	ready       bool
	unready     string
	placements  map[ServiceName][]Placement
	owned       map[Address]OwnedUpstream
	quarantined map[Fingerprint]struct{}
	peers       map[DaemonID]Address
	stopping    bool
	directory   *Directory
	freshTo     Instant
}

// Placement says who serves the shards of one service at one version.
type Placement struct {
	version  Version
	of       uint32
	replicas [][]Replica
}

// NewPlacement gives the replicas of each of the of shards; replicas[i] are
// those of shard i, best first.
func NewPlacement(version Version, of uint32, replicas [][]Replica) Placement {
	return Placement{version: version, of: of, replicas: replicas}
}

// Version is the version the replicas serve.
func (p Placement) Version() Version { return p.version }

// Of is the number of shards in the partitioning.
func (p Placement) Of() uint32 { return p.of }

// Replicas lists who serves shard index, best first. The caller must not
// change it.
func (p Placement) Replicas(index uint32) []Replica {
	if int(index) >= len(p.replicas) {
		return nil
	}
	return p.replicas[index]
}

// OwnedUpstream is an upstream this daemon alone sends work to.
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

// Grant says how far an owner may use an upstream.
type Grant uint8

const (
	// GrantNone allows nothing: a hand-over is in progress.
	GrantNone Grant = iota
	// GrantWarmOnly allows one request at a time, if the upstream is known to be
	// warm: this daemon is cut off from most of its zone.
	GrantWarmOnly
	// GrantFull allows up to the cold allowance or the slots.
	GrantFull
)

// NewOwnedUpstream describes an upstream this daemon owns, last known at
// temperature t.
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

// Service is the service the upstream is of.
func (o OwnedUpstream) Service() ServiceName { return o.service }

// Boot is the boot the platform's list shows, which may be out of date.
func (o OwnedUpstream) Boot() BootID { return o.boot }

// Slots is the number of requests the upstream runs at a time.
func (o OwnedUpstream) Slots() int { return o.slots }

// Connections is the number of connections the upstream accepts.
func (o OwnedUpstream) Connections() int { return o.connections }

// Grant says how far this daemon may use the upstream now.
func (o OwnedUpstream) Grant() Grant { return o.grant }

// Temperature is what the zone's daemons last said of the upstream; it can make
// a new owner more careful, or let it use a warm upstream under GrantWarmOnly.
func (o OwnedUpstream) Temperature() Temperature { return o.temperature }

// GrantUntil is when a GrantFull ends unless a newer view extends it. Nothing is
// started under it from then on, also if the control thread is paused.
func (o OwnedUpstream) GrantUntil() Instant { return o.grantUntil }

// WithGrantUntil gives the same upstream with the instant its grant ends.
func (o OwnedUpstream) WithGrantUntil(until Instant) OwnedUpstream {
	o.grantUntil = until
	return o
}

// Leaving says that the upstream gets no new work.
func (o OwnedUpstream) Leaving() bool { return o.leaving }

// ViewSpec is what a view is made of.
type ViewSpec struct {
	Self        DaemonID
	Zone        ZoneName
	Revision    Revision
	Catalog     *Catalog
	Unready     string
	Placements  map[ServiceName][]Placement
	Owned       map[Address]OwnedUpstream
	Quarantined map[Fingerprint]struct{}
	Peers       map[DaemonID]Address
	// Stopping refuses forwarded work that is new.
	Stopping bool
	// Directory has the routes and their upstreams; nil if the daemon serves none.
	Directory *Directory
	// DirectoryFreshUntil is until when the directory counts as all there is, unless a newer
	// view says more; 0 sets no end.
	DirectoryFreshUntil Instant
}

// NewView freezes the parts into a view. The caller must not change them after.
// An empty Unready means ready.
func NewView(p ViewSpec) *View {
	return &View{
		self:        p.Self,
		zone:        p.Zone,
		revision:    p.Revision,
		catalog:     p.Catalog,
		ready:       p.Unready == "",
		unready:     p.Unready,
		placements:  p.Placements,
		owned:       p.Owned,
		quarantined: p.Quarantined,
		peers:       p.Peers,
		stopping:    p.Stopping,
		directory:   p.Directory,
		freshTo:     p.DirectoryFreshUntil,
	}
}

// Self is the daemon the view belongs to.
func (v *View) Self() DaemonID { return v.self }

// Zone is the daemon's availability zone.
func (v *View) Zone() ZoneName { return v.zone }

// Revision is the revision of the configuration in force here.
func (v *View) Revision() Revision { return v.revision }

// Catalog is the configuration in force here; nil if there is none yet.
func (v *View) Catalog() *Catalog { return v.catalog }

// Ready says whether callers should be sent here.
func (v *View) Ready() bool { return v.ready }

// Unready says why callers should not be sent here; empty if they should.
func (v *View) Unready() string { return v.unready }

// Stopping says that the daemon is shutting down: forwarded work that is new is
// refused, and what is under way is finished.
func (v *View) Stopping() bool { return v.stopping }

// Placements lists who serves a service, newest version first. The caller must
// not change it.
func (v *View) Placements(s ServiceName) []Placement { return v.placements[s] }

// Placement finds who serves a service at a version.
func (v *View) Placement(s ServiceName, version Version) (Placement, bool) {
	for _, p := range v.placements[s] {
		if p.version == version {
			return p, true
		}
	}
	return Placement{}, false
}

// Owned finds an upstream this daemon owns.
func (v *View) Owned(a Address) (OwnedUpstream, bool) {
	o, ok := v.owned[a]
	return o, ok
}

// OwnedAll has all upstreams this daemon owns. The caller must not change it.
func (v *View) OwnedAll() map[Address]OwnedUpstream { return v.owned }

// Quarantined says whether a request is known to crash what runs it.
func (v *View) Quarantined(f Fingerprint) bool {
	_, ok := v.quarantined[f]
	return ok
}

// Peer finds the address of another daemon.
func (v *View) Peer(id DaemonID) (Address, bool) {
	a, ok := v.peers[id]
	return a, ok
}

// Peers has the addresses of the other daemons. The caller must not change it.
func (v *View) Peers() map[DaemonID]Address { return v.peers }

// DirectoryFresh says that what the directory doesn't have isn't there. Else it may be there
// since the directory was last confirmed.
func (v *View) DirectoryFresh(now Instant) bool { return v.freshTo == 0 || now <= v.freshTo }

// Directory has the routes and their upstreams; nil if the daemon serves none.
func (v *View) Directory() *Directory { return v.directory }

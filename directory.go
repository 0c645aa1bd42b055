package almondstep

import "time"

// UpstreamID names one start of one upstream, as the upstream itself states it.
type UpstreamID string

// Upstream is one upstream server that the platform's registry lists.
type Upstream struct {
	ID UpstreamID
	// Started is the wall-clock time of the start; an upstream that starts again
	// may keep its id. Zero if it isn't known.
	Started time.Time
	Service ServiceName
	Addr    Address
	Zone    ZoneName
	Region  RegionName
	// Slots is the number of requests it runs at a time; 0 if it isn't known.
	Slots int
	// Leaving upstreams get no new requests.
	Leaving bool
	// ColdFor is how much longer the upstream stays cold, counted from when the
	// entry was read.
	ColdFor time.Duration
}

// Directory is what a daemon knows of the routes and of who answers them, as
// one immutable value.
type Directory struct {
	routes    *RouteTable
	upstreams map[ServiceName][]*Upstream
	daemons   int
	gatherers int
	delegates []Delegate
	helpers   map[RegionName][]Delegate
}

// DirectorySpec is what a directory is made of.
type DirectorySpec struct {
	// Routes is nil as long as no table is known.
	Routes *RouteTable
	// Upstreams are those that may get new requests, by service.
	Upstreams map[ServiceName][]*Upstream
	// Daemons is the number of daemons among which bounds are shared, at least 1.
	Daemons int
	// Gatherers is how many of them call the upstreams of shards; 0 means all.
	Gatherers int
	// Delegates are those of the own zone, if this daemon isn't one itself.
	Delegates []Delegate
	// RegionalDelegates are the daemons of each other region that ask its upstreams for others.
	RegionalDelegates map[RegionName][]Delegate
}

// NewDirectory freezes the parts. The caller must not change them after.
func NewDirectory(p DirectorySpec) *Directory {
	d := &Directory{
		routes:    p.Routes,
		upstreams: p.Upstreams,
		daemons:   max(1, p.Daemons),
		gatherers: p.Gatherers,
		delegates: p.Delegates,
		helpers:   p.RegionalDelegates,
	}
	if d.gatherers <= 0 || d.gatherers > d.daemons {
		d.gatherers = d.daemons
	}
	return d
}

// Routes is the newest route table; nil as long as none is known.
func (d *Directory) Routes() *RouteTable { return d.routes }

// Upstreams lists those of a service that may get new requests. The caller must
// not change it.
func (d *Directory) Upstreams(s ServiceName) []*Upstream { return d.upstreams[s] }

// AllUpstreams has the upstreams of every service. The caller must not change it.
func (d *Directory) AllUpstreams() map[ServiceName][]*Upstream { return d.upstreams }

// Daemons is the number of daemons among which bounds are shared, at least 1.
func (d *Directory) Daemons() int { return d.daemons }

// Gatherers is the number of daemons that call the upstreams of shards, at least
// 1. The others hand requests over shards to them.
func (d *Directory) Gatherers() int { return d.gatherers }

// Delegates are the daemons to which this one hands requests over shards; empty
// if it asks the shards itself. The caller must not change it.
func (d *Directory) Delegates() []Delegate { return d.delegates }

// RegionalDelegates are the daemons of another region to which this one may hand the shards
// whose upstreams stand there. The caller must not change it.
func (d *Directory) RegionalDelegates(region RegionName) []Delegate { return d.helpers[region] }

// RegionalDelegatesByRegion has the helpers of all regions. The caller must not change it.
func (d *Directory) RegionalDelegatesByRegion() map[RegionName][]Delegate { return d.helpers }

package almondstep

import "time"

// VMState is the state of a VM in the platform's list, which may be out of date.
type VMState string

const (
	// VMLive is a VM in service.
	VMLive VMState = "live"
	// VMLeaving is a VM that is about to shut down; this is final for its boot.
	VMLeaving VMState = "leaving"
)

// Fleet is the platform's list of VMs, both daemons and upstreams. It may be out of
// date.
type Fleet struct {
	// Revision rises with each change of the list.
	Revision  Revision     `json:"revision"`
	Daemons   []DaemonVM   `json:"daemons"`
	Upstreams []UpstreamVM `json:"upstreams"`
}

// DaemonVM is one daemon in the platform's list.
type DaemonVM struct {
	ID    DaemonID `json:"id"`
	Addr  Address  `json:"addr"`
	Zone  ZoneName `json:"zone"`
	State VMState  `json:"state"`
}

// UpstreamVM is one upstream server in the platform's list.
type UpstreamVM struct {
	Addr     Address     `json:"addr"`
	Service  ServiceName `json:"service"`
	Zone     ZoneName    `json:"zone"`
	Instance string      `json:"instance"`
	Boot     BootID      `json:"boot"`
	State    VMState     `json:"state"`
	Holdings []Holding   `json:"holdings"`
}

// Holding lists the shards of one version that an upstream serves.
//
// Example: {version: 7, of: 20, shards: [3, 13]} serves shards 3 and 13 of 20
// at version 7.
type Holding struct {
	Version Version  `json:"version"`
	Of      uint32   `json:"of"`
	Shards  []uint32 `json:"shards"`
}

// Temperature is an upstream's warm-up state, as far as it is known: how much load
// the upstream can take. The zero value is Cold.
type Temperature uint8

const (
	// Cold upstreams get a small, growing allowance and neither hedges nor retries.
	Cold Temperature = iota
	// Warm upstreams get up to their slots.
	Warm
	// Leaving upstreams get no new work, for this boot.
	Leaving
	// Lost upstreams don't answer; they get only liveness probes.
	Lost
)

// String names the temperature as metrics and logs show it.
func (t Temperature) String() string {
	switch t {
	case Warm:
		return "warm"
	case Leaving:
		return "leaving"
	case Lost:
		return "lost"
	default:
		return "cold"
	}
}

// Replica is one upstream that serves a shard, with the properties by which the
// planner chooses among a shard's replicas.
type Replica struct {
	upstream    Address
	zone        ZoneName
	owner       DaemonID
	temperature Temperature
	distance    time.Duration
}

// NewReplica returns a replica of a shard at upstream, which is queried through
// owner. Distance is the expected one-way delay from the planning daemon.
func NewReplica(upstream Address, zone ZoneName, owner DaemonID, t Temperature, distance time.Duration) Replica {
	return Replica{upstream: upstream, zone: zone, owner: owner, temperature: t, distance: distance}
}

// Upstream is the address of the server.
func (r Replica) Upstream() Address { return r.upstream }

// Zone is the availability zone of the server.
func (r Replica) Zone() ZoneName { return r.zone }

// Owner is the one daemon that sends work to the server; empty if none is reachable.
func (r Replica) Owner() DaemonID { return r.owner }

// Temperature is the last known warm-up state of the server.
func (r Replica) Temperature() Temperature { return r.temperature }

// Distance is the expected one-way delay to the server.
func (r Replica) Distance() time.Duration { return r.distance }

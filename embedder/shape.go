package embedder

import (
	"fmt"

	"almondstep"
	"almondstep/standin/upstream"
)

// ServiceShape has the number of a service's servers and shards and the limits and
// latency of each server.
type ServiceShape struct {
	Service almondstep.ServiceName
	Servers int
	// Shards is the number of shards; 0 is as many as give each zone one replica of
	// each shard.
	Shards int
	// Records is the number of records of the service.
	Records     int
	Slots       int
	Connections int
	Latency     upstream.Latency
}

// placedServer is the placement of one server of a shape and its shard.
type placedServer struct {
	zone     almondstep.ZoneName
	instance string
	shard    uint32
	replica  int
}

// shards returns the number of shards of the service in the given number of zones.
func (s ServiceShape) shards(zones int) int {
	if s.Shards > 0 {
		return s.Shards
	}
	return max(1, s.Servers/zones)
}

// place spreads the replicas of a shard over the zones: with 3 zones, shard 0 has
// its replicas in zones 0, 1, 2, shard 1 in zones 1, 2, 0. Remaining servers
// are further replicas, from shard 0 on.
func (s ServiceShape) place(zones []almondstep.ZoneName) []placedServer {
	const serversPerInstance = 2
	shards := s.shards(len(zones))
	placed := make([]placedServer, s.Servers)
	for i := range placed {
		shard, replica := i%shards, i/shards
		placed[i] = placedServer{
			zone:     zones[(shard+replica)%len(zones)],
			instance: fmt.Sprintf("%s-%04d", s.Service, i/serversPerInstance),
			shard:    uint32(shard),
			replica:  replica,
		}
	}
	return placed
}

// holding returns the holding of a server of shard at a version.
func holding(version almondstep.Version, of int, shard uint32) almondstep.Holding {
	return almondstep.Holding{Version: version, Of: uint32(of), Shards: []uint32{shard}}
}

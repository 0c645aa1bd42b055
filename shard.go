package almondstep

import "fmt"

// keySpace is the number of hash values over which records are distributed.
const keySpace = uint64(1) << 32

// Shard is one part of a service's records under a partitioning. A partitioning
// divides the key space into a number of equal parts, whatever the service: shard 1
// of 4 covers the second quarter, as indexes begin at 0.
type Shard struct {
	service    ServiceName
	index      uint32
	shardCount uint32
}

// NewShard returns the shard with the given index, from 0, of a partitioning into
// shardCount shards.
func NewShard(service ServiceName, index, shardCount uint32) Shard {
	return Shard{service: service, index: index, shardCount: shardCount}
}

// Service is the service whose records the shard holds.
func (s Shard) Service() ServiceName { return s.service }

// Index is the shard's index in its partitioning, from 0.
func (s Shard) Index() uint32 { return s.index }

// ShardCount is the number of shards in the partitioning.
func (s Shard) ShardCount() uint32 { return s.shardCount }

// Range returns the range of key hashes that the shard covers; to is exclusive. Both
// are 0 for the zero Shard.
func (s Shard) Range() (from, to uint64) {
	if s.shardCount == 0 {
		return 0, 0
	}
	n := uint64(s.shardCount)
	return keySpace * uint64(s.index) / n, keySpace * uint64(s.index+1) / n
}

// String formats the shard as service/index/count, count being the number of shards
// in the partitioning.
func (s Shard) String() string {
	return fmt.Sprintf("%s/%d/%d", s.service, s.index, s.shardCount)
}

// Record is one lot or trial record that matches a search.
type Record struct {
	// Key is the sort key of merged records.
	Key string `json:"key"`
	// Body is the record's text.
	Body string `json:"body"`
}

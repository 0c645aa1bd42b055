package almondstep

import "hash/crc32"

// castagnoli is the table of the CRC-32C polynomial, which many processors compute in
// hardware.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// KeyHash maps a record key into the key space that Shard.Range divides. It is
// CRC-32C, so that other programs can compute it with a standard library.
func KeyHash(key string) uint32 {
	return crc32.Checksum([]byte(key), castagnoli)
}

// ShardOfKey returns the shard that holds a record key in a partitioning of a
// service into shardCount shards.
func ShardOfKey(service ServiceName, key string, shardCount uint32) Shard {
	index := uint64(KeyHash(key)) * uint64(shardCount) / keySpace
	s := NewShard(service, uint32(index), shardCount)
	// The ranges round down, so the exact shard may be the next one.
	if _, to := s.Range(); uint64(KeyHash(key)) >= to {
		s = NewShard(service, uint32(index)+1, shardCount)
	}
	return s
}

package almondstep

import "hash/crc32"

// castagnoli is the table of the polynomial that processors compute in hardware.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// KeyHash maps a record key into the key space that Shard.Range divides. It is
// CRC-32C, which other programs can compute too.
func KeyHash(key string) uint32 {
	return crc32.Checksum([]byte(key), castagnoli)
}

// ShardOfKey returns the shard that holds a record key in a partitioning of a
// service into of shards.
func ShardOfKey(service ServiceName, key string, of uint32) Shard {
	index := uint64(KeyHash(key)) * uint64(of) / keySpace
	s := NewShard(service, uint32(index), of)
	// The ranges round down, so the exact shard may be the next one.
	if _, to := s.Range(); uint64(KeyHash(key)) >= to {
		s = NewShard(service, uint32(index)+1, of)
	}
	return s
}

package almondstep

import "hash/crc32"

// castagnoli is the polynomial that processors compute in hardware.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// KeyHash places a record key in the key space, which Shard.Range divides. It
// is CRC-32C, so that any other program can compute it too.
func KeyHash(key string) uint32 {
	return crc32.Checksum([]byte(key), castagnoli)
}

// ShardOfKey gives the shard that holds a record key in a partitioning of a
// service into of parts.
func ShardOfKey(service ServiceName, key string, of uint32) Shard {
	index := uint64(KeyHash(key)) * uint64(of) / keySpace
	s := NewShard(service, uint32(index), of)
	// The ranges round down, so the exact shard may be the next one.
	if _, to := s.Range(); uint64(KeyHash(key)) >= to {
		s = NewShard(service, uint32(index)+1, of)
	}
	return s
}

package upstream

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"sync"

	"almondstep"
)

// changedOneIn is the number of records of which each version changes one on average.
const changedOneIn = 16

// Dataset holds the records of one service, generated from a seed. A record's
// position in the key space depends only on its key, so the records are the same
// under any partitioning, and a search over all shards can be checked against
// Search. Its fields must be set before its first use; servers share one.
type Dataset struct {
	Service almondstep.ServiceName
	Seed    uint64
	// Records is the number of records.
	Records int

	mu       sync.Mutex
	versions map[almondstep.Version][]positionedRecord
}

// positionedRecord is a record and its key's position in the key space.
type positionedRecord struct {
	hash   uint64
	record almondstep.Record
}

// HashKey returns a record key's position in the key space of 2^32 values.
func HashKey(key string) uint64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(key))
	// FNV alone gives close hashes to keys that differ only in their last digits.
	return almondstep.HashUint64(uint64(h.Sum32())) >> 32
}

// words are the words of the records' bodies. There are few, so that a search for one
// matches many records.
var words = [...]string{
	"walnut", "almond", "hazelnut", "roast", "raw", "wet", "dry", "pallet",
	"north", "south", "early", "late", "checked", "open", "sealed", "split",
}

// versionRecords returns the records of a version in the order of their positions.
func (d *Dataset) versionRecords(v almondstep.Version) []positionedRecord {
	d.mu.Lock()
	defer d.mu.Unlock()
	if got, ok := d.versions[v]; ok {
		return got
	}
	all := make([]positionedRecord, d.Records)
	for i := range all {
		all[i] = d.record(i, v)
	}
	slices.SortFunc(all, func(a, b positionedRecord) int {
		if a.hash != b.hash {
			return int(int64(a.hash) - int64(b.hash))
		}
		return strings.Compare(a.record.Key, b.record.Key)
	})
	if d.versions == nil {
		d.versions = map[almondstep.Version][]positionedRecord{}
	}
	d.versions[v] = all
	return all
}

func (d *Dataset) record(i int, v almondstep.Version) positionedRecord {
	key := fmt.Sprintf("%s-%07d", d.Service, i)
	x := almondstep.HashUint64(d.Seed ^ uint64(i)<<20)
	body := fmt.Sprintf("%s %s %s", words[x%16], words[x>>8%16], words[x>>16%16])
	// In a record that this version changes, the first word is the next one of
	// the list and the third is the version.
	if almondstep.HashUint64(x^uint64(v))%changedOneIn == 0 {
		body = fmt.Sprintf("%s %s v%d", words[(x+1)%16], words[x>>8%16], v)
	}
	return positionedRecord{hash: HashKey(key), record: almondstep.Record{Key: key, Body: body}}
}

// Shard returns the number of records of a shard that contain text at a version,
// and the first limit of them in key order.
func (d *Dataset) Shard(s almondstep.Shard, v almondstep.Version, text string, limit int) (int, []almondstep.Record) {
	from, to := s.Range()
	all := d.versionRecords(v)
	low, _ := slices.BinarySearchFunc(all, from, byHash)
	high, _ := slices.BinarySearchFunc(all, to, byHash)
	return search(all[low:high], text, limit)
}

// Search returns what a search over all shards must find: the number of all records
// that contain text, and the first limit of them in key order.
func (d *Dataset) Search(v almondstep.Version, text string, limit int) (int, []almondstep.Record) {
	return search(d.versionRecords(v), text, limit)
}

func byHash(p positionedRecord, hash uint64) int {
	switch {
	case p.hash < hash:
		return -1
	case p.hash > hash:
		return 1
	default:
		return 0
	}
}

func search(in []positionedRecord, text string, limit int) (int, []almondstep.Record) {
	found := []almondstep.Record{}
	for _, p := range in {
		if strings.Contains(p.record.Body, text) || strings.Contains(p.record.Key, text) {
			found = append(found, p.record)
		}
	}
	total := len(found)
	slices.SortFunc(found, func(a, b almondstep.Record) int { return strings.Compare(a.Key, b.Key) })
	return total, found[:min(limit, total)]
}

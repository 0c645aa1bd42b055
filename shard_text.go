package almondstep

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// shardFields is the number of fields in a shard's text form.
const shardFields = 3

// MarshalText encodes the shard as String does, for event logs.
func (s Shard) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// UnmarshalText decodes the output of MarshalText. It returns ErrInvalid if the text
// is malformed.
func (s *Shard) UnmarshalText(text []byte) error {
	fields := strings.Split(string(text), "/")
	if len(fields) != shardFields {
		return errors.Wrapf(ErrInvalid, "shard %q: want service/index/count", text)
	}
	index, err := strconv.ParseUint(fields[1], 10, 32)
	if err != nil {
		return errors.Wrapf(ErrInvalid, "shard %q: index: %v", text, err)
	}
	shardCount, err := strconv.ParseUint(fields[2], 10, 32)
	if err != nil {
		return errors.Wrapf(ErrInvalid, "shard %q: number of shards: %v", text, err)
	}
	*s = NewShard(ServiceName(fields[0]), uint32(index), uint32(shardCount))
	return nil
}

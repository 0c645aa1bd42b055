package almondstep

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// shardFields is the number of parts of a shard's text form.
const shardFields = 3

// MarshalText writes the shard like String, so that event logs show it.
func (s Shard) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// UnmarshalText reads what MarshalText wrote.
func (s *Shard) UnmarshalText(text []byte) error {
	fields := strings.Split(string(text), "/")
	if len(fields) != shardFields {
		return errors.Wrapf(ErrInvalid, "shard %q: want service/index/of", text)
	}
	index, err := strconv.ParseUint(fields[1], 10, 32)
	if err != nil {
		return errors.Wrapf(ErrInvalid, "shard %q: index: %v", text, err)
	}
	of, err := strconv.ParseUint(fields[2], 10, 32)
	if err != nil {
		return errors.Wrapf(ErrInvalid, "shard %q: of: %v", text, err)
	}
	*s = NewShard(ServiceName(fields[0]), uint32(index), uint32(of))
	return nil
}

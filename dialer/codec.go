package dialer

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"almondstep"
)

// callRequest is the body of a call.
type callRequest struct {
	Service    almondstep.ServiceName `json:"service"`
	Shard      uint32                 `json:"shard"`
	Of         uint32                 `json:"of"`
	Version    almondstep.Version     `json:"version"`
	Text       string                 `json:"text"`
	Limit      int                    `json:"limit"`
	Operation  string                 `json:"operation,omitempty"`
	Idempotent bool                   `json:"idempotent,omitempty"`
}

// callAnswer is the body of the answer to a call.
type callAnswer struct {
	Version almondstep.Version  `json:"version"`
	Total   int                 `json:"total"`
	Records []almondstep.Record `json:"records"`
}

func encodeCall(a *almondstep.StartAttempt) []byte {
	body, err := json.Marshal(callRequest{
		Service:    a.Shard.Service(),
		Shard:      a.Shard.Index(),
		Of:         a.Shard.ShardCount(),
		Version:    a.Version,
		Text:       a.Text,
		Limit:      a.Limit,
		Operation:  a.Operation,
		Idempotent: a.Idempotent,
	})
	if err != nil {
		// Strings and numbers always marshal.
		panic(err)
	}
	return body
}

// decodeAnswer decodes an answer and checks what the merger relies on: records
// in ascending key order, at most limit of them and not more than the total.
func decodeAnswer(body []byte, limit int) (callAnswer, error) {
	var a callAnswer
	if err := json.Unmarshal(body, &a); err != nil {
		return callAnswer{}, errors.Mark(err, almondstep.ErrInvalid)
	}
	if a.Total < len(a.Records) || len(a.Records) > max(0, limit) {
		return callAnswer{}, errors.Wrapf(almondstep.ErrInvalid, "answer has %d records, total %d, limit %d", len(a.Records), a.Total, limit)
	}
	for i := 1; i < len(a.Records); i++ {
		if a.Records[i-1].Key >= a.Records[i].Key {
			return callAnswer{}, errors.Wrapf(almondstep.ErrInvalid, "record %d of the answer is not in ascending key order", i)
		}
	}
	return a, nil
}

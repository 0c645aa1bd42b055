package applier

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"almondstep"
	"almondstep/patcher"
)

// Key is the platform's key for the envelope.
const Key = "almondstep/config"

const (
	// MaxValueBytes is the largest value the platform stores.
	MaxValueBytes = 1_000_000
	// maxDecompressedBytes bounds a decompressed envelope.
	maxDecompressedBytes = 16 << 20
	// maxUncompressedBytes is the longest envelope that is stored uncompressed.
	maxUncompressedBytes = 16 << 10
	// maxHistory is the number of edits kept in the history.
	maxHistory = 200
)

// Envelope is the platform's value: the configuration in force and the recent
// edits.
type Envelope struct {
	Revision almondstep.Revision `json:"revision"`
	Hash     almondstep.Hash     `json:"hash"`
	PrevHash almondstep.Hash     `json:"prevHash,omitempty"`
	Text     string              `json:"text"`
	// History lists the recent edits, newest first.
	History []AcceptedEdit `json:"history"`
}

// AcceptedEdit is one accepted edit.
type AcceptedEdit struct {
	WriteID  string              `json:"writeId"`
	Revision almondstep.Revision `json:"revision"`
	Hash     almondstep.Hash     `json:"hash"`
	Who      string              `json:"who"`
	When     time.Time           `json:"when"`
	Reason   string              `json:"reason"`
	// Entries lists the addresses of the entries it changed.
	Entries []string `json:"entries"`
	// Back is the patch from the text of this revision to the previous text;
	// empty if the previous text is no longer kept.
	Back json.RawMessage `json:"back,omitempty"`
}

// DecodeEnvelope decodes the platform's value and verifies its hash. An empty
// value yields an envelope of revision 0, a damaged one an almondstep.ErrCorrupt.
func DecodeEnvelope(value []byte) (*Envelope, error) {
	e := &Envelope{}
	if len(value) == 0 {
		return e, nil
	}
	body, err := decompress(value)
	if err != nil {
		return nil, errors.Wrapf(almondstep.ErrCorrupt, "the platform's value: %v", err)
	}
	if err := json.Unmarshal(body, e); err != nil {
		return nil, errors.Wrapf(almondstep.ErrCorrupt, "the platform's value: %v", err)
	}
	if e.Revision == 0 {
		return nil, errors.Wrap(almondstep.ErrCorrupt, "the platform's value has no revision")
	}
	if got := almondstep.HashOf([]byte(e.Text)); got != e.Hash {
		return nil, errors.Wrapf(almondstep.ErrCorrupt, "revision %d: hash is %s instead of %s", e.Revision, got, e.Hash)
	}
	return e, nil
}

// gzipReaders reuses readers, since a new one allocates tens of kilobytes.
var gzipReaders = sync.Pool{New: func() any { return new(gzip.Reader) }}

func decompress(value []byte) ([]byte, error) {
	if value[0] == '{' {
		return value, nil
	}
	r := gzipReaders.Get().(*gzip.Reader)
	defer gzipReaders.Put(r)
	if err := r.Reset(bytes.NewReader(value)); err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(r, maxDecompressedBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxDecompressedBytes {
		return nil, errors.Newf("longer than %d bytes", maxDecompressedBytes)
	}
	return body, nil
}

// Encode encodes the envelope. While the value exceeds MaxValueBytes, it drops the
// older half of the history. It returns an almondstep.ErrInvalid if the text is too
// long even so.
func (e *Envelope) Encode() ([]byte, error) {
	kept := *e
	for {
		value, err := marshal(&kept)
		if err != nil {
			return nil, err
		}
		if len(value) <= MaxValueBytes {
			return value, nil
		}
		if len(kept.History) <= 1 {
			return nil, errors.Wrapf(almondstep.ErrInvalid,
				"the compressed text has %d bytes, but the platform stores at most %d; shorten the text", len(value), MaxValueBytes)
		}
		kept.History = kept.History[:(len(kept.History)+1)/2]
		kept.dropOldestPatch()
	}
}

// gzipWriters reuses writers, since a new one allocates most of a megabyte.
var gzipWriters = sync.Pool{New: func() any {
	w, err := gzip.NewWriterLevel(nil, gzip.BestSpeed)
	if err != nil {
		panic(err)
	}
	return w
}}

// marshal encodes a short envelope as plain JSON, which operators can read at the
// platform, and a longer one as compressed JSON.
func marshal(e *Envelope) ([]byte, error) {
	body, err := json.Marshal(e)
	if err != nil || len(body) <= maxUncompressedBytes {
		return body, err
	}
	var b bytes.Buffer
	w := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(w)
	w.Reset(&b)
	if _, err := w.Write(body); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// dropOldestPatch removes the oldest edit's patch, since the text it leads to is no
// longer kept.
func (e *Envelope) dropOldestPatch() {
	last := len(e.History) - 1
	history := append([]AcceptedEdit(nil), e.History...)
	history[last].Back = nil
	e.History = history
}

// next returns the envelope after an edit.
func (e *Envelope) next(text []byte, accepted AcceptedEdit) *Envelope {
	accepted.Hash = almondstep.HashOf(text)
	accepted.Back = patcher.Make(text, []byte(e.Text))
	if accepted.Back == nil && e.Revision > 0 {
		accepted.Back = fullTextPatch(e.Text)
	}
	history := append([]AcceptedEdit{accepted}, e.History...)
	n := &Envelope{
		Revision: accepted.Revision,
		Hash:     accepted.Hash,
		PrevHash: e.Hash,
		Text:     string(text),
		History:  history[:min(len(history), maxHistory)],
	}
	n.dropOldestPatch()
	return n
}

// fullTextPatch returns a patch that replaces any text by the given one.
func fullTextPatch(text string) json.RawMessage {
	body, err := json.Marshal([]string{text})
	if err != nil {
		return nil
	}
	return body
}

// TextAt reconstructs the text of a revision. It returns almondstep.ErrNotFound
// if the revision is no longer kept.
func (e *Envelope) TextAt(revision almondstep.Revision) ([]byte, error) {
	text := []byte(e.Text)
	if revision == e.Revision && revision > 0 {
		return text, nil
	}
	for i := 0; i+1 < len(e.History) && e.History[i].Back != nil; i++ {
		before, err := patcher.Apply(text, e.History[i].Back)
		if err != nil {
			return nil, err
		}
		former := e.History[i+1]
		if got := almondstep.HashOf(before); got != former.Hash {
			return nil, errors.Wrapf(almondstep.ErrCorrupt, "revision %d: hash is %s instead of %s", former.Revision, got, former.Hash)
		}
		if former.Revision == revision {
			return before, nil
		}
		text = before
	}
	return nil, errors.Wrapf(almondstep.ErrNotFound, "revision %d is not kept", revision)
}

// Since lists the edits after a revision, newest first. complete reports whether
// the history still has all of them.
func (e *Envelope) Since(revision almondstep.Revision) (edits []AcceptedEdit, complete bool) {
	for _, edit := range e.History {
		if edit.Revision <= revision {
			return edits, true
		}
		edits = append(edits, edit)
	}
	return edits, revision == 0 && len(e.History) < maxHistory
}

// Find returns the edit with a write id.
func (e *Envelope) Find(writeID string) (AcceptedEdit, bool) {
	for _, edit := range e.History {
		if edit.WriteID == writeID {
			return edit, true
		}
	}
	return AcceptedEdit{}, false
}

// Document returns the configuration as the document that daemons exchange.
func (e *Envelope) Document() *almondstep.Document {
	return &almondstep.Document{
		Name:     almondstep.DocumentConfig,
		Revision: e.Revision,
		Hash:     e.Hash,
		Body:     []byte(e.Text),
	}
}

// DecodeDocument decodes the platform's value into the document that daemons
// exchange.
func DecodeDocument(value []byte) (*almondstep.Document, error) {
	e, err := DecodeEnvelope(value)
	if err != nil {
		return nil, err
	}
	if e.Revision == 0 {
		return nil, errors.Wrap(almondstep.ErrNotFound, "no configuration has been applied yet")
	}
	return e.Document(), nil
}

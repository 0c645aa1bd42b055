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

// Key is where the platform holds the envelope.
const Key = "almondstep/config"

const (
	// MaxValueBytes is the largest value the platform holds.
	MaxValueBytes = 1_000_000
	// maxUnpackedBytes bounds an unpacked envelope.
	maxUnpackedBytes = 16 << 20
	// maxPlainBytes is the longest envelope that isn't packed.
	maxPlainBytes = 16 << 10
	// maxHistory is the number of edits that are kept.
	maxHistory = 200
)

// Envelope is the platform's value: the text in force and the recent edits.
type Envelope struct {
	Revision almondstep.Revision `json:"revision"`
	Hash     almondstep.Hash     `json:"hash"`
	PrevHash almondstep.Hash     `json:"prevHash,omitempty"`
	Text     string              `json:"text"`
	// History has the newest edit first.
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
	// Back makes the text before out of the text of this revision; empty if
	// that is no longer kept.
	Back json.RawMessage `json:"back,omitempty"`
}

// DecodeEnvelope unpacks the platform's value and compares its hash. An empty
// value is an envelope of revision 0. A damaged one is an almondstep.ErrCorrupt.
func DecodeEnvelope(value []byte) (*Envelope, error) {
	e := &Envelope{}
	if len(value) == 0 {
		return e, nil
	}
	body, err := unpack(value)
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

// readers are kept, since a new one takes tens of kilobytes.
var readers = sync.Pool{New: func() any { return new(gzip.Reader) }}

func unpack(value []byte) ([]byte, error) {
	if value[0] == '{' {
		return value, nil
	}
	r := readers.Get().(*gzip.Reader)
	defer readers.Put(r)
	if err := r.Reset(bytes.NewReader(value)); err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxUnpackedBytes {
		return nil, errors.Newf("longer than %d bytes", maxUnpackedBytes)
	}
	return body, nil
}

// Encode packs the envelope, with as much of the history as fits.
func (e *Envelope) Encode() ([]byte, error) {
	kept := *e
	for {
		value, err := pack(&kept)
		if err != nil {
			return nil, err
		}
		if len(value) <= MaxValueBytes {
			return value, nil
		}
		if len(kept.History) <= 1 {
			return nil, errors.Wrapf(almondstep.ErrInvalid,
				"the packed text has %d bytes and the platform holds %d; shorten the text", len(value), MaxValueBytes)
		}
		kept.History = kept.History[:(len(kept.History)+1)/2]
		kept.cutHistory()
	}
}

// writers are kept, since a new one takes most of a megabyte.
var writers = sync.Pool{New: func() any {
	w, err := gzip.NewWriterLevel(nil, gzip.BestSpeed)
	if err != nil {
		panic(err)
	}
	return w
}}

// pack writes a short envelope as plain JSON, which people can read at the
// platform, and a longer one packed.
func pack(e *Envelope) ([]byte, error) {
	body, err := json.Marshal(e)
	if err != nil || len(body) <= maxPlainBytes {
		return body, err
	}
	var b bytes.Buffer
	w := writers.Get().(*gzip.Writer)
	defer writers.Put(w)
	w.Reset(&b)
	if _, err := w.Write(body); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// cutHistory drops the patch behind the oldest edit, which leads to nothing
// that is kept.
func (e *Envelope) cutHistory() {
	last := len(e.History) - 1
	history := append([]AcceptedEdit(nil), e.History...)
	history[last].Back = nil
	e.History = history
}

// next gives the envelope after an edit.
func (e *Envelope) next(text []byte, accepted AcceptedEdit) *Envelope {
	accepted.Hash = almondstep.HashOf(text)
	accepted.Back = patcher.Make(text, []byte(e.Text))
	if accepted.Back == nil && e.Revision > 0 {
		accepted.Back = wholeText(e.Text)
	}
	history := append([]AcceptedEdit{accepted}, e.History...)
	n := &Envelope{
		Revision: accepted.Revision,
		Hash:     accepted.Hash,
		PrevHash: e.Hash,
		Text:     string(text),
		History:  history[:min(len(history), maxHistory)],
	}
	n.cutHistory()
	return n
}

// wholeText is the patch that inserts all of a text.
func wholeText(text string) json.RawMessage {
	body, err := json.Marshal([]string{text})
	if err != nil {
		return nil
	}
	return body
}

// TextAt makes the text of a former revision, or returns almondstep.ErrNotFound
// if it is no longer kept.
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

// Since lists the edits after a revision, newest first. Whole says whether
// none of them is missing.
func (e *Envelope) Since(revision almondstep.Revision) (edits []AcceptedEdit, whole bool) {
	for _, edit := range e.History {
		if edit.Revision <= revision {
			return edits, true
		}
		edits = append(edits, edit)
	}
	return edits, revision == 0 && len(e.History) < maxHistory
}

// Find looks for an edit by its write id.
func (e *Envelope) Find(writeID string) (AcceptedEdit, bool) {
	for _, edit := range e.History {
		if edit.WriteID == writeID {
			return edit, true
		}
	}
	return AcceptedEdit{}, false
}

// Document gives the text as daemons hold it.
func (e *Envelope) Document() *almondstep.Document {
	return &almondstep.Document{
		Name:     almondstep.DocumentConfig,
		Revision: e.Revision,
		Hash:     e.Hash,
		Body:     []byte(e.Text),
	}
}

// DecodeDocument gives the text in the platform's value as daemons hold it.
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

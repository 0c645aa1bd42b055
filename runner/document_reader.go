package runner

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"almondstep"
)

// readGrace is how much longer than its wait a read may take before it times out.
const readGrace = 2 * time.Second

// DocumentReader reads the documents that daemons hold copies of.
type DocumentReader interface {
	// Read returns the document, or unchanged if its revision is still the effect's
	// After. It returns neither if there is no document.
	Read(ctx context.Context, f *almondstep.ReadDocument) (doc *almondstep.Document, unchanged bool, err error)
}

// PlatformReader reads documents from the platform.
type PlatformReader struct {
	Platform almondstep.Platform
	// ConfigKey is the key of the configuration.
	ConfigKey string
	// DecodeConfig decodes the value stored under ConfigKey.
	DecodeConfig func(value []byte) (*almondstep.Document, error)

	mu sync.Mutex
	// seen is the revision of ConfigKey at the last read, so that a watch waits for a
	// write after it; doc is the revision of the document read then.
	seen uint64
	doc  almondstep.Revision
}

// Read gets a document, waiting for a change if the effect has a wait.
func (p *PlatformReader) Read(ctx context.Context, f *almondstep.ReadDocument) (doc *almondstep.Document, unchanged bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, f.Wait+readGrace)
	defer cancel()
	if f.Name == almondstep.DocumentFleet {
		return p.readFleet(ctx, f)
	}
	return p.readConfig(ctx, f)
}

func (p *PlatformReader) readConfig(ctx context.Context, f *almondstep.ReadDocument) (*almondstep.Document, bool, error) {
	after := p.watchFrom(f.After)
	entry, err := p.get(ctx, after, f.Wait)
	if err != nil {
		return nil, false, err
	}
	if entry.Revision == 0 {
		return nil, false, nil
	}
	if after > 0 && entry.Revision == after {
		return nil, true, nil
	}
	doc, err := p.DecodeConfig(entry.Value)
	if err != nil {
		return nil, false, errors.Wrap(err, "decode the configuration read from the platform")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seen = entry.Revision
	p.doc = doc.Revision
	return doc, false, nil
}

func (p *PlatformReader) get(ctx context.Context, after uint64, wait time.Duration) (almondstep.Entry, error) {
	if after == 0 || wait == 0 {
		return p.Platform.Get(ctx, p.ConfigKey)
	}
	return p.Platform.Watch(ctx, p.ConfigKey, after, wait)
}

// watchFrom returns the key's revision to watch from. It is 0, for an immediate
// read, if the daemon holds no document or another revision than the last one read
// here.
func (p *PlatformReader) watchFrom(have almondstep.Revision) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if have == 0 || have != p.doc {
		return 0
	}
	return p.seen
}

func (p *PlatformReader) readFleet(ctx context.Context, f *almondstep.ReadDocument) (*almondstep.Document, bool, error) {
	fleet, err := p.Platform.Fleet(ctx, f.After, f.Wait)
	if err != nil {
		return nil, false, err
	}
	if fleet.Revision == 0 {
		return nil, false, nil
	}
	if f.Wait > 0 && fleet.Revision == f.After {
		return nil, true, nil
	}
	body, err := json.Marshal(fleet)
	if err != nil {
		return nil, false, errors.Wrap(err, "encode the list of VMs")
	}
	return &almondstep.Document{
		Name:     almondstep.DocumentFleet,
		Revision: fleet.Revision,
		Hash:     almondstep.HashOf(body),
		Body:     body,
	}, false, nil
}

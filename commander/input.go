package commander

import (
	"context"
	"encoding/json"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"almondstep"
	"almondstep/applier"
	"almondstep/decoder"
	"almondstep/parser"
	"almondstep/storer"
)

// platformFlag is the flag with the platform's address.
type platformFlag struct {
	Platform almondstep.Address `arg:"--platform" default:"127.0.0.1:7100" placeholder:"ADDR" help:"address of the platform's key-value service"`
}

// client returns a client of the platform.
func (p platformFlag) client() *storer.Client {
	return &storer.Client{Base: "http://" + string(p.Platform)}
}

// envelope reads the envelope of the configuration in force.
func (p platformFlag) envelope(ctx context.Context) (*applier.Envelope, error) {
	c := p.client()
	defer c.Close()
	e, err := (&applier.Applier{Platform: c}).Read(ctx)
	if err != nil {
		return nil, errors.Wrapf(err, "can't read the configuration from the platform at %s", p.Platform)
	}
	return e, nil
}

// readConfig reads a file, or standard input if it is "-".
func readConfig(env *Env, file string) ([]byte, error) {
	var body []byte
	var err error
	if file == "-" {
		body, err = io.ReadAll(io.LimitReader(env.Stdin, decoder.MaxBytes+1))
	} else {
		body, err = os.ReadFile(file)
	}
	if errors.Is(err, os.ErrNotExist) {
		return nil, errors.Wrapf(almondstep.ErrNotFound, "file %s", file)
	}
	return body, errors.Wrapf(err, "file %s", file)
}

// readCatalog reads a configuration file and parses it into a catalog.
func readCatalog(env *Env, file string) (*almondstep.Catalog, error) {
	body, err := readConfig(env, file)
	if err != nil {
		return nil, err
	}
	return parser.ParseFile(file, body)
}

// writeJSON prints a value as indented JSON.
func writeJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false)
	return e.Encode(v)
}

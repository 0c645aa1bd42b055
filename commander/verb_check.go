package commander

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"almondstep"
	"almondstep/decoder"
	"almondstep/parser"
)

const checkName = "check"

// checkVerb checks a configuration without the platform.
type checkVerb struct {
	File string `arg:"positional,required" help:"the configuration file; - reads standard input"`
	JSON bool   `arg:"--json" help:"print the result as JSON"`
}

func newCheck() verb { return &checkVerb{} }

// checkResult is the result as JSON.
type checkResult struct {
	Sound    bool             `json:"sound"`
	Hash     almondstep.Hash  `json:"hash"`
	Problems []problemMessage `json:"problems"`
}

type problemMessage struct {
	Line   int    `json:"line"`
	Column int    `json:"column"`
	Reason string `json:"reason"`
	Remedy string `json:"remedy"`
}

func (v *checkVerb) run(_ context.Context, env *Env) error {
	body, err := readConfig(env, v.File)
	if err != nil {
		return err
	}
	catalog, err := parser.ParseFile(v.File, body)
	if v.JSON {
		return v.writeJSON(env, body, err)
	}
	if err != nil {
		printf(env.Stdout, "%v\n", err)
		return reported(err)
	}
	text := catalog.Config()
	_, err = fmt.Fprintf(env.Stdout, "%s is sound: %d services, %d schemes, %d zones, %d classes, %d tenants; hash %s\n",
		v.File, len(text.Services), len(text.Schemes), len(text.Zones), len(text.Classes), len(text.Tenants),
		almondstep.HashOf(body))
	return err
}

func (v *checkVerb) writeJSON(env *Env, body []byte, err error) error {
	result := checkResult{Sound: err == nil, Hash: almondstep.HashOf(body), Problems: []problemMessage{}}
	var invalid *decoder.InvalidError
	if errors.As(err, &invalid) {
		for _, p := range invalid.Problems() {
			result.Problems = append(result.Problems,
				problemMessage{Line: p.Line(), Column: p.Column(), Reason: p.Reason(), Remedy: p.Remedy()})
		}
	}
	if failed := writeJSON(env.Stdout, result); failed != nil {
		return failed
	}
	if err != nil {
		return reported(err)
	}
	return nil
}

// Package examples contains the configurations and scenarios that ship with
// almondstep, so that the demo and the tests use the files of the documentation.
package examples

import _ "embed"

// Roastery is the roasting service's configuration of services and dependencies.
//
//go:embed roastery.jsonc
var Roastery []byte

// Trials is the configuration of the standing-desk trials.
//
//go:embed trials.jsonc
var Trials []byte

// Package examples has the operators' texts and scenarios that ship with
// almondstep, so that the demo and the tests run what the documentation shows.
package examples

import _ "embed"

// Roastery is the roasting service's text of services and dependencies.
//
//go:embed roastery.jsonc
var Roastery []byte

// Trials is the text of the standing-desk trials.
//
//go:embed trials.jsonc
var Trials []byte

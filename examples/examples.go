// Package examples embeds the example configurations, so that the demo and the tests
// use the same files as the documentation. README.md lists the other examples.
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

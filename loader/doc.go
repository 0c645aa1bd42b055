// Package loader loads a daemon's settings from a file of JSON with comments.
//
// Each setting is one row of a table with its key, unit, range, default and
// help. The same table is used to check a file, to print the commented default
// file and to generate the list in docs/CONFIGURATION.md, so the three can't
// disagree. A key that is left out has its default; an unknown key is rejected,
// since otherwise a misspelt key would silently leave the default in force.
//
//	{
//	  "zone": "curico-plant",
//	  "platformAddress": "127.0.0.1:7100",
//	  "stopTimeout": "30",
//	}
//
// is rejected with
//
//	daemon.jsonc:4:18: stopTimeout "30" is no duration: write a duration from 100ms to 10m0s with its unit, like "40ms"
package loader

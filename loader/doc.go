// Package loader reads a daemon's settings: one file of JSON with comments.
//
// Each setting is one row of a table that has its key, unit, range, default and
// help. The same table checks a file, prints the commented default file, and
// is what docs/CONFIGURATION.md lists, so the three can't disagree. A key that
// is left out has its default; an unknown one is refused, since a misspelt key
// would otherwise leave a default in force unnoticed.
//
//	{
//	  "zone": "curico-plant",
//	  "platformAddress": "127.0.0.1:7100",
//	  "stopTimeout": "30",
//	}
//
// is refused with
//
//	daemon.jsonc:4:18: stopTimeout "30" is no duration: write a duration from 100ms to 10m0s with its unit, like "40ms"
package loader

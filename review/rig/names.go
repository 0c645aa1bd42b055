package main

import (
	_ "embed"
	"encoding/json"
)

// namesText holds the names of the platform's protocol, which no Go file outside
// platform/ may contain.
//
//go:embed names.json
var namesText []byte

// names are the names of header fields, keys and calls.
type names struct {
	SettingsVariable string
	RequestID        string
	Deadline         string
	Expect           string
	Instance         string
	Stamp            string
	NotRun           string
	Load             string
	Leaving          string
	Parts            string
	Missing          string
	RetryAfter       string
	Config           string
	Servers          string
	KeyPath          string
	RangePath        string
	WatchPath        string
	TxnPath          string
	LeasePath        string
	KeepPath         string
	EndPath          string
	Expectations     string
	Removed          string
}

func loadNames() (*names, error) {
	n := &names{}
	return n, json.Unmarshal(namesText, n)
}

//go:build review2

package main

import (
	"embed"
	"encoding/json"
	"strings"
	"text/template"
)

//go:embed names.json
var namesText []byte

//go:embed texts
var texts embed.FS

// wireNames are the platform's names for the header fields, keys and paths that the stand-ins
// use.
type wireNames struct {
	SettingsVariable string `json:"settingsVariable"`
	ConfigKey        string `json:"configKey"`
	EvacuatePrefix   string `json:"evacuatePrefix"`
	ServerPrefix     string `json:"serverPrefix"`
	RequestID        string `json:"requestID"`
	TimeLimit        string `json:"timeLimit"`
	ExpectedServer   string `json:"expectedServer"`
	AnsweringServer  string `json:"answeringServer"`
	Stamp            string `json:"stamp"`
	NotRun           string `json:"notRun"`
	Load             string `json:"load"`
	ColdFor          string `json:"coldFor"`
	Limit            string `json:"limit"`
	RetryAfter       string `json:"retryAfter"`
	ReadyPath        string `json:"readyPath"`
	HealthPath       string `json:"healthPath"`
}

// loadNames reads the names from the data file.
func loadNames() *wireNames {
	n := &wireNames{}
	if err := json.Unmarshal(namesText, n); err != nil {
		panic(err)
	}
	return n
}

// render fills in one of the templates in texts.
func render(file string, data any) []byte {
	t := template.Must(template.ParseFS(texts, "texts/"+file))
	var b strings.Builder
	if err := t.Execute(&b, data); err != nil {
		panic(err)
	}
	return []byte(b.String())
}

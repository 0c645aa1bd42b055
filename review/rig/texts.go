package main

import (
	"bytes"
	"embed"
	"text/template"
)

// texts has the settings of a daemon, a configuration and a server's entry.
//
//go:embed texts
var texts embed.FS

// fill returns a text with the values in its places.
func fill(name string, values map[string]any) []byte {
	var b bytes.Buffer
	t := template.Must(template.ParseFS(texts, "texts/"+name))
	if err := t.Execute(&b, values); err != nil {
		panic(err)
	}
	return b.Bytes()
}

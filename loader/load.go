package loader

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"almondstep/decoder"
)

// Load reads and checks a settings file. The error lists all problems at once
// with file, line and column; it is an almondstep.ErrInvalid.
func Load(file string) (*Settings, error) {
	body, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "can't read the settings")
	}
	return Parse(file, body)
}

// Parse parses and checks the text of a settings file.
func Parse(file string, body []byte) (*Settings, error) {
	doc, err := decoder.Parse(body)
	if err != nil {
		return nil, decoder.WithFile(err, file)
	}
	s := Defaults()
	given := assign(s, doc.Root())
	checkCombinations(s, doc.Root(), given)
	if err := doc.Err(file); err != nil {
		return nil, err
	}
	return s, nil
}

// Defaults returns the default settings; the required ones are empty.
func Defaults() *Settings {
	s := &Settings{}
	for _, r := range Table() {
		if r.required {
			continue
		}
		doc, err := decoder.Parse([]byte(r.defaultJSON))
		if err != nil {
			panic(fmt.Sprintf("loader: default of %s: %v", r.key, err))
		}
		r.set(s, doc.Root())
	}
	return s
}

// assign sets the settings that the file has and returns their nodes by key.
func assign(s *Settings, root decoder.Node) map[string]decoder.Node {
	given := make(map[string]decoder.Node)
	if root.Kind() != decoder.KindObject {
		root.AddKindProblem("", "an object")
		return given
	}
	rows := make(map[string]Row)
	for _, r := range Table() {
		rows[r.key] = r
	}
	for _, m := range root.Members() {
		row, known := rows[m.Name()]
		_, twice := given[m.Name()]
		switch {
		case !known:
			m.Key().AddProblem(fmt.Sprintf("unknown key %q", m.Name()),
				"remove it or correct it; --print-settings lists all keys")
		case twice:
			m.Key().AddProblem(fmt.Sprintf("key %q is given twice", m.Name()), "remove one of the two")
		default:
			row.set(s, m.Value())
		}
		given[m.Name()] = m.Value()
	}
	for _, r := range Table() {
		if _, ok := given[r.key]; r.required && !ok {
			root.AddProblem(r.key+" is missing", "add it, like \""+r.key+"\": "+r.defaultJSON)
		}
	}
	return given
}

// checkCombinations checks settings that depend on each other.
func checkCombinations(s *Settings, root decoder.Node, given map[string]decoder.Node) {
	at := func(key string) decoder.Node {
		if n, ok := given[key]; ok {
			return n
		}
		return root
	}
	if (s.CertFile == "") != (s.KeyFile == "") {
		at("certFile").AddProblem("certFile and keyFile belong together", "give both or neither")
	}
	tls := map[string]bool{"tlsCallers": s.TLSCallers, "tlsOperators": s.TLSOperators, "tlsPeers": s.TLSPeers}
	for _, r := range securityRows() {
		if tls[r.key] && s.CertFile == "" {
			at(r.key).AddProblem(r.key+" needs a certificate", "give certFile and keyFile, or set it to false")
		}
	}
	if s.TLSPeers && s.CAFile == "" {
		at("tlsPeers").AddProblem("tlsPeers needs caFile", "give the authority that signs the daemons' certificates")
	}
}

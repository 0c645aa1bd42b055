package exchanger

import (
	"maps"
	"net/http"
	"slices"
	"strconv"

	"almondstep"
)

// encodeRequest returns a call's request message in HTTP/1.1. The codec's fields replace
// the request's fields of the same names.
func encodeRequest(c *almondstep.SendCall, codecFields almondstep.Header) []byte {
	m := c.Request
	b := make([]byte, 0, 512+len(m.Body))
	b = append(b, m.Method...)
	b = append(b, ' ')
	b = append(b, m.Target...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = appendField(b, "Host", m.Host)
	for _, f := range m.Header {
		if !codecFields.Has(f.Name) {
			b = appendField(b, f.Name, f.Value)
		}
	}
	for _, f := range codecFields {
		b = appendField(b, f.Name, f.Value)
	}
	if len(m.Body) > 0 || hasBody(m.Method) {
		b = appendField(b, "Content-Length", strconv.Itoa(len(m.Body)))
	}
	b = append(b, "\r\n"...)
	return append(b, m.Body...)
}

// hasBody reports whether requests with the method usually have a body. For these,
// Content-Length is sent even if the body is empty.
func hasBody(method string) bool {
	switch method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		return true
	default:
		return false
	}
}

func appendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// headerOf returns the fields of a header, sorted by name.
func headerOf(h http.Header) almondstep.Header {
	var list almondstep.Header
	for _, name := range slices.Sorted(maps.Keys(h)) {
		for _, value := range h[name] {
			list = append(list, almondstep.HeaderField{Name: name, Value: value})
		}
	}
	return list
}

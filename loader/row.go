package loader

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"almondstep"
	"almondstep/decoder"
)

// Row is one setting of the table.
type Row struct {
	key         string
	unit        string
	defaultJSON string
	help        string
	required    bool
	min         int64
	max         int64
	choices     []string
	field       func(*Settings) any
}

// Key is the setting's name in the file.
func (r Row) Key() string { return r.key }

// Unit is the unit of the value, or its format.
func (r Row) Unit() string { return r.unit }

// Default is the value of a setting that is left out, as JSON. For a required
// one it is an example.
func (r Row) Default() string { return r.defaultJSON }

// Help says what the setting is for.
func (r Row) Help() string { return r.help }

// Required reports whether the setting has no default.
func (r Row) Required() bool { return r.required }

// Range describes the allowed values.
func (r Row) Range() string {
	switch {
	case len(r.choices) > 0:
		return strings.Join(r.choices, ", ")
	case r.unit == unitDuration, r.unit == unitDurations:
		return fmt.Sprintf("%s to %s", time.Duration(r.min), time.Duration(r.max))
	case r.max != 0:
		return fmt.Sprintf("%d to %d", r.min, r.max)
	default:
		return "any"
	}
}

// set sets the field from the file's value. It adds a problem at the value's position
// if it is invalid.
func (r Row) set(s *Settings, n decoder.Node) {
	switch field := r.field(s).(type) {
	case *string:
		r.setText(n, func(text string) { *field = text })
	case *almondstep.ZoneName:
		r.setText(n, func(text string) { *field = almondstep.ZoneName(text) })
	case *almondstep.Address:
		r.setText(n, func(text string) { *field = almondstep.Address(text) })
	case *time.Duration:
		*field = r.duration(r.key, n)
	case *int:
		*field = r.number(n)
	case *bool:
		value, ok := n.Bool()
		if !ok {
			n.AddKindProblem(r.key, "true or false")
		}
		*field = value
	case *map[almondstep.ZoneName]time.Duration:
		*field = r.durations(n)
	}
}

func (r Row) setText(n decoder.Node, set func(string)) {
	text, ok := n.Text()
	if !ok {
		n.AddKindProblem(r.key, "a string")
		return
	}
	if reason, remedy := r.textProblem(text); reason != "" {
		n.AddProblem(fmt.Sprintf("%s %q %s", r.key, text, reason), remedy)
		return
	}
	set(text)
}

// textProblem says why a text is invalid and how to correct it; both are empty if it
// is valid.
func (r Row) textProblem(text string) (reason, remedy string) {
	switch {
	case text == "" && r.required:
		return "is empty", "give a value; it has no default"
	case text == "":
		return "", ""
	case len(r.choices) > 0 && !slices.Contains(r.choices, text):
		return "doesn't exist", "choose one of: " + strings.Join(r.choices, ", ")
	case r.unit == unitAddress && invalidAddress(text):
		return "is no address", "write an IP number and a port, like \"127.0.0.1:7101\""
	case r.unit == unitName && invalidName(text):
		return "is no name", "use 1 to 64 letters, digits and any of - _ ."
	}
	return "", ""
}

func invalidAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err != nil
}

func invalidName(text string) bool {
	return len(text) > maxNameBytes || strings.ContainsFunc(text, func(c rune) bool {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		digit := c >= '0' && c <= '9'
		return !letter && !digit && !strings.ContainsRune("-_.", c)
	})
}

func (r Row) number(n decoder.Node) int {
	value, ok := n.Int()
	if !ok {
		n.AddKindProblem(r.key, "a whole number")
		return 0
	}
	if value < r.min || value > r.max {
		n.AddProblem(fmt.Sprintf("%s is %d", r.key, value),
			fmt.Sprintf("give a whole number from %d to %d (%s)", r.min, r.max, r.unit))
	}
	return int(value)
}

func (r Row) duration(path string, n decoder.Node) time.Duration {
	text, ok := n.Text()
	if !ok {
		n.AddKindProblem(path, "a duration like \"40ms\"")
		return 0
	}
	lower, upper := time.Duration(r.min), time.Duration(r.max)
	remedy := fmt.Sprintf("write a duration from %s to %s with its unit, like \"40ms\"", lower, upper)
	d, err := time.ParseDuration(text)
	if err != nil {
		n.AddProblem(fmt.Sprintf("%s %q is no duration", path, text), remedy)
		return 0
	}
	if d < lower || d > upper {
		n.AddProblem(fmt.Sprintf("%s is %s", path, d), remedy)
	}
	return d
}

func (r Row) durations(n decoder.Node) map[almondstep.ZoneName]time.Duration {
	if n.Kind() != decoder.KindObject {
		n.AddKindProblem(r.key, "an object")
		return nil
	}
	members := n.Members()
	byZone := make(map[almondstep.ZoneName]time.Duration, len(members))
	for _, m := range members {
		zone := almondstep.ZoneName(m.Name())
		if _, twice := byZone[zone]; twice {
			m.Key().AddProblem(fmt.Sprintf("key %q is given twice", zone), "remove one of the two")
		}
		if zone == "" || invalidName(m.Name()) {
			m.Key().AddProblem(fmt.Sprintf("%q is no zone name", zone), "use 1 to 64 letters, digits and any of - _ .")
		}
		byZone[zone] = r.duration(r.key+"/"+m.Name(), m.Value())
	}
	return byZone
}

package recorder_test

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"almondstep"
	"almondstep/recorder"
)

var update = flag.Bool("update", false, "regenerate docs/METRICS.md")

const metricsPage = "../docs/METRICS.md"

func viewWithTenants(t *testing.T, tenants ...almondstep.TenantName) *almondstep.View {
	t.Helper()
	config := almondstep.CatalogConfig{Classes: []almondstep.ClassConfig{{Name: "urgent", HardDeadline: "1s"}}}
	for _, n := range tenants {
		config.Tenants = append(config.Tenants, almondstep.TenantConfig{Name: n})
	}
	c, err := almondstep.NewCatalog(config)
	if err != nil {
		t.Fatal(err)
	}
	return almondstep.NewView(almondstep.ViewSpec{Catalog: c, Revision: 12})
}

func prometheusText(r *recorder.Recorder) string {
	var b bytes.Buffer
	r.WritePrometheus(&b)
	return b.String()
}

func partial() *almondstep.Answer {
	return &almondstep.Answer{
		Outcome: almondstep.OutcomePartial, Code: almondstep.CodeMissingShards,
		Coverage: almondstep.Coverage{Included: 9, Wanted: 10},
		Took:     20 * time.Millisecond, Attempts: 11, Needed: 10,
	}
}

// recordAll returns a Recorder in which every metric has a value.
func recordAll(t *testing.T) *recorder.Recorder {
	r := recorder.New()
	r.ViewPublished(viewWithTenants(t, "toasters"))
	r.Answered("toasters", "urgent", partial())
	r.Attempted("intake-desk", almondstep.CallShed, time.Millisecond)
	r.ControlSent("probe", 300)
	r.RegisterDroppedLines(func() uint64 { return 3 })
	r.Replied("lots", &almondstep.Reply{Outcome: almondstep.OutcomePartial, Trace: almondstep.RequestTrace{
		Organisation: "mills", Shards: 20, Included: 19, Calls: 21, Hedges: 1, Denied: 1, Took: time.Millisecond,
	}})
	r.Replied("lots", &almondstep.Reply{Outcome: almondstep.OutcomeNotRun, Code: almondstep.CodeOverload, Trace: almondstep.RequestTrace{
		Priority: 2, Short: "service", Waited: time.Millisecond, Withheld: 1,
	}})
	r.PlatformCalled("config", almondstep.ErrUnavailable)
	return r
}

func TestCounts(t *testing.T) {
	got := prometheusText(recordAll(t))
	for _, want := range []string{
		`almondstep_answers_total{tenant="toasters",class="urgent",outcome="partial"} 1`,
		`almondstep_answer_codes_total{code="missingShards"} 1`,
		`almondstep_attempts_total{tenant="toasters",class="urgent"} 11`,
		`almondstep_attempts_extra_total{tenant="toasters",class="urgent"} 1`,
		`almondstep_upstream_calls_total{service="intake-desk",result="shed"} 1`,
		`almondstep_control_sent_bytes_total{kind="probe"} 300`,
		`almondstep_platform_calls_total{kind="config",result="unavailable"} 1`,
		`almondstep_requests_total{route="lots",outcome="partial",code=""} 1`,
		`almondstep_request_extra_calls_total{route="lots",use="hedge"} 1`,
		`almondstep_revision 12`,
	} {
		if !strings.Contains(got, want+"\n") {
			t.Errorf("got no line %q in:\n%s", want, got)
		}
	}
}

// The number of label values is bounded, whatever names callers and configurations
// use.
func TestLabelsAreBounded(t *testing.T) {
	r := recorder.New()
	var tenants []almondstep.TenantName
	for i := range 3000 {
		tenants = append(tenants, almondstep.TenantName(fmt.Sprint("tenant", i)))
	}
	r.ViewPublished(viewWithTenants(t, tenants...))
	for _, n := range tenants {
		r.Answered(n, "urgent", partial())
		r.Answered("stranger"+n, "urgent", partial())
		r.Attempted(almondstep.ServiceName(n), almondstep.CallDone, 0)
		r.ControlSent(string(n), 1)
	}
	got := strings.Count(prometheusText(r), "\n")
	const maxLines = 64 * 16 * 12
	if got > maxLines {
		t.Errorf("got %d lines, want at most %d", got, maxLines)
	}
	if strings.Contains(prometheusText(r), "stranger") {
		t.Error("got a tenant that is not in the configuration, want it counted as other")
	}
}

// The table lists exactly the metrics that are written.
func TestTableIsComplete(t *testing.T) {
	var want []string
	for _, m := range recorder.Metrics() {
		want = append(want, m.Name)
	}
	got := names(prometheusText(recordAll(t)))
	slices.Sort(want)
	if !slices.Equal(got, want) {
		t.Errorf("got metrics\n%v, want\n%v", got, want)
	}
}

// names lists the metrics in a Prometheus text, without a histogram's suffixes.
func names(text string) []string {
	seen := map[string]bool{}
	for line := range strings.Lines(text) {
		name := line[:strings.IndexAny(line, "{ ")]
		for _, suffix := range []string{"_bucket", "_sum", "_count"} {
			name = strings.TrimSuffix(name, suffix)
		}
		seen[name] = true
	}
	var all []string
	for name := range seen {
		all = append(all, name)
	}
	slices.Sort(all)
	return all
}

func TestMetricsPageIsCurrent(t *testing.T) {
	var b bytes.Buffer
	b.WriteString("# Metrics\n\nMade from the table in package recorder by `go test ./recorder -update`.\n")
	b.WriteString("A label value over its limit, or a name that no text has, is `other`.\n\n")
	b.WriteString("| Metric | Kind | Unit | Labels | What it is | What to do |\n|---|---|---|---|---|---|\n")
	for _, m := range recorder.Metrics() {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s |\n", m.Name, m.Kind, m.Unit, m.Labels, m.Help, m.Action)
	}
	if *update {
		if err := os.WriteFile(metricsPage, b.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(metricsPage)
	if err != nil {
		t.Fatal(err)
	}
	if got := b.String(); got != string(want) {
		t.Errorf("%s is out of date; run go test ./recorder -update", metricsPage)
	}
}

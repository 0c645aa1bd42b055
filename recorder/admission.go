package recorder

import (
	"strconv"

	"github.com/VictoriaMetrics/metrics"

	"almondstep"
)

// maxClassLabel is the lowest priority that has a label of its own.
const maxClassLabel = 9

// admissionKey has the labels of the metrics of admission.
type admissionKey struct {
	class string
	short string
}

type admissionMetrics struct {
	waited  *metrics.Histogram
	refused *metrics.Counter
}

// recordAdmission records how long a routed request waited for capacity, and whether it was
// refused for the lack of it.
func (r *Recorder) recordAdmission(reply *almondstep.Reply) {
	t := reply.Trace
	if t.Short == "" {
		return
	}
	k := admissionKey{class: otherLabel, short: otherLabel}
	if t.Priority >= 0 && t.Priority <= maxClassLabel {
		k.class = strconv.Itoa(t.Priority)
	}
	if t.Short == "service" || t.Short == "processor" {
		k.short = t.Short
	}
	m := r.admissions.get(k, r.newAdmission)
	m.waited.Update(t.Waited.Seconds())
	if reply.Code == almondstep.CodeOverload {
		m.refused.Inc()
	}
}

func (r *Recorder) newAdmission(k admissionKey) *admissionMetrics {
	label := []string{"class", k.class, "short", k.short}
	return &admissionMetrics{
		waited:  r.set.GetOrCreateHistogram(labeled(admissionWait, label...)),
		refused: r.set.GetOrCreateCounter(labeled(admissionRefused, label...)),
	}
}

package forwarder

import "almondstep"

// takeQuota asks for the quota of the request's organisation, if its rate is limited, and
// then continues with admission.
func (f *Forwarder) takeQuota(now almondstep.Instant, r *request, out []almondstep.Effect) []almondstep.Effect {
	return f.admit(now, r, out)
}

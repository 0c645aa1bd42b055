package forwarder

import "almondstep"

// admit decides whether the request runs now, waits, or is refused for lack of capacity.
func (f *Forwarder) admit(now almondstep.Instant, r *request, out []almondstep.Effect) []almondstep.Effect {
	return f.dispatch(now, r, out)
}

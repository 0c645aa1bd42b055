package forwarder

import (
	"strconv"

	"almondstep"
)

// observeLimit records the limit that an upstream states in a response, and logs when it
// begins or ceases to state one.
func (f *Forwarder) observeLimit(u *almondstep.Upstream, e *almondstep.CallEnded, out []almondstep.Effect) []almondstep.Effect {
	if e.Response == nil {
		return out
	}
	_, stated := f.limits[u.ID]
	if e.Limit == nil {
		if !stated {
			return out
		}
		delete(f.limits, u.ID)
		return append(out, limitReport("upstream states no limit any more", u, ""))
	}
	f.limits[u.ID] = *e.Limit
	if stated {
		return out
	}
	return append(out, limitReport("upstream states a limit", u, strconv.FormatFloat(*e.Limit, 'g', -1, 64)+" requests a second"))
}

func limitReport(message string, u *almondstep.Upstream, cause string) *almondstep.Report {
	return &almondstep.Report{Level: almondstep.ReportInfo, Message: message, Subject: string(u.ID), Cause: cause}
}

package forwarder

import (
	"time"

	"almondstep"
)

// observePause logs that an upstream asks for a pause, or states an odd time.
func observePause(r *request, u *almondstep.Upstream, e *almondstep.CallEnded, out []almondstep.Effect) []almondstep.Effect {
	if e.RetryAfter == 0 && e.OddRetryAfter == "" {
		return out
	}
	cause := "for " + e.RetryAfter.Round(time.Millisecond).String() + ", in an answer to request " + r.message.Key
	if e.OddRetryAfter != "" {
		cause += "; it states " + e.OddRetryAfter
	}
	return append(out, &almondstep.Report{Level: almondstep.ReportInfo, Message: "upstream asks for a pause", Subject: string(u.ID), Cause: cause})
}

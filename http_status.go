package almondstep

// The lowest and the highest status of a final HTTP response.
const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

// IsFinalStatus reports whether an HTTP status is that of a final response. net/http accepts
// any three digits: a server in trouble may send 000, which says nothing about the request.
func IsFinalStatus(status int) bool { return status >= minFinalStatus && status <= maxFinalStatus }

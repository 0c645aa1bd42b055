package budgeter

// Exposure limits the calls that one daemon sends to a version in rollout. Two limits hold at
// every moment until the stage reaches all requests: the bound over the whole rollout, and the
// share of the present stage.
//
// Each daemon counts its own requests only. The sum over all daemons of Bound x requests + slack
// is the bound over the fleet, so that it holds without a message.
type Exposure struct {
	// Bound is the share of all requests since the order that may go to the version.
	Bound float64
	// Phase, from 0 to below 1, is the part of a call that is allowed in advance in each stage.
	// If it is spread evenly over the daemons, these together reach the stage's share, although
	// each may have too few requests for a whole call.
	Phase float64

	stageShare                  float64
	requests, exposed           uint64
	stageRequests, stageExposed uint64
}

// SetShare begins a stage with the share of the requests that may go to the version.
func (x *Exposure) SetShare(share float64) {
	x.stageShare, x.stageRequests, x.stageExposed = share, 0, 0
}

// Share returns the share of the present stage.
func (x *Exposure) Share() float64 { return x.stageShare }

// CountRequest counts a request of the service.
func (x *Exposure) CountRequest() {
	x.requests++
	x.stageRequests++
}

// Allows reports whether one more call may go to the version. slack is the number of calls
// beyond Bound that this daemon may send in the whole rollout.
func (x *Exposure) Allows(slack float64) bool {
	if x.stageShare <= 0 || x.stageShare >= 1 {
		return x.stageShare >= 1
	}
	return float64(x.exposed+1) <= x.Bound*float64(x.requests)+slack &&
		float64(x.stageExposed+1) <= x.stageShare*float64(x.stageRequests)+x.Phase
}

// Take counts a call to the version.
func (x *Exposure) Take() {
	x.exposed++
	x.stageExposed++
}

// Refund takes back a call that didn't reach an upstream.
func (x *Exposure) Refund() {
	x.exposed -= min(x.exposed, 1)
	x.stageExposed -= min(x.stageExposed, 1)
}

// Requests returns the number of requests since the order.
func (x *Exposure) Requests() uint64 { return x.requests }

// Exposed returns the number of calls to the version.
func (x *Exposure) Exposed() uint64 { return x.exposed }

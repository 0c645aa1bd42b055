package watcher_test

import (
	"testing"
	"time"

	"almondstep"
)

// Guards against late requests of a graceful stop that are cut without an answer: a busy
// control thread takes up the stop late, and the time that is left began anew.
func TestStopIsCountedFromItsRequest(t *testing.T) {
	f := newRegistryFeed(t)
	answerBy := f.now.Add(1300 * time.Millisecond)
	f.now = f.now.Add(400 * time.Millisecond)
	f.reduce(&almondstep.StopRequested{AnswerBy: answerBy})
	if got, want := f.view.AnswerBy(), answerBy; got != want {
		t.Errorf("got all requests answered by %v, want by %v", got, want)
	}
	if f.view.Ready() {
		t.Error("the daemon is still ready")
	}
}

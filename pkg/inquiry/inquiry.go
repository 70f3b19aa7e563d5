// Package inquiry determines the state of an attempt whose response does not arrive. It asks the owner, the node on the
// endpoint's host, over another connection, since the one that carries the attempt may no longer deliver data.
package inquiry

import (
	"context"
	"errors"
	"time"

	"agatepulley.example/agatepulley/pkg/attempts"
	"agatepulley.example/agatepulley/pkg/transport"
)

// Causes with which an exchange is aborted.
var (
	// ErrNotRun means that the owner reports the attempt as not run.
	ErrNotRun = errors.New("the owner has not run the request and will not run it")
	// ErrAnswerLost means that the owner has answered, but the answer has not arrived.
	ErrAnswerLost = errors.New("the owner has answered, but its answer did not arrive on the connection")
)

// answerGrace is the time for which an answer may be outstanding after the owner has reported the attempt as answered.
const answerGrace = 100 * time.Millisecond

// Ask asks the owner for the state of the attempt. It returns false if the owner could not be asked.
type Ask func(ctx context.Context) (attempts.State, bool)

// Inquiry asks the owner repeatedly, at increasing intervals, until it is stopped.
type Inquiry struct {
	done chan struct{}
}

// Start starts an inquiry whose first question is asked after the delay. If ask is nil, nothing is asked.
func Start(ctx context.Context, delay time.Duration, pending *transport.Pending, ask Ask) *Inquiry {
	q := &Inquiry{done: make(chan struct{})}
	if ask != nil {
		time.AfterFunc(delay, func() { q.run(ctx, delay, pending, ask) })
	}
	return q
}

// Stop ends the inquiry.
func (q *Inquiry) Stop() {
	close(q.done)
}

// run asks the owner until the state of the attempt requires that the exchange is aborted, until data arrives on the
// exchange's connection, or until the inquiry is stopped.
func (q *Inquiry) run(ctx context.Context, delay time.Duration, pending *transport.Pending, ask Ask) {
	answered := false
	for !q.stopped() {
		received := pending.BytesReceived()
		state, known := ask(ctx)
		wait := delay
		switch {
		case known && state == attempts.NotRun:
			pending.Abort(ErrNotRun)
			return
		case known && state == attempts.Answered && answered:
			pending.Abort(ErrAnswerLost)
			return
		case known && state == attempts.Answered:
			answered = true
			wait = answerGrace
		default:
			delay *= 2
		}
		if !q.sleep(wait) || pending.BytesReceived() != received {
			return
		}
	}
}

func (q *Inquiry) stopped() bool {
	select {
	case <-q.done:
		return true
	default:
		return false
	}
}

// sleep waits for a duration. It returns false if the inquiry is stopped before.
func (q *Inquiry) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-q.done:
		return false
	case <-timer.C:
		return true
	}
}

// Package inquiry finds out what became of an attempt whose answer does not arrive. It asks the owner over another
// connection, since the one that carries the attempt may have gone silent.
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
	ErrNotRun     = errors.New("the owner has not run the request and will not run it")
	ErrAnswerLost = errors.New("the answer was lost on a silent connection")
)

// answerGrace is the time that an answer may need from the owner to the ingress after the owner has reported it.
const answerGrace = 100 * time.Millisecond

// Ask returns what the owner knows about the attempt. It returns false if the owner could not be asked.
type Ask func(ctx context.Context) (attempts.State, bool)

// Inquiry asks again and again at growing distances until it is stopped.
type Inquiry struct {
	done chan struct{}
}

// Start begins to ask after a delay. A nil ask never does.
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

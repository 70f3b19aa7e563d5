package owner

import (
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"agatepulley.example/agatepulley/core/announce"
	"agatepulley.example/agatepulley/core/outcome"
	"agatepulley.example/agatepulley/pkg/decision"
	"agatepulley.example/agatepulley/pkg/hop"
)

const (
	stepAnnouncement = "announcement"
	// firstRun is the start time of the run of a backend server that this process found. It is not known.
	firstRun = 1
	// A backend server counts as leaving until it has been down, but no longer than leavingLifetime after its latest response, or
	// toldLifetime if only other nodes say so: it may have been restarted without being seen down. The next response tells.
	leavingLifetime = time.Minute
	toldLifetime    = 10 * time.Second
)

// announcements holds what a backend server has announced in its responses.
type announcements struct {
	id   string
	book *announce.Book
	// run is the start time of the backend server as seen by this process, in milliseconds since the Unix epoch, or firstRun.
	run int64
	// observed is set once the backend server has responded to this process or was seen down, and changedAt is when it last
	// responded or another node told something new.
	observed  bool
	changedAt time.Duration
}

func newAnnouncements(id string) *announcements {
	return &announcements{id: id, book: announce.NewBook(), run: firstRun}
}

// observe records a response to a request that was sent at sentAt. It returns what has changed, or false.
func (a *announcements) observe(header *protocol.ResponseHeader, sentAt, now time.Duration) (announce.Change, bool) {
	a.observed, a.changedAt = true, now
	return a.book.Observe(a.id, announce.Received{
		Response:    announce.ReadResponse(header.GetAll(outcome.HeaderLimit), header.GetAll(outcome.HeaderLeaving)),
		StartedAtMS: a.run, SentAt: sentAt, ReceivedAt: now, ReceivedMS: time.Now().UnixMilli(),
	})
}

// learn records what another node remembers of the time before this process was started.
func (a *announcements) learn(told announce.State, now time.Duration) {
	if a.observed {
		return
	}
	if _, changed := a.book.Learn(a.id, told, now); changed {
		a.changedAt = now
	}
}

// restarted forgets what was announced: the backend server is down, and the next one has announced nothing.
func (a *announcements) restarted(now time.Duration) {
	a.book, a.run, a.observed, a.changedAt = announce.NewBook(), time.Now().UnixMilli(), true, now
}

// state returns what the backend server has announced.
func (a *announcements) state(now time.Duration) announce.State {
	lifetime := leavingLifetime
	if !a.observed {
		lifetime = toldLifetime
	}
	s := a.book.State(a.id, a.run)
	if s.Leaving && now-a.changedAt > lifetime {
		a.restarted(now)
		return announce.State{}
	}
	return s
}

// announced returns what the backend server has announced and applies its limit to the queue. The caller holds the lock.
func (e *endpoint) announced(now time.Duration) announce.State {
	s := e.announcements.state(now)
	if s.Limited {
		e.queue.SetLimit(now, s.Limit)
	} else {
		e.queue.Unlimit()
	}
	return s
}

// scheduleStart advances the queue when the limit lets the next request start, if it holds that up. The caller holds the lock.
func (e *endpoint) scheduleStart(now time.Duration) {
	if wait, held := e.queue.UntilStart(now); held {
		e.paced.Set(wait, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.advance(e.owner.now())
		})
	}
}

// leaves reports whether the backend server has announced that it is leaving.
func (e *endpoint) leaves() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.announced(e.owner.now()).Leaving
}

// observe records the announcements of a response to a request that was sent at sentAt, and tells the other nodes of a change.
func (e *endpoint) observe(r *Request, header *protocol.ResponseHeader, sentAt time.Duration) {
	e.mu.Lock()
	change, changed := e.announcements.observe(header, sentAt, e.owner.now())
	e.mu.Unlock()
	if !changed {
		return
	}
	e.owner.options.Decisions.Record(decision.Decision{
		RequestID: r.RequestID, Step: stepAnnouncement, Service: r.Service, Subject: e.id, Outcome: change.Outcome(), Reason: "response",
		Inputs: map[string]any{"limited": change.After.Limited, "limit": change.After.Limit, "version": change.After.Version},
	})
	e.owner.notify(e.id, e.load())
}

// stateChanged reacts to a change of the life cycle.
func (e *endpoint) stateChanged(state hop.State) {
	if state == hop.StateDown {
		e.mu.Lock()
		e.announcements.restarted(e.owner.now())
		e.mu.Unlock()
	}
	e.owner.notify(e.id, e.load())
}

// Package announcements holds what the endpoints of the fleet have announced in their responses, as far as this node knows.
// The dispatcher adds the responses of the endpoint on its host, and other nodes tell what theirs have announced.
package announcements

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"agatepulley.example/agatepulley/core/announce"
	"agatepulley.example/agatepulley/core/registry"
	"agatepulley.example/agatepulley/pkg/clock"
	"agatepulley.example/agatepulley/pkg/decision"
)

// stepAnnouncement is the step of decisions on announcements in the log.
const stepAnnouncement = "announcement"

// Sources of a change, which are the reasons in decision lines.
const (
	sourceResponse = "response"
	sourceNode     = "node"
)

// maxLoggedErrors is the number of endpoints whose unreadable announcements are logged.
const maxLoggedErrors = 256

// Options are the dependencies of a Service.
type Options struct {
	Clock     clock.Clock
	Decisions *decision.Recorder
	Logger    *slog.Logger
	// View returns the registered endpoints.
	View func() *registry.View
}

// Service holds the announcements. It is safe for concurrent use.
type Service struct {
	options Options
	// any is set once an endpoint has announced something. Until then State, which is called for each candidate of each choice,
	// takes no lock.
	any atomic.Bool

	mu   sync.Mutex
	book *announce.Book
	// logged holds the endpoints whose unreadable announcements have been logged.
	logged map[string]bool
}

// New returns a service that knows of no announcements.
func New(options Options) *Service {
	return &Service{options: options, book: announce.NewBook(), logged: make(map[string]bool)}
}

// Observe records a response of an endpoint on this host to a request that was sent at sentAt. It reports whether the
// other nodes should be told of a change at once. The value of a limit may change with each response; its changes go with the
// periodic reports.
func (s *Service) Observe(id string, response announce.Response, sentAt time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logUnreadable(id, response.Unreadable)
	change, changed := s.book.Observe(id, announce.Received{
		Response: response, StartedAtMS: s.startedAt(id), SentAt: sentAt, ReceivedAt: s.options.Clock.Now(),
		ReceivedMS: time.Now().UnixMilli(),
	})
	if changed {
		s.any.Store(true)
		s.record(id, change, sourceResponse)
	}
	return changed && (change.After.Limited != change.Before.Limited || change.After.Leaving != change.Before.Leaving)
}

// Learn records what another node knows of an endpoint.
func (s *Service) Learn(id string, told announce.State) {
	if told.Version == 0 {
		return
	}
	s.any.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	if change, changed := s.book.Learn(id, told, s.options.Clock.Now()); changed {
		s.record(id, change, sourceNode)
	}
}

// State returns what an endpoint has announced.
func (s *Service) State(id string) announce.State {
	if !s.any.Load() {
		return announce.State{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.State(id, s.startedAt(id))
}

// Leaving reports whether an endpoint has announced that it is leaving.
func (s *Service) Leaving(id string) bool {
	return s.State(id).Leaving
}

// Update records which endpoints are registered.
func (s *Service) Update(view *registry.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.Registered(s.options.Clock.Now(), func(id string) bool { return view.ByID[id] != nil })
}

// Counts returns the numbers of registered endpoints that have a limit in force and that are leaving.
func (s *Service) Counts() (limited, leaving int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := s.options.View()
	s.book.Each(func(id string, _ announce.State) {
		if view.ByID[id] == nil {
			return
		}
		state := s.book.State(id, s.startedAt(id))
		if state.Limited {
			limited++
		}
		if state.Leaving {
			leaving++
		}
	})
	return limited, leaving
}

// startedAt returns the start time of the registered incarnation of an endpoint, or 0 if it is not known.
func (s *Service) startedAt(id string) int64 {
	if e := s.options.View().ByID[id]; e != nil {
		return e.StartedAtMS
	}
	return 0
}

// record logs a change. The caller holds the lock.
func (s *Service) record(id string, c announce.Change, source string) {
	d := decision.Decision{
		Step: stepAnnouncement, Subject: id, Outcome: c.Outcome(), Reason: source,
		Inputs: map[string]any{"version": c.After.Version, "born": c.After.StartedAtMS},
	}
	if e := s.options.View().ByID[id]; e != nil {
		d.Service = e.Service
	}
	if c.Before.Limited {
		d.Inputs["before"] = c.Before.Limit
	}
	if c.After.Limited {
		d.Inputs["limit"] = c.After.Limit
	}
	s.options.Decisions.Record(d)
}

// logUnreadable logs the first unreadable announcement of an endpoint. The caller holds the lock.
func (s *Service) logUnreadable(id string, err error) {
	if err == nil || s.logged[id] || len(s.logged) >= maxLoggedErrors {
		return
	}
	s.logged[id] = true
	s.options.Logger.Warn("unreadable announcement in a response", "endpoint", id, "error", err)
}

package discovery

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"agatepulley.example/agatepulley/core/registry"
	"agatepulley.example/agatepulley/pkg/clock"
	"agatepulley.example/agatepulley/pkg/decision"
)

const (
	// watchWait is how long a watch waits. It bounds how long a watch on a dead connection goes unnoticed.
	watchWait = time.Second
	// catchUpWait is the least time that a watch can be asked to wait, for one that fetches what is there.
	catchUpWait = time.Millisecond
	// watchSlack is how much longer than asked a watch may take.
	watchSlack = 300 * time.Millisecond
	// endpointsInterval is the shortest time between two watches of the endpoints, whose heartbeats would otherwise end
	// each watch at once.
	endpointsInterval = 400 * time.Millisecond
	// firstBackoff and maxBackoff bound the wait after a failed call.
	firstBackoff = 60 * time.Millisecond
	maxBackoff   = 500 * time.Millisecond
	// takeoverAfter is the age of the latest contact of others with the store from which this node reads as well, and
	// takeoverStagger the further age for each rank.
	takeoverAfter   = 800 * time.Millisecond
	takeoverStagger = 200 * time.Millisecond
	// takeoverTerm is how long a node that has taken over reads on. The others repeat its own contact, so that it would stop
	// at once, and the next change would wait until that is old. Outages of the store for some nodes last seconds.
	takeoverTerm = 10 * time.Second
	// readingZones is the number of zones in which a node reads the store all the time. The store may turn some of the
	// readers away; with others left, changes keep coming without a takeover.
	readingZones = 3
	// firstStartSpread is the time over which the nodes read the store when the whole fleet starts, and firstStartDraws the
	// number of draws of which the latest is a node's turn, so that few are early.
	firstStartSpread = 3 * time.Second
	firstStartDraws  = 4
	// unpublishedPoll is how often a reader asks for the first configuration.
	unpublishedPoll = 250 * time.Millisecond
	// idlePoll is how often a node that does not read checks whether it should.
	idlePoll = 100 * time.Millisecond
	// expirePeriod is how often entries whose removal was held back are looked at.
	expirePeriod = 100 * time.Millisecond
)

// awaitPeers lets a few nodes read the store when the whole fleet starts, and the others hear from those what they need.
// Reading all endpoints takes as many calls as there are pages. At any later start callers may be waiting, so that a node
// reads at once.
func (s *Service) awaitPeers(ctx context.Context, known func() bool) {
	if !s.options.FirstStart {
		return
	}
	var turn time.Duration
	for range firstStartDraws {
		turn = max(turn, time.Duration(rand.Int64N(int64(firstStartSpread))))
	}
	for deadline := s.options.Clock.Now() + turn; !known() && s.options.Clock.Now() < deadline && ctx.Err() == nil; {
		clock.Sleep(ctx, idlePoll)
	}
}

// readConfiguration keeps the configuration in step with the store.
func (s *Service) readConfiguration(ctx context.Context) {
	var revision uint64
	backoff := firstBackoff
	known := func() bool { return s.table.Load() != nil }
	s.awaitPeers(ctx, known)
	asked := known()
	for ctx.Err() == nil {
		if asked && !s.shouldRead() {
			clock.Sleep(ctx, idlePoll)
			continue
		}
		read, err := s.nextConfiguration(ctx, revision)
		switch {
		case errors.Is(err, ErrHistoryLost):
			revision = 0
			continue
		case errors.Is(err, ErrNoConfiguration):
			s.storeAnswered()
			asked = true
			clock.Sleep(ctx, unpublishedPoll)
			continue
		case err != nil:
			s.storeFailed(ctx, err)
			clock.Sleep(ctx, backoff)
			backoff = min(backoff*2, maxBackoff)
			continue
		}
		backoff = firstBackoff
		s.storeAnswered()
		if read.Invalid != nil {
			s.noteInvalid(read.Invalid)
		}
		if read.Config != nil {
			s.Offer(read.Config, SourceStore)
		}
		revision, asked = max(revision, read.Revision), true
	}
}

func (s *Service) nextConfiguration(ctx context.Context, revision uint64) (ConfigurationRead, error) {
	if revision == 0 {
		return s.options.Store.Configuration(ctx)
	}
	defer s.contact.watch(stepConfiguration, s.options.Clock.Now())()
	return s.options.Store.WatchConfiguration(ctx, revision, watchWait)
}

// readEndpoints keeps the endpoints in step with the store.
func (s *Service) readEndpoints(ctx context.Context) {
	backoff := firstBackoff
	// position is the revision from which this node's own watches go on. What peers tell in between must not move it:
	// their revision may be newer, but only the store has the history.
	var position uint64
	known := func() bool { return s.revision.Load() > 0 }
	s.awaitPeers(ctx, known)
	read := known()
	for ctx.Err() == nil {
		if read && !s.shouldRead() {
			clock.Sleep(ctx, idlePoll)
			position = s.revision.Load()
			continue
		}
		begin := s.options.Clock.Now()
		next, err := s.nextEndpoints(ctx, position)
		switch {
		case errors.Is(err, ErrHistoryLost):
			s.options.Decisions.Record(decision.Decision{Step: stepStore, Outcome: "history-lost", Reason: "read-all"})
			position = 0
			continue
		case err != nil:
			s.storeFailed(ctx, err)
			clock.Sleep(ctx, backoff)
			backoff = min(backoff*2, maxBackoff)
			continue
		}
		backoff = firstBackoff
		position, read = max(position, next), true
		clock.Sleep(ctx, endpointsInterval-(s.options.Clock.Now()-begin))
	}
}

// nextEndpoints reads all endpoints, or waits for changes after a position. It returns the next position.
func (s *Service) nextEndpoints(ctx context.Context, position uint64) (uint64, error) {
	if position == 0 {
		return s.allEndpoints(ctx)
	}
	changes, err := s.watchEndpoints(ctx, position)
	if err != nil {
		return 0, err
	}
	s.took(changes.Invalid, func(g *registry.Registry, now time.Duration) []registry.Change {
		return g.Apply(now, changes.Snapshot)
	})
	return changes.Revision, nil
}

func (s *Service) watchEndpoints(ctx context.Context, after uint64) (EndpointsRead, error) {
	defer s.contact.watch(stepEndpoint, s.options.Clock.Now())()
	return s.options.Store.WatchEndpoints(ctx, after, watchWait)
}

// allEndpoints reads all endpoints, cheaply from what may be behind, and then what has changed since. Both take effect
// together, so that nothing that has left is in use in between.
func (s *Service) allEndpoints(ctx context.Context) (uint64, error) {
	all, err := s.options.Store.Endpoints(ctx, true)
	if err != nil {
		return 0, err
	}
	changes, err := s.options.Store.WatchEndpoints(ctx, all.Revision, catchUpWait)
	if errors.Is(err, ErrHistoryLost) {
		all, err = s.options.Store.Endpoints(ctx, false)
		changes = EndpointsRead{Snapshot: registry.Snapshot{Revision: all.Revision}}
	}
	if err != nil {
		return 0, err
	}
	s.took(append(all.Invalid, changes.Invalid...), func(g *registry.Registry, now time.Duration) []registry.Change {
		return append(g.Replace(now, all.Snapshot), g.Apply(now, changes.Snapshot)...)
	})
	return changes.Revision, nil
}

// took takes over what the store has answered.
func (s *Service) took(invalid []error, change func(g *registry.Registry, now time.Duration) []registry.Change) {
	s.storeAnswered()
	for _, err := range invalid {
		s.noteInvalid(err)
	}
	s.update(SourceStore, change)
}

// expire removes entries whose removal was held back.
func (s *Service) expire(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, expirePeriod)
		s.update(SourceStore, func(g *registry.Registry, now time.Duration) []registry.Change { return g.Expire(now) })
	}
}

func (s *Service) storeAnswered() {
	now := s.options.Clock.Now()
	if !s.contact.answered(now) {
		return
	}
	s.mu.Lock()
	s.registry.StoreReachable(now)
	s.mu.Unlock()
	s.options.Decisions.Record(decision.Decision{Step: stepStore, Outcome: "regained", Reason: "answered"})
}

func (s *Service) storeFailed(ctx context.Context, err error) {
	if ctx.Err() != nil || !s.contact.failed() {
		return
	}
	s.mu.Lock()
	s.registry.StoreUnreachable()
	s.mu.Unlock()
	s.options.Decisions.Record(decision.Decision{Step: stepStore, Outcome: "lost", Reason: err.Error()})
}

// maxInvalid bounds the different complaints that are remembered so that each is logged once.
const maxInvalid = 1024

// noteInvalid logs what could not be read, once.
func (s *Service) noteInvalid(err error) {
	s.logOnce("unreadable value in the store", err)
}

// logOnce logs a complaint the first time that it occurs.
func (s *Service) logOnce(message string, err error) {
	s.mu.Lock()
	known := s.invalid[err.Error()]
	if len(s.invalid) >= maxInvalid {
		clear(s.invalid)
	}
	s.invalid[err.Error()] = true
	s.mu.Unlock()
	if !known {
		s.options.Logger.Warn(message, "error", err)
	}
}

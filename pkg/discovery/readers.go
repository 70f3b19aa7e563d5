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
	// watchWait is how long a watch waits for a change. It bounds the time until a broken connection is detected.
	watchWait = time.Second
	// endpointsWait is the same for watches of the endpoints. It is also the longest time between two answers of a store that is well,
	// by which a reader notices that it has fallen silent.
	endpointsWait = 500 * time.Millisecond
	// catchUpWait is the shortest wait that a watch can ask for. It is used to fetch changes that already exist.
	catchUpWait = time.Millisecond
	// watchSlack is how much longer than its wait a watch may take.
	watchSlack = 300 * time.Millisecond
	// endpointsInterval is the shortest time between the starts of two watches of the endpoints. The endpoints write
	// heartbeats to the store, which would otherwise end each watch at once.
	endpointsInterval = 400 * time.Millisecond
	// firstBackoff is the wait after the first failed call. It doubles with each further one, up to maxBackoff.
	firstBackoff = 60 * time.Millisecond
	maxBackoff   = 500 * time.Millisecond
	// takeoverAfter is the age of the other nodes' latest contact with the store above which a further node reads it.
	// takeoverStagger is added to it for each rank.
	takeoverAfter   = 800 * time.Millisecond
	takeoverStagger = 200 * time.Millisecond
	// takeoverDuration is how long a node that has taken over continues to read. Without it, the node would stop at once,
	// since other nodes report its own contact with the store back to it, and would miss changes until that contact is too
	// old again. Outages of the store for some of the nodes last seconds.
	takeoverDuration = 10 * time.Second
	// readingZones is the number of zones in which a node reads the store all the time. If the store refuses some of these
	// readers, changes still arrive through the others without a takeover.
	readingZones = 3
	// firstStartSpread is the time over which the nodes spread their first reads of the store when the whole fleet starts.
	// Each node waits for the longest of firstStartDraws random delays, so that only a few nodes read early.
	firstStartSpread = 3 * time.Second
	firstStartDraws  = 4
	// unpublishedPoll is the interval at which a reader asks for the first configuration.
	unpublishedPoll = 250 * time.Millisecond
	// idlePoll is the interval at which a node that does not read checks whether it should.
	idlePoll = 100 * time.Millisecond
	// expirePeriod is the interval at which entries whose removal was delayed are checked.
	expirePeriod = 100 * time.Millisecond
)

// awaitPeers waits before the first read of the store when the whole fleet starts, until the state is known from a peer or a
// random delay has passed. So a few nodes read the store and the others fetch the state from them; reading all endpoints
// takes one call per page. At any later start callers may be waiting, so it returns at once.
func (s *Service) awaitPeers(ctx context.Context, known func() bool) {
	if !s.options.FirstStart {
		return
	}
	var delay time.Duration
	for range firstStartDraws {
		delay = max(delay, time.Duration(rand.Int64N(int64(firstStartSpread))))
	}
	for deadline := s.options.Clock.Now() + delay; !known() && s.options.Clock.Now() < deadline && ctx.Err() == nil; {
		clock.Sleep(ctx, idlePoll)
	}
}

// readConfiguration reads the configuration from the store and watches it for changes, while this node is a reader.
func (s *Service) readConfiguration(ctx context.Context) {
	var revision uint64
	backoff := firstBackoff
	known := func() bool { return s.table.Load() != nil }
	s.awaitPeers(ctx, known)
	// initialized is set once the configuration is known or the store has answered that there is none. Until then, the node
	// reads whether or not it is a reader.
	initialized := known()
	for ctx.Err() == nil {
		if initialized && !s.shouldRead() {
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
			initialized = true
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
			s.logInvalid(read.Invalid)
		}
		if read.Config != nil {
			s.Offer(read.Config, SourceStore)
		}
		revision, initialized = max(revision, read.Revision), true
	}
}

// nextConfiguration reads the configuration, or waits for one published after a revision that is not zero.
func (s *Service) nextConfiguration(ctx context.Context, revision uint64) (ConfigurationRead, error) {
	if revision == 0 {
		return s.options.Store.Configuration(ctx)
	}
	defer s.contact.watch(stepConfiguration, s.options.Clock.Now())()
	return s.options.Store.WatchConfiguration(ctx, revision, watchWait)
}

// readEndpoints reads the endpoints from the store and watches them for changes, while this node is a reader.
func (s *Service) readEndpoints(ctx context.Context) {
	backoff := firstBackoff
	// position is the revision after which this node's next watch continues. While the node reads, updates from peers must
	// not advance it: their revision may be newer, but only the store has the complete history of changes.
	var position uint64
	known := func() bool { return s.revision.Load() > 0 }
	s.awaitPeers(ctx, known)
	// read is set once the endpoints are known from peers or have been read. Until then, the node reads whether or not it is
	// a reader.
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

// nextEndpoints reads all endpoints, or waits for changes after a position that is not zero. It returns the next position.
func (s *Service) nextEndpoints(ctx context.Context, position uint64) (uint64, error) {
	if position == 0 {
		return s.allEndpoints(ctx)
	}
	wait := endpointsWait
	if s.contact.lost() {
		// A store that is well answers this call at once, even one that cuts off calls that wait.
		wait = catchUpWait
	}
	changes, err := s.watchEndpoints(ctx, position, wait)
	if err != nil {
		return 0, err
	}
	s.applyRead(changes.Invalid, func(g *registry.Registry, now time.Duration) []registry.Change {
		return g.Apply(now, changes.Snapshot)
	})
	return changes.Revision, nil
}

func (s *Service) watchEndpoints(ctx context.Context, after uint64, wait time.Duration) (EndpointsRead, error) {
	begin := s.options.Clock.Now()
	defer s.contact.watch(stepEndpoint, begin)()
	read, err := s.options.Store.WatchEndpoints(ctx, after, wait)
	if err == nil {
		s.contact.endpointsAnswered(max(s.options.Clock.Now()-begin-wait, 0))
	}
	return read, err
}

// allEndpoints reads all endpoints with stale reads, which cost the store less, and then the changes since. Both are applied
// together, so that endpoints removed since the stale read are never used.
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
	s.applyRead(append(all.Invalid, changes.Invalid...), func(g *registry.Registry, now time.Duration) []registry.Change {
		return append(g.Replace(now, all.Snapshot), g.Apply(now, changes.Snapshot)...)
	})
	return changes.Revision, nil
}

// applyRead applies an answer of the store to the registry and logs the entries that could not be decoded.
func (s *Service) applyRead(invalid []error, change func(g *registry.Registry, now time.Duration) []registry.Change) {
	s.storeAnswered()
	for _, err := range invalid {
		s.logInvalid(err)
	}
	s.update(SourceStore, change)
}

// expire periodically removes the entries whose delayed removal is due.
func (s *Service) expire(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, expirePeriod)
		s.update(SourceStore, func(g *registry.Registry, now time.Duration) []registry.Change { return g.Expire(now) })
	}
}

// storeAnswered records an answer of the store, and logs it if the previous call had failed.
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

// storeFailed records a failed call to the store, and logs it if the previous call had not failed.
func (s *Service) storeFailed(ctx context.Context, err error) {
	if ctx.Err() != nil || !s.contact.failed() {
		return
	}
	now := s.options.Clock.Now()
	s.mu.Lock()
	s.registry.StoreUnreachable(s.contact.latest(now, s.options.Readers.StoreContactAge()))
	s.mu.Unlock()
	s.options.Decisions.Record(decision.Decision{Step: stepStore, Outcome: "lost", Reason: err.Error()})
}

const (
	// maxLoggedErrors is the number of errors that are remembered so that each is logged only once.
	maxLoggedErrors = 1024
	// maxLoggedBytes is the length of an error that is logged. Errors may quote a value of the store, which may be long.
	maxLoggedBytes = 1000
)

// logInvalid logs a value of the store that could not be decoded, only once.
func (s *Service) logInvalid(err error) {
	s.logOnce("unreadable value in the store", err)
}

// logOnce logs an error the first time that it occurs.
func (s *Service) logOnce(message string, err error) {
	text := err.Error()
	text = text[:min(len(text), maxLoggedBytes)]
	s.mu.Lock()
	known := s.loggedErrors[text]
	if len(s.loggedErrors) >= maxLoggedErrors {
		clear(s.loggedErrors)
	}
	s.loggedErrors[text] = true
	s.mu.Unlock()
	if !known {
		s.options.Logger.Warn(message, "error", text)
	}
}

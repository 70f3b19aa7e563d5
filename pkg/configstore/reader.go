package configstore

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"agatepulley.example/agatepulley/core/configstate"
	"agatepulley.example/agatepulley/core/membership"
	"agatepulley.example/agatepulley/pkg/config"
	"agatepulley.example/agatepulley/pkg/platform"
)

const (
	// watchWait is how long a watch may wait. Only a completed watch proves that the service is reachable, so that a
	// long wait would either let the other hosts read too or hide a connection that became black-holed. Two watches a
	// second in each zone are a small part of the read budget of about 2,000 a second.
	watchWait = time.Second
	// minWatchInterval bounds the rate of watches that are answered at once.
	minWatchInterval = 250 * time.Millisecond
	// maxReaderSleep is how often a host that does not hold a watch looks at the age of the latest read.
	maxReaderSleep = 500 * time.Millisecond
	// ownReadLifetime is how long a host counts as reader after a read in place of another one. It is longer than the
	// largest take-over age.
	ownReadLifetime = 15 * time.Second
)

// join asks the seed peers and the service until the node has a configuration and every source has answered or failed
// once, so that a stale service does not put an old version in force while a peer has a newer one.
func (s *Syncer) join(ctx context.Context) {
	for ctx.Err() == nil {
		answered := s.askPeers(ctx, s.options.Seeds)
		if s.options.Service != nil {
			revision, err := s.readService(ctx)
			s.noteOutcome(err)
			s.revision = revision
		}
		if !answered {
			// The service may be stale. Its document names peers that may know better.
			s.askPeers(ctx, s.randomPeers(confirmPeers))
		}
		if s.store.Current() != nil {
			s.joined.Store(true)
			close(s.ready)
			return
		}
		s.log.Warn("no configuration yet", "seeds", len(s.options.Seeds), "service", s.options.Service != nil)
		s.awaitRetry(ctx)
	}
}

// awaitRetry waits until the next attempt to join, or until a configuration has arrived in another way.
func (s *Syncer) awaitRetry(ctx context.Context) {
	timer := time.NewTimer(jitter(retryDelay))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-s.adopted:
	}
}

// noteOutcome logs the first of a series of failed reads and the end of the series. The service may be down for hours.
func (s *Syncer) noteOutcome(err error) {
	switch {
	case err != nil && !s.failing:
		s.log.Warn("configuration read failed", "source", "service", "error", err)
	case err == nil && s.failing:
		s.log.Info("configuration service answers again")
	}
	s.failing = err != nil
	if err == nil {
		s.ownRead.Store(int64(s.options.Clock.Now()) + 1)
	}
}

// Reads reports whether this host reads the platform for its zone: it holds a watch, or has lately read in place of
// another host.
func (s *Syncer) Reads() bool {
	if configstate.Holds(s.rank()) {
		return true
	}
	last := s.ownRead.Load()
	return last > 0 && s.options.Clock.Now()-time.Duration(last) < ownReadLifetime
}

// askPeers asks peers one after the other and reports whether any of them answered. The second one only adds what the
// first one lacks, so that no more than one whole document is transferred at a time.
func (s *Syncer) askPeers(ctx context.Context, addresses []string) bool {
	answered := false
	for _, i := range rand.Perm(len(addresses)) {
		if err := s.fetchFrom(ctx, addresses[i]); err != nil {
			s.log.Warn("configuration fetch failed", "peer", addresses[i], "error", err)
			continue
		}
		answered = true
	}
	return answered
}

// runReader reads the service: continuously if this host holds a watch in its zone, and otherwise only when the latest
// read known in the zone is too old.
func (s *Syncer) runReader(ctx context.Context) {
	if s.options.Service == nil {
		return
	}
	attempt := s.options.Clock.Now()
	fraction := rand.Float64()
	for ctx.Err() == nil {
		rank := s.rank()
		if configstate.Holds(rank) {
			s.watchOnce(ctx)
			attempt = s.options.Clock.Now()
			continue
		}
		now := s.options.Clock.Now()
		due := max(s.latestRead(), attempt) + configstate.TakeOverAge(rank, fraction)
		if now < due {
			sleep(ctx, min(due-now, maxReaderSleep))
			continue
		}
		attempt = now
		fraction = rand.Float64()
		if !s.failing {
			s.log.Info("reading the configuration service in place of another host", "rank", rank)
		}
		s.noteOutcome(s.readOnce(ctx, 0))
	}
}

// rank returns the position of this host among the hosts of its zone, or UnknownRank.
func (s *Syncer) rank() int {
	hosts := s.zoneHosts()
	return slices.Index(membership.Rank("config-reader/"+s.options.Zone, hosts), s.options.HostID)
}

func (s *Syncer) zoneHosts() []string {
	if s.options.ZoneHosts != nil {
		return s.options.ZoneHosts()
	}
	current := s.store.Current()
	if current == nil {
		return nil
	}
	var hosts []string
	for i := range current.Document().Hosts {
		if host := &current.Document().Hosts[i]; host.Zone == s.options.Zone {
			hosts = append(hosts, host.ID)
		}
	}
	return hosts
}

func (s *Syncer) latestRead() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastRead
}

// watchOnce performs one watch and keeps a distance to the next one.
func (s *Syncer) watchOnce(ctx context.Context) {
	start := s.options.Clock.Now()
	err := s.readOnce(ctx, watchWait)
	s.noteOutcome(err)
	if err != nil {
		sleep(ctx, jitter(retryDelay))
		return
	}
	if rest := minWatchInterval - (s.options.Clock.Now() - start); rest > 0 {
		sleep(ctx, rest)
	}
}

// readOnce watches the service from the revision that was taken last.
func (s *Syncer) readOnce(ctx context.Context, wait time.Duration) error {
	callCtx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	value, err := s.options.Service.Watch(callCtx, config.DocumentKey, s.revision, wait)
	s.revision, err = s.take(ctx, value, err, s.revision)
	return err
}

// readService reads the value and adopts it if it is newer. It returns the revision to watch from.
func (s *Syncer) readService(ctx context.Context) (uint64, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := s.options.Service.Value(callCtx, config.DocumentKey)
	return s.take(ctx, value, err, 0)
}

// take handles the answer of the service. It returns the revision to watch from: the new one unless the pieces of the
// document could not be read, so that the next watch tries again.
func (s *Syncer) take(ctx context.Context, value platform.Value, err error, known uint64) (uint64, error) {
	answered := err == nil || errors.Is(err, platform.ErrUnchanged) || errors.Is(err, platform.ErrNotFound)
	if !answered {
		return known, err
	}
	s.noteRead(s.options.Clock.Now())
	if err != nil {
		return known, nil
	}
	if err := s.takeValue(ctx, value.Data); err != nil {
		if errors.Is(err, ErrInvalid) {
			return value.Revision, err
		}
		return known, err
	}
	return value.Revision, nil
}

func (s *Syncer) takeValue(ctx context.Context, data []byte) error {
	if !config.IsManifest(data) {
		_, err := s.store.Offer(SourceService, data)
		return err
	}
	manifest, err := config.DecodeManifest(data)
	if err != nil {
		return fmt.Errorf("configuration from %s: %w: %w", SourceService, ErrInvalid, err)
	}
	offered := configstate.Mark{Version: manifest.Version, Digest: manifest.Digest}
	if configstate.Judge(s.store.mark(), offered) != configstate.Adopt {
		s.store.reject(SourceService, offered)
		return nil
	}
	snapshot, err := config.Assemble(s.store.Current(), manifest, func(ref config.PieceRef) ([]byte, error) { return s.readPiece(ctx, ref) })
	if err != nil {
		return fmt.Errorf("configuration from %s: %w", SourceService, err)
	}
	s.store.OfferSnapshot(SourceService, snapshot)
	return nil
}

// readPiece returns a piece of the document in force or reads it from the service.
func (s *Syncer) readPiece(ctx context.Context, ref config.PieceRef) ([]byte, error) {
	if data, ok := s.store.heldPiece(ref); ok {
		return data, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := s.options.Service.Value(ctx, config.PieceKeyPrefix+ref.Digest)
	return value.Data, err
}

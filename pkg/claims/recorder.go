package claims

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math"
	"sync"
	"time"

	"agatepulley.example/agatepulley/core/once"
	"agatepulley.example/agatepulley/pkg/config"
)

// Methods of the peer protocol.
const (
	methodClaim    = "claims.claim"
	methodRelease  = "claims.release"
	methodComplete = "claims.complete"
	methodRecover  = "claims.recover"
	methodFence    = "claims.fence"
)

type claimMessage struct {
	Service string `json:"service"`
	once.Claim
}

// noticeMessage is a release or a completion.
type noticeMessage struct {
	Service string  `json:"service"`
	Key     once.ID `json:"key"`
	Attempt once.ID `json:"attempt"`
	Status  int     `json:"status,omitempty"`
}

type recoverMessage struct {
	Service string `json:"service"`
	once.RecoverRequest
}

// fenceMessage asks for, and answers with, the generation of the recorder group of a service.
type fenceMessage struct {
	Service    string `json:"service"`
	Generation uint64 `json:"generation"`
}

// recorder is the recorder of one service on this host.
type recorder struct {
	mu      sync.Mutex
	state   *once.Recorder
	fenceAt time.Duration
	// removedAt is when the configuration stopped listing the service; zero if it lists it.
	removedAt time.Duration
}

func (s *Service) register() {
	handle(s, methodClaim, func(message claimMessage) (any, error) { return s.vote(message) })
	handle(s, methodRelease, func(message noticeMessage) (any, error) { return nil, s.record(methodRelease, message) })
	handle(s, methodComplete, func(message noticeMessage) (any, error) { return nil, s.record(methodComplete, message) })
	handle(s, methodRecover, s.readTable)
	handle(s, methodFence, s.answerFence)
}

// handle registers a handler of typed messages.
func handle[T any](s *Service, method string, handler func(T) (any, error)) {
	s.options.Network.Handle(method, func(_ context.Context, from string, params json.RawMessage) (any, error) {
		var message T
		if err := json.Unmarshal(params, &message); err != nil {
			return nil, fmt.Errorf("decode %s of %s: %w", method, from, err)
		}
		return handler(message)
	})
}

// recorder returns the recorder of a service, brought up to date with the configuration in force.
func (s *Service) recorder(service string) (*recorder, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(s.options.Current())
	found, ok := s.recorders[service]
	if !ok {
		return nil, fmt.Errorf("host %s is not a recorder of service %q", s.options.HostID, service)
	}
	return found, nil
}

// apply brings all recorders up to date with a configuration.
func (s *Service) apply(snapshot *config.Snapshot) {
	if snapshot == nil || snapshot == s.applied {
		return
	}
	before := s.applied
	s.applied = snapshot
	now := s.options.Clock.Now()
	for i := range snapshot.Document().Services {
		s.applyService(before, snapshot, snapshot.Document().Services[i].Name, now)
	}
	for name, r := range s.recorders {
		if _, listed := groupOf(snapshot, name); !listed && r.removedAt == 0 {
			r.removedAt = now
		}
	}
}

func (s *Service) applyService(before, snapshot *config.Snapshot, name string, now time.Duration) {
	group, ok := groupOf(snapshot, name)
	if !ok {
		return
	}
	r, exists := s.recorders[name]
	if !exists && !group.Includes(s.options.HostID) {
		return
	}
	if !exists {
		r = &recorder{state: once.NewRecorder(s.options.HostID, s.options.Incarnation, s.started, s.options.Capacity)}
		s.recorders[name] = r
		// The recorder must know the group before it, even if this node missed the versions that listed it as previous.
		if old, known := groupOf(before, name); known {
			r.state.Configure(old, now)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removedAt = 0
	r.state.Configure(group, now)
}

// vote answers a claim.
func (s *Service) vote(message claimMessage) (once.Vote, error) {
	r, err := s.recorder(message.Service)
	if err != nil {
		return once.Vote{}, err
	}
	r.mu.Lock()
	vote := r.state.Claim(message.Claim, s.options.Clock.Now())
	r.mu.Unlock()
	s.counters.countVote(vote.Answer)
	if vote.Answer == once.Behind {
		s.reportBehind()
	}
	return vote, nil
}

// record takes a release or a completion.
func (s *Service) record(method string, message noticeMessage) error {
	r, err := s.recorder(message.Service)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := s.options.Clock.Now()
	if method == methodRelease {
		r.state.Release(message.Key, message.Attempt, now)
		return nil
	}
	r.state.Complete(message.Key, message.Attempt, message.Status, now)
	return nil
}

func (s *Service) readTable(message recoverMessage) (any, error) {
	// A node that does not know the host yet would keep the incarnations of any name.
	if snapshot := s.options.Current(); snapshot == nil || snapshot.Host(message.Member) == nil {
		return nil, fmt.Errorf("host %q is not listed", message.Member)
	}
	r, err := s.recorder(message.Service)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.ReadTable(message.RecoverRequest, s.options.Clock.Now()), nil
}

// answerFence returns the generation from which on this host grants claims.
func (s *Service) answerFence(message fenceMessage) (any, error) {
	s.mu.Lock()
	snapshot := s.options.Current()
	s.apply(snapshot)
	s.mu.Unlock()
	group, ok := groupOf(snapshot, message.Service)
	if !ok {
		return nil, fmt.Errorf("service %q is not known", message.Service)
	}
	if group.Generation < message.Generation {
		s.reportBehind()
	}
	return fenceMessage{Service: message.Service, Generation: group.Generation}, nil
}

func (s *Service) reportBehind() {
	now := s.options.Clock.Now().Nanoseconds()
	last := s.behindAt.Load()
	if s.options.Behind == nil || last != 0 && now-last < tickInterval.Nanoseconds() {
		return
	}
	if s.behindAt.CompareAndSwap(last, now) {
		s.options.Behind()
	}
}

// runMaintenance looks after recovery, fences and recorders that are no longer needed.
func (s *Service) runMaintenance() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
			s.maintain(s.options.Clock.Now())
		}
	}
}

func (s *Service) maintain(now time.Duration) {
	s.mu.Lock()
	snapshot := s.options.Current()
	s.apply(snapshot)
	current := make(map[string]*recorder, len(s.recorders))
	for name, r := range s.recorders {
		if r.expired(now) {
			delete(s.recorders, name)
			continue
		}
		current[name] = r
	}
	s.mu.Unlock()
	if snapshot == nil {
		return
	}
	for name, r := range current {
		s.recoverTable(snapshot, name, r, now)
		s.askFences(snapshot, name, r, now)
	}
}

// expired reports whether the service was removed long enough ago for its claims to have ended.
func (r *recorder) expired(now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.removedAt != 0 && now >= r.removedAt+once.Retention(r.state.Group().Window)
}

// recoverTable starts a recovery round if one is due.
func (s *Service) recoverTable(snapshot *config.Snapshot, name string, r *recorder, now time.Duration) {
	r.mu.Lock()
	requests := r.state.BeginRecovery(now)
	r.mu.Unlock()
	for member, request := range requests {
		address, err := addressOf(snapshot, member)
		if err != nil {
			continue
		}
		s.tasks.Go(func() { s.readFrom(address, name, r, request) })
	}
}

// readFrom reads the table of one member page by page.
func (s *Service) readFrom(address, name string, r *recorder, request once.RecoverRequest) {
	for next := &request; next != nil; {
		var response once.RecoverResponse
		err := s.options.Network.Call(s.ctx, address, methodRecover, recoverMessage{name, *next}, &response)
		if err != nil {
			s.options.Logger.Debug("read claim table failed", slog.String("service", name), slog.Any("error", err))
			return
		}
		now := s.options.Clock.Now()
		r.mu.Lock()
		before := r.state.Recovering(now)
		next = r.state.Recovered(response, now)
		recovered := before && !r.state.Recovering(now)
		size := r.state.Len()
		r.mu.Unlock()
		if recovered {
			s.counters.recoveries.Add(1)
			s.options.Logger.Info("claim table recovered", slog.String("service", name), slog.Int("entries", size))
		}
	}
}

// askFences asks members of earlier groups for their generation. The configuration's removal of a host is the operator's
// statement that it no longer runs.
func (s *Service) askFences(snapshot *config.Snapshot, name string, r *recorder, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now < r.fenceAt {
		return
	}
	r.fenceAt = now + fenceInterval
	generation := r.state.Group().Generation
	for _, member := range r.state.FenceTargets() {
		address, err := addressOf(snapshot, member)
		if err != nil {
			r.state.ObserveGeneration(member, math.MaxUint64, now)
			continue
		}
		if member == s.options.HostID {
			r.state.ObserveGeneration(member, generation, now)
			continue
		}
		s.tasks.Go(func() { s.askFence(address, member, r, fenceMessage{Service: name, Generation: generation}) })
	}
}

func (s *Service) askFence(address, member string, r *recorder, message fenceMessage) {
	var answer fenceMessage
	if err := s.options.Network.Call(s.ctx, address, methodFence, message, &answer); err != nil {
		s.options.Logger.Debug("ask for generation failed", slog.String("member", member), slog.Any("error", err))
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.ObserveGeneration(member, answer.Generation, s.options.Clock.Now())
}

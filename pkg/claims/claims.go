// Package claims runs core/once over the peer network: it claims keys for the attempts of this node's endpoints, and it
// is the recorder of the services that name this host as a member of their recorder group.
package claims

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"agatepulley.example/agatepulley/core/once"
	"agatepulley.example/agatepulley/core/outcome"
	"agatepulley.example/agatepulley/pkg/clock"
	"agatepulley.example/agatepulley/pkg/config"
	"agatepulley.example/agatepulley/pkg/kernel"
	"agatepulley.example/agatepulley/pkg/peer"
	"agatepulley.example/agatepulley/pkg/ring"
)

// Request names an attempt to run a request. A node must claim each attempt at most once.
type Request struct {
	Service string
	Key     string
	Attempt string
}

// State is what is known of the attempt that holds a key.
type State string

// States of the attempt that holds a key.
const (
	StatePending   State = "pending"
	StateCompleted State = "completed"
)

// Verdict is the result of a claim.
type Verdict struct {
	Granted bool
	// Reason is set if the claim was not granted. Only ReasonClaimed means that another attempt may have run.
	Reason outcome.Reason
	// State and Status describe the other attempt if Reason is ReasonClaimed. Status is zero if it is not known.
	State  State
	Status int

	started time.Duration
}

// Valid reports whether the attempt may be dispatched at the given time of the service's clock. It must be checked
// immediately before the dispatch.
func (v Verdict) Valid(now time.Duration) bool {
	return v.Granted && now < v.started+once.DispatchLimit
}

// Options configure a Service.
type Options struct {
	HostID      string
	Incarnation uint64
	Network     peer.Network
	// Current returns the configuration in force, or nil.
	Current func() *config.Snapshot
	// Clock must be the one that callers of Verdict.Valid use.
	Clock  clock.Clock
	Logger *slog.Logger
	// Behind is called, at most ten times a second, when a peer uses a newer recorder group than this node knows.
	Behind func()
	// Capacity is the maximum number of entries of a service; zero means once.DefaultCapacity.
	Capacity int
}

const (
	// tickInterval is how often recovery and group changes are looked after.
	tickInterval = 100 * time.Millisecond
	// fenceInterval is how often members of an earlier group are asked for their generation.
	fenceInterval = time.Second
	// noticeCapacity and noticeConcurrency bound the releases and completions that wait or are being sent.
	noticeCapacity    = 4096
	noticeConcurrency = 64
)

// Service claims keys and records claims. It is safe for concurrent use.
type Service struct {
	options  Options
	started  time.Duration
	counters counters
	notices  *ring.Ring[notice]

	// pending is the number of notices queued or being sent.
	pending atomic.Int64

	mu        sync.Mutex
	applied   *config.Snapshot
	recorders map[string]*recorder
	behindAt  atomic.Int64

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// New returns a service and registers its methods with the network.
func New(options Options) *Service {
	if options.Clock == nil {
		options.Clock = clock.NewMonotonic()
	}
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	s := &Service{
		options:   options,
		started:   options.Clock.Now(),
		notices:   ring.New[notice](noticeCapacity, ring.DropOldest),
		recorders: make(map[string]*recorder),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.register()
	return s
}

// Start begins recovery and the sending of releases and completions.
func (s *Service) Start(context.Context) error {
	s.tasks.Go(s.runMaintenance)
	s.tasks.Go(s.runNotices)
	return nil
}

// Stop sends the queued releases and completions, for a limited time, and ends the tasks.
func (s *Service) Stop(ctx context.Context) error {
	s.flush(ctx)
	s.cancel()
	return kernel.AwaitTasks(ctx, &s.tasks, "claim tasks")
}

// Claim asks the recorders of the service for the right to run an attempt. It returns as soon as the result is certain,
// at the latest when once.DispatchLimit has passed or the context ends. An attempt that is not granted is released.
func (s *Service) Claim(ctx context.Context, r Request) Verdict {
	started := s.options.Clock.Now()
	snapshot := s.options.Current()
	group, ok := groupOf(snapshot, r.Service)
	if !ok {
		s.counters.noQuorum.Add(1)
		return Verdict{Reason: outcome.ReasonClaimNoQuorum, started: started}
	}
	tally := once.NewTally(group, started)
	decision := s.collect(ctx, tally, snapshot, group, r)
	verdict := s.verdict(decision, tally)
	if !verdict.Granted {
		s.Release(r)
	}
	return verdict
}

// collect sends the claim to all members and waits for the decision.
func (s *Service) collect(ctx context.Context, tally *once.Tally, snapshot *config.Snapshot, group once.Group, r Request) once.Decision {
	claim := group.Claim(once.HashID(r.Key), s.attemptID(r))
	members := group.All()
	ballots := make(chan ballot, len(members))
	for _, member := range members {
		s.ask(snapshot, member, claimMessage{Service: r.Service, Claim: claim}, ballots)
	}
	timer := time.NewTimer(once.DispatchLimit)
	defer timer.Stop()
	for range members {
		select {
		case b := <-ballots:
			now := s.options.Clock.Now()
			decision := b.count(tally, now)
			if decision != once.Undecided {
				return decision
			}
		case <-ctx.Done():
			return giveUp(tally)
		case <-timer.C:
			return giveUp(tally)
		case <-s.ctx.Done():
			return giveUp(tally)
		}
	}
	return giveUp(tally)
}

// giveUp decides a claim without the votes that are missing.
func giveUp(tally *once.Tally) once.Decision {
	return tally.Expire(tally.Started() + once.DispatchLimit)
}

// attemptID identifies an attempt among those of all nodes: two nodes that are given the same attempt, or a node that is
// given it again after a restart, claim it as different ones.
func (s *Service) attemptID(r Request) once.ID {
	return once.HashID(fmt.Sprintf("%s/%d/%s", s.options.HostID, s.options.Incarnation, r.Attempt))
}

// ballot is the result of asking one member.
type ballot struct {
	member string
	vote   once.Vote
	err    error
}

func (b ballot) count(tally *once.Tally, now time.Duration) once.Decision {
	if b.err != nil {
		return tally.Fail(b.member, now)
	}
	// A member answers for itself only.
	b.vote.Member = b.member
	return tally.Add(b.vote, now)
}

// ask obtains the vote of a member. The own host is asked without the network.
func (s *Service) ask(snapshot *config.Snapshot, member string, message claimMessage, to chan<- ballot) {
	if member == s.options.HostID {
		vote, err := s.vote(message)
		to <- ballot{member: member, vote: vote, err: err}
		return
	}
	address, err := addressOf(snapshot, member)
	if err != nil {
		to <- ballot{member: member, err: err}
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, once.DispatchLimit)
		defer cancel()
		var vote once.Vote
		err := s.options.Network.Call(ctx, address, methodClaim, message, &vote)
		if err != nil {
			s.options.Logger.Debug("claim failed", slog.String("member", member), slog.Any("error", err))
		}
		to <- ballot{member: member, vote: vote, err: err}
	}()
}

func (s *Service) verdict(decision once.Decision, tally *once.Tally) Verdict {
	verdict := Verdict{started: tally.Started()}
	switch decision {
	case once.Won:
		s.counters.granted.Add(1)
		verdict.Granted = true
	case once.Lost:
		s.counters.claimed.Add(1)
		verdict.Reason = outcome.ReasonClaimed
		verdict.State = StatePending
		if holder, ok := tally.Holder(); ok && holder.Completed {
			verdict.State = StateCompleted
			verdict.Status = holder.Status
		}
	case once.Outdated:
		s.counters.stale.Add(1)
		verdict.Reason = outcome.ReasonClaimStale
	default:
		s.counters.noQuorum.Add(1)
		verdict.Reason = outcome.ReasonClaimNoQuorum
	}
	return verdict
}

// Release says that an attempt will not run. It returns at once.
func (s *Service) Release(r Request) {
	s.notify(methodRelease, r, 0)
}

// Complete says that an attempt has run with the given status. It returns at once.
func (s *Service) Complete(r Request, status int) {
	s.notify(methodComplete, r, status)
}

// groupOf returns the recorder group of a service. A service without recorders has none.
func groupOf(snapshot *config.Snapshot, service string) (once.Group, bool) {
	if snapshot == nil {
		return once.Group{}, false
	}
	found := snapshot.Service(service)
	if found == nil || len(found.Claims.Recorders) == 0 {
		return once.Group{}, false
	}
	return once.Group{
		Generation: found.Claims.Generation,
		Members:    found.Claims.Recorders,
		Previous:   found.Claims.Previous,
		Window:     config.Millis(found.Claims.WindowMS),
	}, true
}

func addressOf(snapshot *config.Snapshot, member string) (string, error) {
	host := snapshot.Host(member)
	if host == nil {
		return "", fmt.Errorf("recorder %q is not a listed host", member)
	}
	return host.PeerAddress(), nil
}

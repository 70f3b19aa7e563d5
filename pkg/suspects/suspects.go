package suspects

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"agatepulley.example/agatepulley/core/quarantine"
	"agatepulley.example/agatepulley/pkg/clock"
	"agatepulley.example/agatepulley/pkg/decision"
	"agatepulley.example/agatepulley/pkg/guard"
	"agatepulley.example/agatepulley/pkg/kernel"
	"agatepulley.example/agatepulley/pkg/memory"
	"agatepulley.example/agatepulley/pkg/telemetry"
)

const (
	// survivorCapacity and survivorLifetime bound the memory of requests that have succeeded. A request may begin to crash
	// endpoints at any time, and no crash within the lifetime after its last success counts. The capacity covers the lifetime at
	// 340 requests/s.
	survivorCapacity = 1024
	survivorLifetime = 3 * time.Second
	// tellPeriod is the interval at which one linked node is told of the requests that have crashed repeatCrashes endpoints
	// or more. With 36 links, a node hears of them from several others within a second.
	tellPeriod    = 200 * time.Millisecond
	repeatCrashes = 2
	// maxNoticeBytes is the length up to which records share a notice, so that it fits into a packet.
	maxNoticeBytes = 1400
	// repeatRecords is the number of records that are told again at a time. With two crashes each they fill a notice.
	repeatRecords = 5
	// relayFanout is the number of nodes to which a node passes a refusal on when it learns of it, for those that are not
	// linked with the node of the crash.
	relayFanout = 4
	// expirePeriod is how often old crashes are forgotten.
	expirePeriod = time.Minute
)

// stepQuarantine is the step of decisions on suspects in the log.
const stepQuarantine = "quarantine"

// Network sends notices to other nodes. *reports.Service implements it. Notices may be lost.
type Network interface {
	// Broadcast sends a notice to all linked nodes.
	Broadcast(notice []byte)
	// SendNext sends a notice to one linked node, to each in turn.
	SendNext(notice []byte)
	// SendTo sends a notice to the node on a host.
	SendTo(ip string, notice []byte)
}

// Options are the dependencies of a Service.
type Options struct {
	Clock     clock.Clock
	Decisions *decision.Recorder
	Logger    *slog.Logger
	Metrics   *telemetry.Metrics
	Network   Network
	// Tables is the memory for suspects. Without it, only their number is bounded.
	Tables *memory.Budget
}

// InFlight is a request that was in flight when an endpoint crashed.
type InFlight struct {
	Fingerprint string
	Service     string
	RequestID   string
	// Alone is set if it was the only suspect in flight there.
	Alone bool
}

// Service holds the suspects that a node knows. It is safe for concurrent use.
type Service struct {
	options Options

	mu        sync.Mutex
	store     *quarantine.Store
	survivors *quarantine.Survivors
	// cleared holds the records that were cleared since the last notice.
	cleared []quarantine.Record
	// told is the position of the next record that is told again, if there are more than fit into a notice.
	told int

	cancel context.CancelFunc
	done   chan struct{}
}

// New returns a service without suspects.
func New(options Options) *Service {
	var store quarantine.Options
	if options.Tables != nil {
		store.Memory = options.Tables
	}
	return &Service{
		options:   options,
		store:     quarantine.New(store),
		survivors: quarantine.NewSurvivors(survivorCapacity, survivorLifetime),
		done:      make(chan struct{}),
	}
}

// Start starts the task that tells other nodes.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go func() {
		defer close(s.done)
		guard.Supervise(ctx, s.options.Logger, "quarantine notices", func() { s.run(ctx) })
	}()
	return nil
}

// Stop ends the task.
func (s *Service) Stop(ctx context.Context) error {
	s.cancel()
	return kernel.AwaitClosed(ctx, s.done, "quarantine notices")
}

// Decide returns how a request may run.
func (s *Service) Decide(fingerprint string) quarantine.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.decide(fingerprint)
}

// decide returns how a request may run. The caller holds the lock.
func (s *Service) decide(fingerprint string) quarantine.Action {
	if fingerprint == "" || s.store.Len() == 0 {
		return quarantine.RunNormally
	}
	return s.store.Decide(fingerprint, nil, s.options.Clock.Now()).Action
}

// Crashed records the requests that were in flight when an endpoint crashed, except those that have succeeded recently, and
// tells the other nodes.
func (s *Service) Crashed(crash quarantine.CrashID, inFlight []InFlight) {
	now := s.options.Clock.Now()
	var records []quarantine.Record
	s.mu.Lock()
	for _, r := range inFlight {
		if r.Fingerprint == "" || s.survivors.Contains(r.Fingerprint, now) {
			continue
		}
		before := s.decide(r.Fingerprint)
		record := s.store.Suspect(r.Fingerprint, r.Service, quarantine.Crash{CrashID: crash, Alone: r.Alone}, now)
		records = append(records, record)
		s.options.Metrics.CrashSuspect(r.Service)
		s.log(r.RequestID, record, before, "crash")
	}
	s.mu.Unlock()
	s.send(records, s.options.Network.Broadcast)
}

// Succeeded records that a request has succeeded, which clears it of all crashes.
func (s *Service) Succeeded(fingerprint string) {
	if fingerprint == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.survivors.Add(fingerprint, s.options.Clock.Now())
	s.clear(fingerprint, "success")
}

// Lift ends the quarantine of a fingerprint on all nodes, at the request of an operator. It returns false if there is none.
func (s *Service) Lift(fingerprint string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clear(fingerprint, "operator")
}

// clear clears a fingerprint of all crashes and returns false if there are none. The caller holds the lock.
func (s *Service) clear(fingerprint, reason string) bool {
	now := s.options.Clock.Now()
	before := s.decide(fingerprint)
	record, cleared := s.store.Success(fingerprint, now)
	if cleared {
		s.cleared = append(s.cleared, record)
		s.log("", record, before, reason)
	}
	return cleared
}

// Suspect is a fingerprint whose requests do not run normally.
type Suspect struct {
	Fingerprint string
	Service     string
	Action      quarantine.Action
	// Crashed holds the ids of the endpoints that crashed.
	Crashed []string
}

// List returns the suspects in the order of their fingerprints.
func (s *Service) List() []Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Suspect
	for _, record := range s.store.Active(1, s.options.Clock.Now()) {
		list = append(list, Suspect{
			Fingerprint: record.Fingerprint, Service: record.Service, Action: s.decide(record.Fingerprint), Crashed: crashedBy(record),
		})
	}
	return list
}

// crashedBy returns the ids of the endpoints in a record.
func crashedBy(record quarantine.Record) []string {
	ids := make([]string, 0, len(record.Crashes))
	for _, c := range record.Crashes {
		ids = append(ids, c.Endpoint)
	}
	return ids
}

// Refused returns the number of fingerprints that are refused.
func (s *Service) Refused() int {
	count := 0
	for _, suspect := range s.List() {
		if suspect.Action == quarantine.Refuse {
			count++
		}
	}
	return count
}

// Receive takes a notice of another node.
func (s *Service) Receive(ip string, notice []byte) {
	var records []quarantine.Record
	if err := json.Unmarshal(notice, &records); err != nil {
		s.options.Logger.Warn("unreadable quarantine notice", "from", ip, "error", err)
		return
	}
	s.send(s.learn(records), func(notice []byte) { s.options.Network.SendTo(ip, notice) })
}

// Learn takes a record that the dispatcher on another host has added to a response.
func (s *Service) Learn(record quarantine.Record) {
	s.learn([]quarantine.Record{record})
}

// Record returns what is known of a fingerprint.
func (s *Service) Record(fingerprint string) quarantine.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.store.Record(fingerprint, s.options.Clock.Now())
}

// learn takes records of another node and passes on what further nodes should hear of. It returns the records that the other
// node lacks.
func (s *Service) learn(records []quarantine.Record) (lacking []quarantine.Record) {
	var joined, refused []quarantine.Record
	s.mu.Lock()
	for _, r := range records {
		if mine, lacks := s.store.Missing(r, s.options.Clock.Now()); lacks {
			lacking = append(lacking, mine)
		}
		switch union, learned := s.merge(r); learned {
		case learnedCrashes:
			joined = append(joined, union)
		case learnedRefusal:
			refused = append(refused, union)
		}
	}
	s.mu.Unlock()
	s.send(joined, s.options.Network.Broadcast)
	for range relayFanout {
		s.send(refused, s.options.Network.SendNext)
	}
	return lacking
}

// learned says what a record of another node has shown that further nodes should hear of.
type learned int

const (
	learnedNothing learned = iota
	// learnedCrashes means that the crashes known here and there together are more than the sender knows.
	learnedCrashes
	// learnedRefusal means that the request is refused from now on.
	learnedRefusal
)

// merge takes a record of another node. It returns all that is known of the fingerprint. The caller holds the lock.
func (s *Service) merge(r quarantine.Record) (quarantine.Record, learned) {
	now := s.options.Clock.Now()
	if s.survivors.Contains(r.Fingerprint, now) && !hasCleared(r) {
		return quarantine.Record{}, learnedNothing
	}
	before := s.decide(r.Fingerprint)
	if !s.store.Merge(r, now) {
		return quarantine.Record{}, learnedNothing
	}
	union := s.store.Record(r.Fingerprint, now)
	s.log("", union, before, "notice")
	switch count := s.store.Crashes(r.Fingerprint, now); {
	case count >= repeatCrashes && len(union.Crashes) > len(r.Crashes):
		return union, learnedCrashes
	case before != quarantine.Refuse && s.decide(r.Fingerprint) == quarantine.Refuse:
		return union, learnedRefusal
	}
	return union, learnedNothing
}

func hasCleared(r quarantine.Record) bool {
	return slices.ContainsFunc(r.Crashes, func(c quarantine.Crash) bool { return c.Cleared })
}

// send sends records in as few notices as possible.
func (s *Service) send(records []quarantine.Record, send func(notice []byte)) {
	var notice []byte
	for _, r := range records {
		encoded, err := json.Marshal(r)
		if err != nil {
			s.options.Logger.Error("encode quarantine notice", "error", err)
			continue
		}
		if len(notice) > 0 && len(notice)+len(encoded)+len(",]") > maxNoticeBytes {
			send(append(notice, ']'))
			notice = nil
		}
		separator := byte(',')
		if len(notice) == 0 {
			separator = '['
		}
		notice = append(append(notice, separator), encoded...)
	}
	if len(notice) > 0 {
		send(append(notice, ']'))
	}
}

// run tells the other nodes until the context ends.
func (s *Service) run(ctx context.Context) {
	expireAt := s.options.Clock.Now() + expirePeriod
	for ctx.Err() == nil {
		clock.Sleep(ctx, tellPeriod)
		cleared, repeated := s.due()
		s.send(cleared, s.options.Network.Broadcast)
		s.send(repeated, s.options.Network.SendNext)
		if now := s.options.Clock.Now(); now >= expireAt {
			expireAt = now + expirePeriod
			s.expire()
		}
	}
}

// due returns the records that were cleared since the last call, and the next of those that are told again and again.
func (s *Service) due() (cleared, repeated []quarantine.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cleared, s.cleared = s.cleared, nil
	all := s.store.Active(repeatCrashes, s.options.Clock.Now())
	if len(all) <= repeatRecords {
		return cleared, all
	}
	for range repeatRecords {
		repeated = append(repeated, all[s.told%len(all)])
		s.told++
	}
	return cleared, repeated
}

func (s *Service) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.Expire(s.options.Clock.Now())
}

// log records a decision on a suspect if its treatment has changed. The caller holds the lock.
func (s *Service) log(requestID string, record quarantine.Record, before quarantine.Action, reason string) {
	after := s.decide(record.Fingerprint)
	if after == before && requestID == "" {
		return
	}
	s.options.Decisions.Record(decision.Decision{
		RequestID: requestID, Step: stepQuarantine, Service: record.Service, Outcome: after.String(), Reason: reason,
		Inputs: map[string]any{"fingerprint": record.Fingerprint, "crashed": strings.Join(crashedBy(record), " "), "before": before.String()},
	})
}

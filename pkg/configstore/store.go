// Package configstore holds the configuration in force of a node: it adopts newer versions from the configuration
// service and from peers, rejects older ones, raises alarms on conflicting ones and passes new versions on.
package configstore

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"agatepulley.example/agatepulley/core/configstate"
	"agatepulley.example/agatepulley/pkg/config"
)

// Source says where a document came from. It is a kind, optionally followed by a colon and an address.
type Source string

// Kinds of sources.
const (
	SourceService Source = "service"
	SourceBuiltin Source = "builtin"
	SourcePeer    Source = "peer"
)

// PeerSource returns the source for the peer at address.
func PeerSource(address string) Source {
	return SourcePeer + Source(":"+address)
}

// Decision is the outcome of an offer.
type Decision struct {
	Verdict configstate.Verdict
	Offered configstate.Mark
	InForce configstate.Mark
}

// ErrInvalid is wrapped by the errors of offers that are rejected because the document does not pass its checks.
var ErrInvalid = errors.New("document rejected")

// Alarm reports two documents with one version.
type Alarm struct {
	Version  config.Version `json:"version"`
	InForce  string         `json:"in_force_digest"`
	Rejected string         `json:"rejected_digest"`
	Source   Source         `json:"source"`
	Since    time.Time      `json:"since"`
}

// Store holds the configuration in force. It is safe for concurrent use.
type Store struct {
	log     *slog.Logger
	current atomic.Pointer[config.Snapshot]
	adopted atomic.Pointer[Adoption]
	archive *archive

	// mu serializes adoptions, so that subscribers see every version once and in order.
	mu          sync.Mutex
	subscribers []func(old, new *config.Snapshot)

	alarmMu sync.Mutex
	alarms  []Alarm
}

// Adoption says where the configuration in force came from and when it was adopted.
type Adoption struct {
	Source Source
	At     time.Time
}

// maxAlarms bounds the alarms kept for one version in force.
const maxAlarms = 16

// New returns a store without a configuration.
func New(log *slog.Logger) *Store {
	return &Store{log: log, archive: newArchive()}
}

// Current returns the configuration in force, or nil before the first adoption.
func (s *Store) Current() *config.Snapshot {
	return s.current.Load()
}

// Adoption returns the latest adoption. It is zero before the first one.
func (s *Store) Adoption() Adoption {
	if latest := s.adopted.Load(); latest != nil {
		return *latest
	}
	return Adoption{}
}

// Subscribe registers a function that is called after each adoption, in order, with the previous configuration, which
// is nil at first, and the new one. It must return soon and must not call Offer. If a configuration is in force
// already, the function is called with it before Subscribe returns.
func (s *Store) Subscribe(notify func(old, new *config.Snapshot)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = append(s.subscribers, notify)
	if current := s.current.Load(); current != nil {
		notify(nil, current)
	}
}

// Offer parses a document and adopts it if its version is higher than the one in force. The error is not nil if the
// document is invalid; an older, equal or conflicting version is a decision and no error.
func (s *Store) Offer(source Source, data []byte) (Decision, error) {
	snapshot, err := config.ParseNext(s.Current(), data)
	if err != nil {
		s.log.Warn("configuration rejected", "reason", "invalid", "source", string(source), "error", err)
		return Decision{InForce: s.mark()}, fmt.Errorf("configuration from %s: %w: %w", source, ErrInvalid, err)
	}
	return s.OfferSnapshot(source, snapshot), nil
}

// OfferSnapshot adopts a checked configuration if its version is higher than the one in force.
func (s *Store) OfferSnapshot(source Source, offered *config.Snapshot) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	decision := Decision{Offered: markOf(offered), InForce: s.mark()}
	decision.Verdict = configstate.Judge(decision.InForce, decision.Offered)
	if decision.Verdict != configstate.Adopt {
		s.reject(source, decision.Offered)
		return decision
	}
	s.adopt(source, offered)
	decision.InForce = decision.Offered
	return decision
}

// Alarms returns the conflicts with the version in force. They end when a higher version is adopted.
func (s *Store) Alarms() []Alarm {
	s.alarmMu.Lock()
	defer s.alarmMu.Unlock()
	return append([]Alarm(nil), s.alarms...)
}

func (s *Store) adopt(source Source, offered *config.Snapshot) {
	old := s.current.Swap(offered)
	s.adopted.Store(&Adoption{Source: source, At: time.Now()})
	s.clearAlarms()
	s.archive.record(old, offered)
	s.log.Info("configuration adopted", "source", string(source), "version", offered.Version().String(),
		"digest", offered.Digest(), "previous", markOf(old).Version.String())
	for _, notify := range s.subscribers {
		notify(old, offered)
	}
}

// reject records that a document known only by its mark is not adopted: an older one is logged, a conflicting one raises
// an alarm.
func (s *Store) reject(source Source, offered configstate.Mark) {
	decision := Decision{Offered: offered, InForce: s.mark()}
	decision.Verdict = configstate.Judge(decision.InForce, offered)
	switch decision.Verdict {
	case configstate.Conflict:
		s.raise(source, decision)
	case configstate.Older:
		s.logDecision(slog.LevelInfo, "configuration rejected", source, decision)
	}
}

func (s *Store) raise(source Source, decision Decision) {
	alarm := Alarm{
		Version:  decision.InForce.Version,
		InForce:  decision.InForce.Digest,
		Rejected: decision.Offered.Digest,
		Source:   source,
		Since:    time.Now(),
	}
	if s.addAlarm(alarm) {
		s.logDecision(slog.LevelError, "configuration conflict", source, decision)
	}
}

// addAlarm records a conflict. It returns false if the rejected digest is known already.
func (s *Store) addAlarm(alarm Alarm) bool {
	s.alarmMu.Lock()
	defer s.alarmMu.Unlock()
	for _, known := range s.alarms {
		if known.Rejected == alarm.Rejected {
			return false
		}
	}
	if len(s.alarms) < maxAlarms {
		s.alarms = append(s.alarms, alarm)
	}
	return true
}

func (s *Store) clearAlarms() {
	s.alarmMu.Lock()
	defer s.alarmMu.Unlock()
	s.alarms = nil
}

func (s *Store) logDecision(level slog.Level, message string, source Source, decision Decision) {
	s.log.Log(context.Background(), level, message, "reason", decision.Verdict.String(), "source", string(source),
		"version", decision.Offered.Version.String(), "digest", decision.Offered.Digest,
		"in_force", decision.InForce.Version.String(), "in_force_digest", decision.InForce.Digest)
}

// mark returns the version and digest in force, which are zero before the first adoption.
func (s *Store) mark() configstate.Mark {
	return markOf(s.current.Load())
}

func markOf(snapshot *config.Snapshot) configstate.Mark {
	if snapshot == nil {
		return configstate.Mark{}
	}
	return configstate.Mark{Version: snapshot.Version(), Digest: snapshot.Digest()}
}

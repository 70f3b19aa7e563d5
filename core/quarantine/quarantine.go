// Package quarantine contains requests that crash backend servers. Each request in flight at a crash becomes a suspect
// by its fingerprint: it runs alone, until it succeeds, which clears it, or crashes that backend server as well, which proves
// it guilty, so it is refused.
//
// How a suspect runs alone is left to the caller: at one endpoint of the service without any other request, or at any
// endpoint without another suspect. Requests that are not suspects do not make the proof ambiguous.
//
// Crashes that other requests shared never lead to a refusal, however many there are: a popular request is in flight at
// every backend server that a culprit takes down. A fingerprint is refused only if it crashed a backend server while it
// ran alone.
//
// A crash is identified by the endpoint and the incarnation of its backend server. News of crashes and of their
// clearance merge by set union, so repeated and reordered news give the same state.
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"agatepulley.example/agatepulley/core/membership"
)

// Defaults of a Store.
const (
	DefaultPeriod     = 10 * time.Minute
	DefaultMaxCrashes = 2
	DefaultCapacity   = 4096
	// crashLimit bounds the crashes kept of one fingerprint. More add nothing to the decision.
	crashLimit = 16
	// graveyardPeriods is how long an expired crash is remembered, in periods, so that late news do not revive it.
	graveyardPeriods = 2
)

// CrashID identifies a crash: the endpoint and the incarnation of its backend server that ended.
type CrashID struct {
	Endpoint    string `json:"endpoint"`
	Incarnation uint64 `json:"incarnation"`
}

// Crash is a crash of a backend server while a request was in flight there.
type Crash struct {
	CrashID
	// Alone is true if the request was quarantined and ran alone.
	Alone bool `json:"alone,omitempty"`
	// Cleared is true if the request succeeded after the crash was known.
	Cleared bool `json:"cleared,omitempty"`
	// AgeMS is the time since the crash in milliseconds, so that a crash does not count longer for nodes that hear of it late.
	AgeMS int64 `json:"age_ms,omitempty"`
}

// Record is what nodes tell each other about a fingerprint.
type Record struct {
	Fingerprint string  `json:"fingerprint"`
	Service     string  `json:"service"`
	Crashes     []Crash `json:"crashes"`
}

// Action says how a request may run.
type Action int

// Actions for a request.
const (
	RunNormally Action = iota
	RunAlone
	Refuse
)

// String returns the name used in logs.
func (a Action) String() string {
	return [...]string{"run", "run-alone", "refuse"}[a]
}

// Decision is the action for a request. Endpoint is set for RunAlone.
type Decision struct {
	Action   Action
	Endpoint string
}

// Options configure a Store. Zero values mean the defaults.
type Options struct {
	Period time.Duration
	// MaxCrashes is the number of crashes from which a fingerprint is refused, if one of them happened alone.
	MaxCrashes int
	// Capacity is the maximum number of fingerprints.
	Capacity int
	// Memory is the memory for fingerprints and crashes. Without it, only their number is bounded.
	Memory Memory
}

// Memory is a number of bytes of which parts are reserved and released.
type Memory interface {
	Reserve(bytes int64) bool
	Release(bytes int64)
}

const (
	// suspectBytes and crashBytes are the memory of a fingerprint and of a crash without their texts.
	suspectBytes = 256
	crashBytes   = 128
	// maxTextBytes is the length of the longest text of a record that is taken.
	maxTextBytes = 1 << 10
)

// Store holds the suspects known to one node. It is not safe for concurrent use.
type Store struct {
	options  Options
	suspects map[string]*suspect
	evicted  uint64
}

type suspect struct {
	service string
	crashes map[CrashID]*crash
	latest  time.Duration
	// size is the memory that is reserved for it.
	size int64
}

type crash struct {
	alone   bool
	cleared bool
	seen    time.Duration
}

// New returns an empty store.
func New(options Options) *Store {
	s := &Store{suspects: make(map[string]*suspect)}
	s.Configure(options)
	return s
}

// Configure replaces the options. The suspects are kept.
func (s *Store) Configure(options Options) {
	options.Period = cmp.Or(options.Period, DefaultPeriod)
	options.MaxCrashes = cmp.Or(options.MaxCrashes, DefaultMaxCrashes)
	options.Capacity = cmp.Or(options.Capacity, DefaultCapacity)
	s.options = options
}

// Suspect records that a request was in flight when a backend server crashed. It returns the record to publish.
func (s *Store) Suspect(fingerprint, service string, c Crash, now time.Duration) Record {
	s.Merge(Record{Fingerprint: fingerprint, Service: service, Crashes: []Crash{c}}, now)
	if s.suspects[fingerprint] == nil {
		return Record{Fingerprint: fingerprint, Service: service, Crashes: []Crash{c}}
	}
	return s.record(fingerprint, now)
}

// Success clears a fingerprint of all crashes known so far. It returns the record to publish, and false if there was
// nothing to clear.
func (s *Store) Success(fingerprint string, now time.Duration) (Record, bool) {
	found, ok := s.suspects[fingerprint]
	if !ok || s.active(found, now) == (tally{}) {
		return Record{}, false
	}
	for _, c := range found.crashes {
		c.cleared = true
	}
	return s.record(fingerprint, now), true
}

// Crashes returns the number of crashes of a fingerprint that are neither cleared nor expired.
func (s *Store) Crashes(fingerprint string, now time.Duration) int {
	found := s.suspects[fingerprint]
	if found == nil {
		return 0
	}
	return s.active(found, now).crashes
}

// Record returns the record of a fingerprint, with its cleared and expired crashes.
func (s *Store) Record(fingerprint string, now time.Duration) Record {
	if s.suspects[fingerprint] == nil {
		return Record{Fingerprint: fingerprint}
	}
	return s.record(fingerprint, now)
}

// Active returns the records of all fingerprints with at least the given number of crashes that are neither cleared nor
// expired, in the order of the fingerprints.
func (s *Store) Active(crashes int, now time.Duration) []Record {
	var records []Record
	for fingerprint := range s.suspects {
		if s.Crashes(fingerprint, now) >= crashes {
			records = append(records, s.record(fingerprint, now))
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return records
}

// Missing returns the record of a fingerprint if it clears a crash that the given record, received from another node, still
// counts.
func (s *Store) Missing(received Record, now time.Duration) (Record, bool) {
	found := s.suspects[received.Fingerprint]
	if found == nil {
		return Record{}, false
	}
	for _, c := range received.Crashes {
		if known := found.crashes[c.CrashID]; known != nil && known.cleared && !c.Cleared {
			return s.record(received.Fingerprint, now), true
		}
	}
	return Record{}, false
}

// Merge takes a record of another node. It returns true if it held anything new.
func (s *Store) Merge(record Record, now time.Duration) bool {
	changed := false
	if record.Fingerprint == "" || len(record.Fingerprint) > maxTextBytes || len(record.Service) > maxTextBytes {
		return false
	}
	for _, c := range record.Crashes {
		changed = s.merge(record, c, now) || changed
	}
	return changed
}

func (s *Store) merge(record Record, c Crash, now time.Duration) bool {
	seen := now - time.Duration(max(c.AgeMS, 0))*time.Millisecond
	if now >= seen+graveyardPeriods*s.options.Period || len(c.Endpoint) > maxTextBytes {
		return false
	}
	found := s.suspect(record.Fingerprint, record.Service, now)
	if found == nil {
		return false
	}
	known, ok := found.crashes[c.CrashID]
	if !ok {
		if len(found.crashes) >= crashLimit || !s.reserve(found, crashBytes+int64(len(c.Endpoint)), now) {
			return false
		}
		found.crashes[c.CrashID] = &crash{alone: c.Alone, cleared: c.Cleared, seen: seen}
		found.latest = max(found.latest, seen)
		return true
	}
	changed := c.Alone && !known.alone || c.Cleared && !known.cleared
	known.alone = known.alone || c.Alone
	known.cleared = known.cleared || c.Cleared
	return changed
}

// Decide returns how a request may run, given the endpoints of its service that are serving. Without any, a suspect is
// not refused but has no endpoint.
func (s *Store) Decide(fingerprint string, serving []string, now time.Duration) Decision {
	found, ok := s.suspects[fingerprint]
	if !ok {
		return Decision{Action: RunNormally}
	}
	active := s.active(found, now)
	switch {
	case active.crashes == 0:
		return Decision{Action: RunNormally}
	case active.alone > 0 && active.crashes >= s.options.MaxCrashes:
		return Decision{Action: Refuse}
	default:
		return Decision{Action: RunAlone, Endpoint: choose(fingerprint, serving)}
	}
}

// choose returns the endpoint that ranks first for a fingerprint, the same on every node that knows the same endpoints.
func choose(fingerprint string, serving []string) string {
	if len(serving) == 0 {
		return ""
	}
	return membership.Rank(fingerprint, serving)[0]
}

// Expire forgets fingerprints whose crashes are too old to be revived by late news.
func (s *Store) Expire(now time.Duration) {
	for fingerprint, found := range s.suspects {
		if now >= found.latest+graveyardPeriods*s.options.Period {
			s.remove(fingerprint)
		}
	}
}

// Len returns the number of fingerprints held, cleared and expired ones included.
func (s *Store) Len() int {
	return len(s.suspects)
}

// Evicted returns the number of fingerprints forgotten for lack of room.
func (s *Store) Evicted() uint64 {
	return s.evicted
}

// tally counts the crashes that are neither cleared nor expired.
type tally struct {
	crashes int
	alone   int
}

func (s *Store) active(found *suspect, now time.Duration) tally {
	var result tally
	for _, c := range found.crashes {
		if c.cleared || now >= c.seen+s.options.Period {
			continue
		}
		result.crashes++
		if c.alone {
			result.alone++
		}
	}
	return result
}

func (s *Store) record(fingerprint string, now time.Duration) Record {
	found := s.suspects[fingerprint]
	record := Record{Fingerprint: fingerprint, Service: found.service}
	for id, c := range found.crashes {
		record.Crashes = append(record.Crashes, Crash{
			CrashID: id, Alone: c.alone, Cleared: c.cleared, AgeMS: (now - c.seen).Milliseconds(),
		})
	}
	slices.SortFunc(record.Crashes, func(a, b Crash) int {
		return cmp.Or(cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return record
}

func (s *Store) suspect(fingerprint, service string, now time.Duration) *suspect {
	found, ok := s.suspects[fingerprint]
	if ok {
		return found
	}
	if len(s.suspects) >= s.options.Capacity {
		s.evict(nil, now)
	}
	found = &suspect{service: service, crashes: make(map[CrashID]*crash)}
	if !s.reserve(found, suspectBytes+int64(len(fingerprint)+len(service)), now) {
		return nil
	}
	s.suspects[fingerprint] = found
	return found
}

// reserve takes memory for a part of a suspect, if necessary that of others that matter less, and reports whether there is enough.
func (s *Store) reserve(owner *suspect, bytes int64, now time.Duration) bool {
	for s.options.Memory != nil && !s.options.Memory.Reserve(bytes) {
		if !s.evict(owner, now) {
			return false
		}
	}
	owner.size += bytes
	return true
}

func (s *Store) remove(fingerprint string) {
	if found := s.suspects[fingerprint]; found != nil && s.options.Memory != nil {
		s.options.Memory.Release(found.size)
	}
	delete(s.suspects, fingerprint)
}

// Clear forgets all fingerprints.
func (s *Store) Clear() {
	for fingerprint := range s.suspects {
		s.remove(fingerprint)
	}
}

// evict forgets the fingerprint that matters least: one that is not active, else one that only shared crashes, else the
// oldest. It spares one suspect and reports whether there was another.
func (s *Store) evict(spared *suspect, now time.Duration) bool {
	var least string
	var leastRank tally
	for fingerprint, found := range s.suspects {
		if found == spared {
			continue
		}
		rank := s.active(found, now)
		if least == "" || s.mattersLess(fingerprint, rank, least, leastRank) {
			least, leastRank = fingerprint, rank
		}
	}
	if least == "" {
		return false
	}
	s.remove(least)
	s.evicted++
	return true
}

func (s *Store) mattersLess(a string, aRank tally, b string, bRank tally) bool {
	order := cmp.Or(
		cmp.Compare(aRank.alone, bRank.alone),
		cmp.Compare(min(aRank.crashes, 1), min(bRank.crashes, 1)),
		cmp.Compare(s.suspects[a].latest, s.suspects[b].latest),
		cmp.Compare(a, b),
	)
	return order < 0
}

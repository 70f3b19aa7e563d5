package claims

import (
	"sync/atomic"

	"agatepulley.example/agatepulley/core/once"
)

// Stats is a copy of the counters of a Service.
type Stats struct {
	// Results of claims of this node's attempts.
	Granted  uint64 `json:"granted"`
	Claimed  uint64 `json:"claimed"`
	NoQuorum uint64 `json:"no_quorum"`
	Stale    uint64 `json:"stale"`
	// Votes of this node's recorders by answer.
	Votes map[string]uint64 `json:"votes"`
	// Recoveries are tables read from other members; Recovering are the recorders that do not vote yet.
	Recoveries uint64 `json:"recoveries"`
	Recovering int    `json:"recovering"`
	// Entries are the claims and released attempts held.
	Entries int `json:"entries"`
	// NoticesLost are releases and completions that did not reach a recorder.
	NoticesLost uint64 `json:"notices_lost"`
}

type counters struct {
	granted     atomic.Uint64
	claimed     atomic.Uint64
	noQuorum    atomic.Uint64
	stale       atomic.Uint64
	votes       [once.Void + 1]atomic.Uint64
	recoveries  atomic.Uint64
	noticesLost atomic.Uint64
}

func (c *counters) countVote(answer once.Answer) {
	c.votes[answer].Add(1)
}

// Stats returns a copy of the counters.
func (s *Service) Stats() Stats {
	stats := Stats{
		Granted:     s.counters.granted.Load(),
		Claimed:     s.counters.claimed.Load(),
		NoQuorum:    s.counters.noQuorum.Load(),
		Stale:       s.counters.stale.Load(),
		Votes:       make(map[string]uint64),
		Recoveries:  s.counters.recoveries.Load(),
		NoticesLost: s.counters.noticesLost.Load() + s.notices.Dropped(),
	}
	for answer := range s.counters.votes {
		if count := s.counters.votes[answer].Load(); count > 0 {
			stats.Votes[once.Answer(answer).String()] = count
		}
	}
	s.addRecorders(&stats)
	return stats
}

func (s *Service) addRecorders(stats *Stats) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Clock.Now()
	for _, r := range s.recorders {
		r.mu.Lock()
		stats.Entries += r.state.Len()
		if r.state.Recovering(now) {
			stats.Recovering++
		}
		r.mu.Unlock()
	}
}

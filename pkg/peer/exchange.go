package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"agatepulley.example/agatepulley/core/membership"
	"agatepulley.example/agatepulley/pkg/clock"
)

const (
	// tickInterval is how often the pause detector looks. A pause is a gap above pauseThreshold.
	tickInterval   = 250 * time.Millisecond
	pauseThreshold = time.Second
	// exchangeNews is the maximum number of news items in one exchange. pkg/news sends fewer.
	exchangeNews = 16
)

// exchangeMessage is both the request and the response of an exchange.
type exchangeMessage struct {
	Host        string          `json:"host"`
	Incarnation uint64          `json:"incarnation"`
	Zone        string          `json:"zone"`
	Address     string          `json:"address"`
	Summary     json.RawMessage `json:"summary,omitempty"`
	News        json.RawMessage `json:"news,omitempty"`
}

// runPeriodic detects pauses, closes idle connections and starts the exchanges.
func (s *Service) runPeriodic() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	pauses := clock.NewPauseDetector(pauseThreshold)
	var exchanging atomic.Bool
	next := s.nextExchange(s.options.Clock.Now())
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
		now := s.options.Clock.Now()
		if gap := pauses.Observe(now); gap > 0 {
			s.reportPause(gap)
		}
		s.closeIdle(now)
		if s.options.ExchangeInterval < 0 || now < next {
			continue
		}
		next = s.nextExchange(now)
		// An exchange that waits for a slow peer must not delay the pause detector.
		if exchanging.CompareAndSwap(false, true) {
			s.tasks.Go(func() {
				defer exchanging.Store(false)
				s.exchangeOnce()
			})
		}
	}
}

// nextExchange spreads the exchanges by up to a tenth, so that nodes started together do not stay in step.
func (s *Service) nextExchange(now time.Duration) time.Duration {
	interval := s.options.ExchangeInterval
	if interval <= 0 {
		return 0
	}
	return now + interval - tickInterval/2 + rand.N(interval/10+1)
}

func (s *Service) reportPause(gap time.Duration) {
	s.counters.pauses.Add(1)
	s.options.Logger.Warn("process was paused", slog.Duration("gap", gap))
	if s.options.OnPause != nil {
		s.options.OnPause(gap)
	}
}

func (s *Service) exchangeOnce() {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	member, ok := membership.PickPeer(random, s.options.Zone, s.Members())
	if !ok {
		return
	}
	if err := s.Exchange(s.ctx, member.Address); err != nil {
		s.options.Logger.Debug("exchange failed", slog.String("peer", member.Address), slog.Any("error", err))
	}
}

// Exchange performs one exchange with the node at address.
func (s *Service) Exchange(ctx context.Context, address string) error {
	var response exchangeMessage
	if err := s.Call(ctx, address, methodExchange, s.exchangeMessage(), &response); err != nil {
		return err
	}
	s.observe(address, &response)
	return nil
}

func (s *Service) handleExchange(_ context.Context, from string, params json.RawMessage) (any, error) {
	var request exchangeMessage
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, fmt.Errorf("decode exchange of %s: %w", from, err)
	}
	response := s.exchangeMessage()
	s.observe(request.Address, &request)
	return response, nil
}

func (s *Service) exchangeMessage() *exchangeMessage {
	message := &exchangeMessage{
		Host:        s.options.HostID,
		Incarnation: s.incarnation.Load(),
		Zone:        s.options.Zone,
		Address:     s.Address(),
	}
	if s.options.Summary != nil {
		text, err := json.Marshal(s.options.Summary())
		if err != nil {
			s.options.Logger.Error("encode configuration summary failed", slog.Any("error", err))
		} else {
			message.Summary = text
		}
	}
	if s.options.News != nil {
		message.News = s.options.News.Batch(exchangeNews)
	}
	return message
}

func (s *Service) observe(address string, message *exchangeMessage) {
	if s.options.ObserveHost != nil {
		s.options.ObserveHost(message.Host, message.Incarnation, message.Zone, address)
	}
	if s.options.ObserveSummary != nil && message.Summary != nil {
		s.options.ObserveSummary(address, message.Summary)
	}
	if s.options.News != nil && message.News != nil {
		s.options.News.Receive(address, message.News)
	}
}

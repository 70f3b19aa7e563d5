package claims

import (
	"context"
	"log/slog"
	"time"

	"agatepulley.example/agatepulley/core/once"
)

const (
	// noticeTries and noticeRetry bound how often a release or completion is sent. One that is lost leaves the key
	// claimed, or its status unknown, at one recorder for the window.
	noticeTries = 3
	noticeRetry = 200 * time.Millisecond
	// flushLimit is how long a node that stops waits for its notices; flushInterval is how often it looks.
	flushLimit    = 2 * time.Second
	flushInterval = 10 * time.Millisecond
)

// notice is a release or a completion for one member.
type notice struct {
	method  string
	member  string
	address string
	message noticeMessage
}

// notify records a release or completion at this host and queues it for the other members.
func (s *Service) notify(method string, r Request, status int) {
	snapshot := s.options.Current()
	group, ok := groupOf(snapshot, r.Service)
	if !ok {
		return
	}
	message := noticeMessage{
		Service: r.Service,
		Key:     once.HashID(r.Key),
		Attempt: s.attemptID(r),
		Status:  status,
	}
	for _, member := range group.All() {
		if member == s.options.HostID {
			if err := s.record(method, message); err != nil {
				s.options.Logger.Error("record notice failed", slog.String("method", method), slog.Any("error", err))
			}
			continue
		}
		address, err := addressOf(snapshot, member)
		if err != nil {
			continue
		}
		// If the ring is full, the new notice takes the place of the oldest one.
		if s.notices.Push(notice{method: method, member: member, address: address, message: message}) {
			s.pending.Add(1)
		}
	}
}

// runNotices sends the queued notices, a bounded number at a time.
func (s *Service) runNotices() {
	slots := make(chan struct{}, noticeConcurrency)
	for {
		n, err := s.notices.Pop(s.ctx)
		if err != nil {
			return
		}
		select {
		case slots <- struct{}{}:
		case <-s.ctx.Done():
			return
		}
		s.tasks.Go(func() {
			defer func() { <-slots }()
			defer s.pending.Add(-1)
			s.deliver(n)
		})
	}
}

// flush waits until the notices are sent. Without them the recorders would hold the keys of a node that was shut down as
// planned, or not know the status of its requests.
func (s *Service) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushLimit)
	defer cancel()
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for s.pending.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Service) deliver(n notice) {
	for try := range noticeTries {
		if try > 0 && !s.sleep(noticeRetry) {
			return
		}
		ctx, cancel := context.WithTimeout(s.ctx, once.DispatchLimit)
		err := s.options.Network.Call(ctx, n.address, n.method, n.message, nil)
		cancel()
		if err == nil {
			return
		}
		s.options.Logger.Debug("notice failed", slog.String("method", n.method), slog.String("member", n.member),
			slog.Any("error", err))
	}
	s.counters.noticesLost.Add(1)
}

// sleep waits and reports whether the service still runs.
func (s *Service) sleep(wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.ctx.Done():
		return false
	}
}

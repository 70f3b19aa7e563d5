package node

import (
	"context"
	"sync"
	"time"

	"agatepulley.example/agatepulley/core/quarantine"
	"agatepulley.example/agatepulley/pkg/clock"
	"agatepulley.example/agatepulley/pkg/config"
	"agatepulley.example/agatepulley/pkg/memory"
	"agatepulley.example/agatepulley/pkg/owner"
	"agatepulley.example/agatepulley/pkg/telemetry"
)

// suspects holds the requests suspected of crashing backend servers, one store for each service. It is safe for
// concurrent use.
type suspects struct {
	clock   clock.Clock
	metrics *telemetry.Metrics
	tables  *memory.Budget
	// publish tells the other nodes of a record.
	publish func(quarantine.Record)

	mu     sync.Mutex
	stores map[string]*quarantine.Store
}

func newSuspects(c clock.Clock, metrics *telemetry.Metrics, tables *memory.Budget) *suspects {
	return &suspects{clock: c, metrics: metrics, tables: tables, stores: make(map[string]*quarantine.Store)}
}

// update creates the stores of services that a new configuration adds and drops those of services it removes.
func (s *suspects) update(snapshot *config.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := make(map[string]*quarantine.Store)
	for i := range snapshot.Document().Services {
		service := snapshot.Service(snapshot.Document().Services[i].Name)
		options := quarantine.Options{
			Period:     config.Millis(service.Quarantine.PeriodMS),
			MaxCrashes: service.Quarantine.MaxCrashes,
			Memory:     s.tables,
		}
		store := s.stores[service.Name]
		if store == nil {
			store = quarantine.New(options)
		} else {
			store.Configure(options)
		}
		kept[service.Name] = store
	}
	for name, store := range s.stores {
		if kept[name] == nil {
			store.Clear()
		}
	}
	s.stores = kept
}

// Decide implements ingress.Suspects.
func (s *suspects) Decide(service, fingerprint string, serving func() []string) quarantine.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	store := s.stores[service]
	if store == nil || store.Len() == 0 {
		return quarantine.Decision{}
	}
	return store.Decide(fingerprint, serving(), s.clock.Now())
}

// Place implements owner.Quarantine. The ingress has chosen the endpoint. The owner does not choose again, because it
// may know of other endpoints that are down than the ingress does, and the two would then never agree.
func (s *suspects) Place(service, fingerprint string) owner.Placement {
	none := func() []string { return nil }
	switch s.Decide(service, fingerprint, none).Action {
	case quarantine.RunNormally:
		return owner.PlaceNormally
	case quarantine.RunAlone:
		return owner.PlaceAlone
	default:
		return owner.PlaceNowhere
	}
}

// Crashed implements owner.Quarantine.
func (s *suspects) Crashed(service, fingerprint string, crash owner.Crash) {
	s.mu.Lock()
	store := s.stores[service]
	if store == nil {
		s.mu.Unlock()
		return
	}
	s.metrics.CrashSuspect(service)
	record := store.Suspect(fingerprint, service, quarantine.Crash{
		CrashID: quarantine.CrashID{Endpoint: crash.Endpoint, Incarnation: crash.Incarnation},
		Alone:   crash.Alone,
	}, s.clock.Now())
	s.mu.Unlock()
	s.publish(record)
}

// Succeeded implements owner.Quarantine.
func (s *suspects) Succeeded(service, fingerprint string) {
	s.mu.Lock()
	store := s.stores[service]
	if store == nil || store.Len() == 0 {
		s.mu.Unlock()
		return
	}
	record, cleared := store.Success(fingerprint, s.clock.Now())
	s.mu.Unlock()
	if cleared {
		s.publish(record)
	}
}

// Record implements owner.Quarantine.
func (s *suspects) Record(service, fingerprint string) quarantine.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	store := s.stores[service]
	if store == nil {
		return quarantine.Record{Fingerprint: fingerprint}
	}
	return store.Record(fingerprint, s.clock.Now())
}

// Learn takes a record of another node. It implements ingress.Suspects.
func (s *suspects) Learn(record quarantine.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if store := s.stores[record.Service]; store != nil {
		store.Merge(record, s.clock.Now())
	}
}

// expirePeriod is how often old fingerprints are forgotten.
const expirePeriod = time.Minute

// run forgets old fingerprints until the context ends.
func (s *suspects) run(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, expirePeriod)
		s.expire()
	}
}

// expire forgets fingerprints that no longer matter.
func (s *suspects) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, store := range s.stores {
		store.Expire(s.clock.Now())
	}
}

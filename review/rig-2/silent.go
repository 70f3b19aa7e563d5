//go:build review2

package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	configApply = 2 * time.Second
	// silence is how long the store gives no answer to the machines that read it.
	silence = 6 * time.Second
	// readers is the number of machines that read the store in calm: a third of all.
	readers = 3
)

// silentReaders plays case 6, three times: the store gives no answer to three of nine machines, those that read it, and the operator
// moves a route just after. The other machines are not disturbed.
func silentReaders(f *fleet, trouble bool) (int, error) {
	for _, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		for _, service := range []string{"desk", "desk", "hall"} {
			if _, err := f.add(zone, service, 20*time.Millisecond); err != nil {
				return 0, err
			}
		}
	}
	services := []string{"desk", "hall"}
	f.publish(3, route{"r-1", "/book/", "unsafe", services[0]}, route{"r-2", "/look/", "safe", "hall"})
	if err := f.startAll(); err != nil {
		return 0, err
	}
	broken := 0
	for round := 1; round <= 3; round++ {
		count, err := f.moveRoute(trouble, 3+4*round, services[(round-1)%2], services[round%2])
		if err != nil {
			return 0, err
		}
		broken += count
	}
	return broken, nil
}

// moveRoute moves a route from one service to another while the store is silent for the machines that read it. It returns the number
// of requests that were sent later than configApply and run by the old service.
func (f *fleet) moveRoute(trouble bool, version int, from, to string) (int, error) {
	reading, err := f.awaitReaders(readers)
	if err != nil {
		return 0, err
	}
	if trouble {
		f.store.setSilent(reading...)
		f.record.add("the store gives no answer to %s", strings.Join(reading, ", "))
	}
	time.Sleep(20 * time.Millisecond)
	acked := f.publish(version, route{"r-1", "/book/", "unsafe", to}, route{"r-2", "/look/", "safe", "hall"})
	all := f.book(acked.Add(silence), reading)
	f.store.setSilent()
	f.record.add("the store answers all machines")
	if len(all) < 100 {
		return 0, fmt.Errorf("only %d requests were sent", len(all))
	}
	runs, broken := f.runs(), 0
	for _, s := range all {
		late := s.at.Sub(acked)
		for _, r := range runs[s.id] {
			if late > configApply && r.service == from {
				broken++
				f.record.add("CONFIG: %s was sent to %s %v after the acknowledgement of version %d and run by %s of %s", s.id, s.from.name, late, version, r.endpoint, r.service)
			}
		}
	}
	return broken, nil
}

// book sends requests to all machines but some until a time.
func (f *fleet) book(until time.Time, except []string) []sent {
	var mu sync.Mutex
	var all []sent
	var clients sync.WaitGroup
	for _, m := range f.machines {
		if slices.Contains(except, m.name) {
			continue
		}
		clients.Go(func() {
			client := newClient(true)
			for time.Now().Before(until) {
				s := f.send(client, m, http.MethodPost, "/book/2f", []byte("one place"))
				mu.Lock()
				all = append(all, s)
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	return all
}

// awaitReaders waits until no more than a number of machines read the store, and returns them. After the start of the fleet and after
// a disruption further ones do for some seconds.
func (f *fleet) awaitReaders(most int) ([]string, error) {
	const (
		settled = 3 * time.Second
		limit   = 30 * time.Second
	)
	var reading []string
	for begin := time.Now(); time.Since(begin) < limit; time.Sleep(200 * time.Millisecond) {
		if time.Since(begin) < 2*settled {
			continue
		}
		if reading = f.store.callersSince(time.Now().Add(-settled)); len(reading) <= most {
			f.record.add("the store was called in the last %v by %s", settled, strings.Join(reading, ", "))
			return reading, nil
		}
	}
	return nil, fmt.Errorf("%d machines read the store, more than %d", len(reading), most)
}

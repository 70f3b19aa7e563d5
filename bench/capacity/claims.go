package main

import (
	"context"
	"encoding/base64"
	"fmt"
	"runtime"
	"strconv"
	"sync/atomic"
	"time"

	"agatepulley.example/agatepulley/core/once"
	"agatepulley.example/agatepulley/pkg/claims"
	"agatepulley.example/agatepulley/pkg/clock"
	"agatepulley.example/agatepulley/pkg/config"
	"agatepulley.example/agatepulley/pkg/peer"
)

const (
	// recorders is the size of a recorder group.
	recorders   = 5
	claimWindow = 2 * time.Minute
	// claimCalls is the number of keyed requests of one timed run.
	claimCalls = 2000
	// claimBatch is the number of keyed requests between two waits for the answers of the recorders.
	claimBatch = 100
)

// measureClaims measures the table of a recorder, the messages of keyed requests and the recovery of a recorder.
func measureClaims(ctx context.Context, o *options) error {
	var heaps []point
	for _, keys := range []int{4096, 8192, 16_384, 32_768} {
		before := liveHeap()
		r, _ := filledRecorder(keys)
		heaps = append(heaps, point{float64(keys), liveHeap() - before})
		runtime.KeepAlive(r)
	}
	if err := fitted("heap of a recorder by keys", heaps, once.DefaultCapacity, unitBytes, targetMemory); err != nil {
		return err
	}
	if err := measureRecovery(o); err != nil {
		return err
	}
	return measureClaimMessages(ctx, o)
}

// filledRecorder returns a recorder that holds the given number of completed claims, and the time of the last one.
func filledRecorder(keys int) (*once.Recorder, time.Duration) {
	group := once.Group{Generation: 1, Members: members(), Window: claimWindow}
	r := once.NewRecorder(hostID(0), 1, 0, once.DefaultCapacity)
	r.Configure(group, 0)
	now := once.Retention(claimWindow)
	for i := range keys {
		key, attempt := once.HashID("key-"+strconv.Itoa(i)), once.HashID("attempt-"+strconv.Itoa(i))
		r.Claim(group.Claim(key, attempt), now)
		r.Complete(key, attempt, 200, now)
	}
	return r, now
}

func members() []string {
	var ids []string
	for i := range recorders {
		ids = append(ids, hostID(i))
	}
	return ids
}

// measureRecovery measures the bytes and the processor time to read the tables of the four other members.
func measureRecovery(o *options) error {
	var sizes, times []point
	for _, keys := range []int{4096, 8192, 16_384, 24_576} {
		source, now := filledRecorder(keys)
		bytes := 0
		median, _, _, err := o.median(func() error {
			restarted := once.NewRecorder(hostID(0), 2, now, once.DefaultCapacity)
			bytes = recoverFrom(source, restarted, now)
			if restarted.Recovering(now + once.DispatchLimit*2) {
				return fmt.Errorf("recovery of %d keys did not complete", keys)
			}
			return nil
		})
		if err != nil {
			return err
		}
		sizes = append(sizes, point{float64(keys), float64(bytes)})
		times = append(times, point{float64(keys), median / 1e6})
	}
	source, now := filledRecorder(once.DefaultCapacity)
	restarted := once.NewRecorder(hostID(0), 2, now, once.DefaultCapacity)
	recoverFrom(source, restarted, now)
	complete := 1.0
	if restarted.Recovering(now + 2*once.DispatchLimit) {
		complete = 0
	}
	figure("recoveries from full tables that complete", complete, unitCount, "1")
	if err := fitted("bytes to recover a recorder by keys", sizes, once.DefaultCapacity, unitBytes, noTarget); err != nil {
		return err
	}
	return fitted("processor time to recover a recorder by keys", times, once.DefaultCapacity, unitMillis, noTarget)
}

// recoverFrom lets a restarted recorder read the tables of all other members, which are alike. It returns the bytes of
// the records on the way.
func recoverFrom(source, restarted *once.Recorder, now time.Duration) int {
	restarted.Configure(source.Group(), now)
	at := now + 2*once.DispatchLimit
	bytes := 0
	for member, request := range restarted.BeginRecovery(at) {
		for next := &request; next != nil; {
			response := source.ReadTable(*next, at)
			response.Member = member
			bytes += base64.StdEncoding.EncodedLen(len(response.Records))
			next = restarted.Recovered(response, at)
		}
	}
	return bytes
}

// shiftedClock is the process clock plus an offset, with which a recorder group gets past its first window.
type shiftedClock struct {
	clock.Clock
	offset atomic.Int64
}

// Now implements clock.Clock.
func (c *shiftedClock) Now() time.Duration {
	return c.Clock.Now() + time.Duration(c.offset.Load())
}

// claimFleet is an owner and a recorder group in this process, connected by TCP on loopback.
type claimFleet struct {
	peers  []*peer.Service
	claims []*claims.Service
}

func newClaimFleet(ctx context.Context) (*claimFleet, error) {
	f := &claimFleet{}
	shifted := &shiftedClock{Clock: clock.NewMonotonic()}
	document := newDocument(scale{hosts: recorders + 1, services: 1, endpoints: 1, routes: 1})
	var current atomic.Pointer[config.Snapshot]
	for i := range document.Hosts {
		p := peer.New(peer.Options{HostID: hostID(i), Listen: "127.0.0.1:0", ExchangeInterval: -1})
		if err := p.Start(ctx); err != nil {
			return f, err
		}
		f.peers = append(f.peers, p)
		f.claims = append(f.claims, claims.New(claims.Options{
			HostID: hostID(i), Incarnation: 1, Network: p, Current: current.Load, Clock: shifted,
		}))
		if err := setAddress(&document.Hosts[i], p.Address(), i); err != nil {
			return f, err
		}
	}
	snapshot, err := config.FromDocument(document)
	if err != nil {
		return f, err
	}
	current.Store(snapshot)
	shifted.offset.Store(int64(2 * claimWindow))
	for _, c := range f.claims {
		if err := c.Start(ctx); err != nil {
			return f, err
		}
	}
	return f, nil
}

func (f *claimFleet) stop(ctx context.Context) {
	for _, c := range f.claims {
		_ = c.Stop(ctx)
	}
	for _, p := range f.peers {
		_ = p.Stop(ctx)
	}
}

// sent returns the messages and bytes that all nodes have sent.
func (f *claimFleet) sent() (messages, bytes float64) {
	for _, p := range f.peers {
		stats := p.Stats()
		messages += float64(stats.Sent.Messages)
		bytes += float64(stats.Sent.Bytes)
	}
	return messages, bytes
}

// measureClaimMessages lets an owner that is not a recorder claim and complete keys.
func measureClaimMessages(ctx context.Context, o *options) error {
	f, err := newClaimFleet(ctx)
	defer f.stop(ctx)
	if err != nil {
		return err
	}
	owner := f.claims[recorders]
	calls := 0
	claimAll := func() error {
		for range claimCalls {
			calls++
			r := claims.Request{
				Service: serviceName(0), Key: fmt.Sprintf("booking-%08d-%04d", o.Seed, calls),
				Attempt: fmt.Sprintf("%s.%d", hostID(recorders), calls),
			}
			if verdict := owner.Claim(ctx, r); !verdict.Granted {
				return fmt.Errorf("claim %d: %s", calls, verdict.Reason)
			}
			owner.Complete(r, 200)
			// Completions are sent in the background; waiting for them keeps their queue from overflowing.
			if calls%claimBatch == 0 {
				f.awaitAnswers(ctx, calls)
			}
		}
		return nil
	}
	messages, bytes := f.sent()
	o = &options{Repeat: min(o.Repeat, 5), Seed: o.Seed}
	median, least, most, err := o.median(claimAll)
	if err != nil {
		return err
	}
	moreMessages, moreBytes := f.sent()
	figure("messages per keyed request, both directions", (moreMessages-messages)/float64(calls), unitCount, noTarget)
	figure("bytes per keyed request, both directions", (moreBytes-bytes)/float64(calls), unitBytes, noTarget)
	figure("processor time per keyed request, owner and recorders", median/claimCalls/1e3, unitMicros, noTarget)
	figure("processor time per keyed request least", least/claimCalls/1e3, unitMicros, noTarget)
	figure("processor time per keyed request most", most/claimCalls/1e3, unitMicros, noTarget)
	return nil
}

// awaitAnswers waits until the recorders have answered all claims and completions so far.
func (f *claimFleet) awaitAnswers(ctx context.Context, calls int) {
	const perRequest = 2 * recorders
	for ctx.Err() == nil {
		answered := uint64(0)
		for _, stats := range f.peers[recorders].Stats().Methods {
			answered += stats.ResultsIn.Messages + stats.Failures
		}
		if answered >= uint64(calls*perRequest) {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

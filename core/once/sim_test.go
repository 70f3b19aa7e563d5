package once_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"pgregory.net/rapid"

	"agatepulley.example/agatepulley/core/once"
)

// weakness is a mechanism that the simulation switches off.
type weakness string

const (
	none              weakness = ""
	noDispatchLimit   weakness = "dispatch limit"
	noDispatchMargin  weakness = "dispatch margin in the retention"
	noRecovery        weakness = "recovery"
	noTableKnown      weakness = "incarnations in tables"
	noReports         weakness = "incarnation reports"
	noReleasedMemory  weakness = "released-attempt memory"
	noGenerationCheck weakness = "generation check"
	noJointMajorities weakness = "joint majorities"
	noFence           weakness = "fence"
	noInheritance     weakness = "inherited claims support no grant"
)

const (
	maxAttempts = 8

	window = 5 * time.Second
	key    = "charge-1"
)

// message is in flight until it is delivered or lost.
type message struct {
	label   string
	deliver func()
}

type host struct {
	id          string
	document    int
	incarnation uint64
	recorder    *once.Recorder
	// old is a replaced process of the host that still runs.
	old *once.Recorder
}

type attempt struct {
	id         once.ID
	name       string
	owner      *host
	group      once.Group
	tally      *once.Tally
	released   bool
	dispatched []time.Duration
}

// sim runs recorders and owners on a network that loses, repeats, delays and reorders messages.
type sim struct {
	weak      weakness
	now       time.Duration
	documents []once.Group
	hosts     []*host
	messages  []message
	attempts  []*attempt
	toOld     bool
	log       []string
}

// documents returns the versions of the group: two changes, each first with the previous group listed, then without.
func documents(size int) []once.Group {
	members := func(from int) []string {
		var ids []string
		for i := range size {
			ids = append(ids, fmt.Sprintf("h%d", (from+i)%(size+2)))
		}
		return ids
	}
	first, second, third := members(0), members(2), members(4)
	return []once.Group{
		{Generation: 1, Members: first, Window: window},
		{Generation: 2, Members: second, Previous: first, Window: window},
		{Generation: 2, Members: second, Window: window},
		{Generation: 3, Members: third, Previous: second, Window: window},
		{Generation: 3, Members: third, Window: window},
	}
}

func newSim(size int, weak weakness, recovered bool) *sim {
	s := &sim{weak: weak, documents: documents(size)}
	for i := range size + 2 {
		h := &host{id: fmt.Sprintf("h%d", i)}
		s.hosts = append(s.hosts, h)
		s.boot(h, s.now)
	}
	if recovered {
		s.now = once.Retention(window)
	}
	return s
}

func (s *sim) logf(format string, arguments ...any) {
	s.log = append(s.log, fmt.Sprintf("%v ", s.now)+fmt.Sprintf(format, arguments...))
}

// document returns the group as recorders get it.
func (s *sim) document(index int) once.Group {
	group := s.documents[index]
	if s.weak == noDispatchMargin {
		group.Window -= once.Retention(window) - window
	}
	return group
}

func (s *sim) boot(h *host, started time.Duration) {
	if s.weak == noRecovery {
		started -= once.Retention(window)
	}
	h.incarnation++
	h.recorder = once.NewRecorder(h.id, h.incarnation, started, 64)
	h.recorder.Configure(s.document(h.document), s.now)
}

func (s *sim) host(id string) *host {
	return s.hosts[slices.IndexFunc(s.hosts, func(h *host) bool { return h.id == id })]
}

func (s *sim) send(label string, deliver func()) {
	s.messages = append(s.messages, message{label: label, deliver: deliver})
}

// receiver returns the process of a host that gets a message: the current one, or the replaced one if that is chosen.
func (s *sim) receiver(h *host) *once.Recorder {
	if s.toOld && h.old != nil {
		return h.old
	}
	return h.recorder
}

func (s *sim) start(owner *host) {
	a := &attempt{name: fmt.Sprintf("a%d", len(s.attempts)), owner: owner, group: s.documents[owner.document]}
	a.id = once.HashID(a.name)
	s.attempts = append(s.attempts, a)
	counted, started := a.group, s.now
	if s.weak == noJointMajorities {
		counted.Previous = nil
	}
	if s.weak == noDispatchLimit {
		started += time.Hour
	}
	a.tally = once.NewTally(counted, started)
	s.logf("%s starts at %s in generation %d", a.name, owner.id, a.group.Generation)
	for _, member := range a.group.All() {
		h := s.host(member)
		s.send(fmt.Sprintf("claim %s to %s", a.name, member), func() { s.claim(a, h) })
	}
}

func (s *sim) claim(a *attempt, h *host) {
	recorder := s.receiver(h)
	claim := a.group.Claim(once.HashID(key), a.id)
	if s.weak == noGenerationCheck {
		claim.Generation = recorder.Group().Generation
	}
	if s.weak == noFence {
		claim.Joint = true
	}
	vote := recorder.Claim(claim, s.now)
	if s.weak == noReports {
		vote.Known = nil
	}
	s.logf("%s/%d votes %v on %s", h.id, vote.Incarnation, vote.Answer, a.name)
	s.send(fmt.Sprintf("vote of %s to %s", h.id, a.name), func() {
		before := a.tally.Expire(s.now)
		if decision := a.tally.Add(vote, s.now); decision == once.Won && before != decision {
			s.logf("%s has won with %s/%d", a.name, h.id, vote.Incarnation)
		}
	})
}

func (s *sim) dispatch(a *attempt) {
	won := a.tally.Valid(s.now)
	if s.weak == noDispatchLimit {
		won = a.tally.Expire(s.now) == once.Won
	}
	if !won || a.released || len(a.dispatched) > 0 {
		return
	}
	s.logf("%s dispatched", a.name)
	a.dispatched = append(a.dispatched, s.now)
}

func (s *sim) release(a *attempt) {
	if len(a.dispatched) > 0 || a.released {
		return
	}
	a.released = true
	s.logf("%s released", a.name)
	for _, member := range a.group.All() {
		h := s.host(member)
		s.send(fmt.Sprintf("release %s to %s", a.name, member), func() {
			recorder := s.receiver(h)
			recorder.Release(once.HashID(key), a.id, s.now)
			s.logf("%s/%d releases %s", h.id, recorder.Incarnation(), a.name)
			if s.weak == noReleasedMemory {
				recorder.ForgetReleased()
			}
		})
	}
}

func (s *sim) complete(a *attempt) {
	if len(a.dispatched) == 0 {
		return
	}
	for _, member := range a.group.All() {
		h := s.host(member)
		s.send(fmt.Sprintf("complete %s to %s", a.name, member), func() {
			s.receiver(h).Complete(once.HashID(key), a.id, 200, s.now)
		})
	}
}

// restart kills the process of a host, or leaves it running beside its replacement.
func (s *sim) restart(h *host, keep bool, document int) {
	h.old = nil
	if keep && !slices.ContainsFunc(s.hosts, func(other *host) bool { return other.old != nil }) {
		h.old = h.recorder
	} else {
		// The owner that ran on this host forgets its claims with the process.
		for _, a := range s.attempts {
			if a.owner == h {
				a.released = true
			}
		}
	}
	h.document = document
	s.boot(h, s.now)
	s.logf("%s restarts as %d (old process kept: %v, document %d)", h.id, h.incarnation, h.old != nil, document)
}

func (s *sim) recover(h *host) {
	recorder := h.recorder
	requests := recorder.BeginRecovery(s.now)
	for _, member := range h.recorder.Group().All() {
		if request, ok := requests[member]; ok {
			s.read(h, recorder, member, request)
		}
	}
}

func (s *sim) read(reader *host, recorder *once.Recorder, member string, request once.RecoverRequest) {
	s.send(fmt.Sprintf("read of %s at %s", reader.id, member), func() {
		response := s.receiver(s.host(member)).ReadTable(request, s.now)
		s.logf("%s/%d reads table of %s/%d (recovering %v, %d bytes)",
			reader.id, request.Incarnation, member, response.Incarnation, response.Recovering, len(response.Records))
		s.send(fmt.Sprintf("table of %s to %s", member, reader.id), func() {
			if s.weak == noTableKnown {
				response.Known = nil
			}
			next := recorder.Recovered(response, s.now)
			if s.weak == noInheritance {
				recorder.TrustInherited()
			}
			if next != nil {
				s.read(reader, recorder, member, *next)
			}
			if !recorder.Recovering(s.now) {
				s.logf("%s/%d has recovered", reader.id, recorder.Incarnation())
			}
		})
	})
}

func (s *sim) adopt(h *host, document int) {
	if document <= h.document || document >= len(s.documents) {
		return
	}
	h.document = document
	h.recorder.Configure(s.document(document), s.now)
	s.logf("%s adopts document %d", h.id, document)
}

func (s *sim) askFence(h *host) {
	recorder := h.recorder
	for _, member := range recorder.FenceTargets() {
		s.send(fmt.Sprintf("fence of %s at %s", h.id, member), func() {
			generation := s.host(member).recorder.Group().Generation
			s.send(fmt.Sprintf("generation of %s to %s", member, h.id), func() {
				recorder.ObserveGeneration(member, generation, s.now)
				s.logf("%s learns generation %d of %s", h.id, generation, member)
			})
		})
	}
}

// deliver hands over a message. It stays in flight if it is to be repeated.
func (s *sim) deliver(index int, repeat bool) {
	m := s.messages[index]
	if !repeat {
		s.messages = slices.Delete(s.messages, index, index+1)
	}
	m.deliver()
}

// deliverMatching delivers, in order, all messages whose label has one of the texts, and those that they cause if these
// match as well.
func (s *sim) deliverMatching(texts ...string) {
	for i := 0; i < len(s.messages); {
		matches := func(text string) bool { return strings.Contains(s.messages[i].label, text) }
		if slices.ContainsFunc(texts, matches) {
			s.deliver(i, false)
			continue
		}
		i++
	}
}

// violation returns a description of two attempts dispatched within one window, or "".
func (s *sim) violation() string {
	for i, a := range s.attempts {
		for _, b := range s.attempts[i+1:] {
			if len(a.dispatched) == 0 || len(b.dispatched) == 0 {
				continue
			}
			if gap := (a.dispatched[0] - b.dispatched[0]).Abs(); gap < window {
				return fmt.Sprintf("%s and %s dispatched within %v", a.name, b.name, gap)
			}
		}
	}
	return ""
}

// action is one step of a random run.
type action struct {
	Kind string
	A, B int
}

// Kinds of actions. A run draws its actions from one of the profiles, so that faults which matter together meet often.
var (
	attemptKinds = []string{"start", "start", "win", "win", "win", "vote", "vote", "vote", "dispatch", "dispatch", "release", "complete"}
	networkKinds = []string{"ask", "deliver", "deliver", "repeat", "drop", "deliver-to", "deliver-to", "deliver-all"}
	restartKinds = []string{"restart", "restart", "recover", "recover-now", "recover-now", "recover-now"}
	replaceKinds = []string{"replace", "to-old", "to-old", "recover-now"}
	groupKinds   = []string{"adopt", "adopt", "adopt", "adopt", "adopt", "fence", "fence"}
	timeKinds    = []string{"advance", "advance"}

	profiles = [][]string{
		slices.Concat(attemptKinds, timeKinds),
		slices.Concat(attemptKinds, networkKinds, timeKinds),
		slices.Concat(attemptKinds, restartKinds, timeKinds),
		slices.Concat(attemptKinds, restartKinds, networkKinds),
		slices.Concat(attemptKinds, replaceKinds),
		slices.Concat(attemptKinds, groupKinds),
		slices.Concat(attemptKinds, groupKinds, timeKinds, restartKinds),
		slices.Concat(attemptKinds, networkKinds, restartKinds, replaceKinds, groupKinds, timeKinds),
		{"start", "start", "ask", "ask", "win", "win", "win", "restart", "recover-now", "recover-now"},
		{"start", "start", "win", "win", "win", "replace", "to-old", "recover-now", "recover-now"},
		{"start", "start", "win", "win", "win", "adopt", "adopt", "adopt", "fence", "fence", "advance"},
	}
)

var advances = []time.Duration{
	10 * time.Millisecond, 400 * time.Millisecond, 900 * time.Millisecond, once.DispatchLimit, window - time.Second, window,
	once.Retention(window),
}

func actions(kinds []string) *rapid.Generator[[]action] {
	one := rapid.Custom(func(t *rapid.T) action {
		return action{
			Kind: rapid.SampledFrom(kinds).Draw(t, "kind"),
			A:    rapid.IntRange(0, 23).Draw(t, "a"),
			B:    rapid.IntRange(0, 127).Draw(t, "b"),
		}
	})
	return rapid.SliceOfN(one, 15, 70)
}

func (s *sim) apply(step action) {
	h := s.hosts[step.A%len(s.hosts)]
	switch step.Kind {
	case "start":
		if len(s.attempts) < maxAttempts {
			s.start(h)
		}
	case "restart":
		s.restart(h, false, s.rebootDocument(h, step.B))
	case "replace":
		s.restart(h, true, s.rebootDocument(h, step.B))
	case "recover":
		s.recover(h)
	case "recover-now":
		s.recover(h)
		s.deliverSubset([]string{"read of " + h.id + " at ", "table of "}, step.B)
	case "advance":
		s.now += advances[step.A%len(advances)]
	case "adopt":
		s.adopt(h, min(h.document+1+step.B%2, len(s.documents)-1))
	case "fence":
		s.askFence(h)
		s.deliverMatching("fence of "+h.id, "generation of")
	case "to-old":
		s.toOld = !s.toOld
	case "deliver-all":
		s.deliverMatching("")
	case "deliver-to":
		s.deliverMatching("to "+h.id, "at "+h.id)
	default:
		s.applyToMessage(step)
		s.applyToAttempt(step)
	}
}

// rebootDocument returns the version that a restarted host begins with: usually the one it had, sometimes an older one.
func (s *sim) rebootDocument(h *host, choice int) int {
	if choice%4 == 0 {
		return max(h.document-1, 0)
	}
	return h.document
}

func (s *sim) applyToMessage(step action) {
	if len(s.messages) == 0 {
		return
	}
	index := (step.A + step.B) % len(s.messages)
	switch step.Kind {
	case "deliver":
		s.deliver(index, false)
	case "repeat":
		s.deliver(index, true)
	case "drop":
		s.messages = slices.Delete(s.messages, index, index+1)
	}
}

func (s *sim) applyToAttempt(step action) {
	if len(s.attempts) == 0 {
		return
	}
	// Mostly the latest attempts, as the earlier ones are usually decided.
	a := s.attempts[len(s.attempts)-1-step.A%min(3, len(s.attempts))]
	switch step.Kind {
	case "ask":
		s.deliverSubset([]string{"claim " + a.name + " to "}, step.B)
	case "vote":
		s.deliverSubset([]string{"claim " + a.name + " to ", "to " + a.name}, step.B)
	case "win":
		s.deliverSubset([]string{"claim " + a.name + " to ", "to " + a.name}, step.B)
		s.dispatch(a)
	case "dispatch":
		s.dispatch(a)
	case "release":
		s.release(a)
	case "complete":
		s.complete(a)
	}
}

// deliverSubset delivers the messages with one of the prefixes that concern a subset of the hosts.
func (s *sim) deliverSubset(texts []string, subset int) {
	for i := 0; i < len(s.messages); {
		label := s.messages[i].label
		concerns := func(h *host) bool { return strings.Contains(label, h.id) }
		host := slices.IndexFunc(s.hosts, concerns)
		matches := slices.ContainsFunc(texts, func(text string) bool { return strings.Contains(label, text) })
		if matches && host >= 0 && subset&(1<<host) != 0 {
			s.deliver(i, false)
			continue
		}
		i++
	}
}

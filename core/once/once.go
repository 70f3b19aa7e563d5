// Package once decides which attempt of a non-idempotent request may run. Attempts claim the request's key at the
// recorders of the service, and the attempt that a majority grants runs; see section 6 of the design page.
//
// Recorder is the state of one recorder for one service; Tally collects the votes on one claim. Both are driven with
// the time as an argument and are not safe for concurrent use.
//
// At most one attempt on a key is dispatched within the window because
//   - any two majorities share a member, and a member grants a key to one attempt until Retention has passed, which
//     covers the window from any dispatch within DispatchLimit;
//   - a restarted member votes after it has read the tables of a majority. A grant of its old process either was counted
//     with a grant that one of these tables held, or with a vote given later, which reports the new incarnation and so
//     voids it. Known incarnations travel with the tables, and a table of a process that was itself replaced does not
//     count, so two members that restart together cannot both miss the other's grants;
//   - a claim read from another member's table supports no grant, because other members may hold the key for others;
//   - a member rejects claims of another generation of the group, and claims need the majorities of both groups until a
//     majority of the previous one is known to reject claims of its own generation.
package once

import (
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"slices"
	"time"
)

const (
	// DispatchLimit is the time from the start of a claim within which the attempt must be dispatched.
	DispatchLimit = time.Second
	// driftDivisor is the share of a window that is added for clocks that run at different rates (2,000 ppm).
	driftDivisor = 512
	// DefaultCapacity is the maximum number of entries of a service, about 150 bytes each (BenchmarkEntryMemory). It
	// suffices for 1,080 keyed requests a second with the default window of 120 s.
	DefaultCapacity = 1 << 17
)

// ID is the hash of a key or of an attempt.
type ID [16]byte

// HashID returns the ID of a key or an attempt. Sixteen bytes of SHA-256 make a collision among 10^9 keys as unlikely as
// 10^-20.
func HashID(text string) ID {
	sum := sha256.Sum256([]byte(text))
	return ID(sum[:len(ID{})])
}

// Retention returns how long a recorder holds a claim. The window starts at the dispatch, which may follow the grant by
// DispatchLimit.
func Retention(window time.Duration) time.Duration {
	return window + DispatchLimit + window/driftDivisor
}

// Group is the recorder group of a service in one version of the configuration.
type Group struct {
	// Generation increases with each change of Members.
	Generation uint64
	Members    []string
	// Previous are the members of the generation before, as long as the configuration lists them.
	Previous []string
	Window   time.Duration
}

// Includes reports whether a host is in the group or the previous one.
func (g Group) Includes(member string) bool {
	return slices.Contains(g.Members, member) || slices.Contains(g.Previous, member)
}

// All returns the members of both groups without duplicates.
func (g Group) All() []string {
	all := slices.Clone(g.Members)
	for _, member := range g.Previous {
		if !slices.Contains(all, member) {
			all = append(all, member)
		}
	}
	return all
}

// Majority returns the number of members that form a majority of a group.
func Majority(members []string) int {
	return len(members)/2 + 1
}

// Answer is what a recorder says about a claim.
type Answer uint8

const (
	// Granted means that the recorder holds the key for the attempt.
	Granted Answer = iota + 1
	// Claimed means that the recorder holds the key for another attempt, or cannot tell for which.
	Claimed
	// Stale means that the recorder knows a newer generation than the claim's.
	Stale
	// Behind means that the recorder has not yet adopted the claim's generation.
	Behind
	// Recovering means that the recorder restarted and may have forgotten claims.
	Recovering
	// Unfenced means that members of the previous group may still grant claims of their generation.
	Unfenced
	// NotMember means that the recorder is not in the group.
	NotMember
	// Full means that the table has no room.
	Full
	// Void means that the attempt was released.
	Void
)

var answerNames = map[Answer]string{
	Granted: "granted", Claimed: "claimed", Stale: "stale", Behind: "behind", Recovering: "recovering",
	Unfenced: "unfenced", NotMember: "not-member", Full: "full", Void: "void",
}

// String returns the name used in logs and metrics.
func (a Answer) String() string {
	return answerNames[a]
}

// Claim asks a recorder to hold a key for an attempt.
type Claim struct {
	Key        ID     `json:"key"`
	Attempt    ID     `json:"attempt"`
	Generation uint64 `json:"generation"`
	// Joint is true if the attempt also needs a majority of the previous group.
	Joint bool `json:"joint,omitempty"`
}

// Vote is a recorder's answer to a claim.
type Vote struct {
	Member      string `json:"member"`
	Incarnation uint64 `json:"incarnation"`
	Generation  uint64 `json:"generation"`
	Answer      Answer `json:"answer"`
	// Completed and Status describe the attempt that holds the key, if Answer is Claimed.
	Completed bool `json:"completed,omitempty"`
	Status    int  `json:"status,omitempty"`
	// Known are the newest incarnations of the other members that the recorder knows.
	Known map[string]uint64 `json:"known,omitempty"`
}

// MarshalText implements encoding.TextMarshaler.
func (id ID) MarshalText() ([]byte, error) {
	return base64.RawStdEncoding.AppendEncode(nil, id[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (id *ID) UnmarshalText(text []byte) error {
	decoded, err := base64.RawStdEncoding.DecodeString(string(text))
	if err != nil {
		return fmt.Errorf("decode id: %w", err)
	}
	if len(decoded) != len(id) {
		return fmt.Errorf("decode id: %d bytes instead of %d", len(decoded), len(id))
	}
	copy(id[:], decoded)
	return nil
}

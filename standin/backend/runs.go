package backend

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"slices"
	"sync"
	"time"
)

// Run counts the runs of the requests that carried one key or token.
type Run struct {
	Started  int `json:"started"`
	Finished int `json:"finished"`
}

// Runs counts runs by idempotency key and by request token.
type Runs struct {
	Keys   map[string]Run `json:"keys"`
	Tokens map[string]Run `json:"tokens"`
	// StartsMS holds the start times of the runs by key, in milliseconds since the Unix epoch and in no particular order.
	StartsMS map[string][]int64 `json:"starts_ms"`
}

// NewRuns returns empty counts.
func NewRuns() Runs {
	return Runs{Keys: make(map[string]Run), Tokens: make(map[string]Run), StartsMS: make(map[string][]int64)}
}

// Add merges the counts of another server or of an earlier process.
func (r Runs) Add(other Runs) {
	addRuns(r.Keys, other.Keys)
	addRuns(r.Tokens, other.Tokens)
	for key, starts := range other.StartsMS {
		r.StartsMS[key] = append(r.StartsMS[key], starts...)
	}
}

// ShortestGap returns the shortest time between the starts of two runs with the key. It returns false if there was one run or
// none.
func (r Runs) ShortestGap(key string) (time.Duration, bool) {
	starts := slices.Sorted(slices.Values(r.StartsMS[key]))
	if len(starts) < 2 {
		return 0, false
	}
	shortest := starts[1] - starts[0]
	for n := range starts[1:] {
		shortest = min(shortest, starts[n+1]-starts[n])
	}
	return time.Duration(shortest) * time.Millisecond, true
}

// Twice returns the keys and tokens that ran more than once.
func (r Runs) Twice() (keys, tokens []string) {
	return twice(r.Keys), twice(r.Tokens)
}

func addRuns(to, from map[string]Run) {
	for id, run := range from {
		sum := to[id]
		sum.Started += run.Started
		sum.Finished += run.Finished
		to[id] = sum
	}
}

func twice(runs map[string]Run) []string {
	var ids []string
	for id, run := range runs {
		if run.Started > 1 {
			ids = append(ids, id)
		}
	}
	return ids
}

func (r Runs) count(event runEvent) {
	add := Run{Started: 1}
	if event.Finished {
		add = Run{Finished: 1}
	}
	if event.Key != "" {
		addRuns(r.Keys, map[string]Run{event.Key: add})
		if !event.Finished {
			r.StartsMS[event.Key] = append(r.StartsMS[event.Key], event.AtMS)
		}
	}
	if event.Token != "" {
		addRuns(r.Tokens, map[string]Run{event.Token: add})
	}
}

// runEvent is one line of the run log.
type runEvent struct {
	AtMS     int64  `json:"at_ms"`
	Key      string `json:"key,omitempty"`
	Token    string `json:"token,omitempty"`
	Finished bool   `json:"finished,omitempty"`
}

// runLog counts runs in memory and, if it has a file, appends each event to it before the work starts. The kernel keeps
// what was written when the process is killed.
type runLog struct {
	mu   sync.Mutex
	runs Runs
	file *os.File
}

func openRunLog(path string) (*runLog, error) {
	log := &runLog{runs: NewRuns()}
	if path == "" {
		return log, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("open run log: %w", err)
	}
	log.file = file
	return log, nil
}

func (l *runLog) record(event runEvent) error {
	if event.Key == "" && event.Token == "" {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	event.AtMS = time.Now().UnixMilli()
	l.runs.count(event)
	if l.file == nil {
		return nil
	}
	line, err := json.Marshal(event)
	if err != nil {
		return fmt.Errorf("encode run: %w", err)
	}
	if _, err := l.file.Write(append(line, '\n')); err != nil {
		return fmt.Errorf("write run log: %w", err)
	}
	return nil
}

func (l *runLog) snapshot() Runs {
	l.mu.Lock()
	defer l.mu.Unlock()
	copied := NewRuns()
	copied.Add(l.runs)
	return copied
}

func (l *runLog) close() error {
	if l.file == nil {
		return nil
	}
	return l.file.Close()
}

// ReadRunLog returns the counts of all processes that appended to a run log. A file that does not exist counts as empty.
func ReadRunLog(path string) (Runs, error) {
	runs := NewRuns()
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return runs, nil
	}
	if err != nil {
		return runs, fmt.Errorf("open run log: %w", err)
	}
	defer file.Close()
	return runs, readRuns(file, runs)
}

func readRuns(r io.Reader, runs Runs) error {
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		var event runEvent
		if err := json.Unmarshal(scanner.Bytes(), &event); err != nil {
			return fmt.Errorf("decode run log line %q: %w", scanner.Text(), err)
		}
		runs.count(event)
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("read run log: %w", err)
	}
	return nil
}

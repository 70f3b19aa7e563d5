// Package model is an event-driven model of one service and its callers in virtual time. It calls the packages in
// core/ in the order in which the data path calls them. It does not model the protocols between nodes.
package model

import "time"

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

// engine runs events in the order of their time, and of their scheduling where times are equal.
type engine struct {
	now  time.Duration
	seq  uint64
	heap []event
}

func (e *engine) after(d time.Duration, run func()) {
	e.seq++
	e.heap = append(e.heap, event{at: e.now + max(d, 0), seq: e.seq, run: run})
	i := len(e.heap) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !e.less(i, parent) {
			break
		}
		e.heap[i], e.heap[parent] = e.heap[parent], e.heap[i]
		i = parent
	}
}

func (e *engine) less(i, j int) bool {
	a, b := &e.heap[i], &e.heap[j]
	return a.at < b.at || (a.at == b.at && a.seq < b.seq)
}

func (e *engine) pop() event {
	first := e.heap[0]
	last := len(e.heap) - 1
	e.heap[0] = e.heap[last]
	e.heap[last] = event{}
	e.heap = e.heap[:last]
	for i := 0; ; {
		child := 2*i + 1
		if child >= last {
			return first
		}
		if child+1 < last && e.less(child+1, child) {
			child++
		}
		if !e.less(child, i) {
			return first
		}
		e.heap[i], e.heap[child] = e.heap[child], e.heap[i]
		i = child
	}
}

func (e *engine) runUntil(end time.Duration) {
	for len(e.heap) > 0 && e.heap[0].at <= end {
		next := e.pop()
		e.now = next.at
		next.run()
	}
	e.now = end
}

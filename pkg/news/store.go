package news

import (
	"container/list"
	"math/rand/v2"
	"time"

	"agatepulley.example/agatepulley/pkg/memory"
)

// Numbers of items in a batch. At the design scale about 50 items are recent at any time (5,400 restarts a day of hosts
// with 12 endpoints each); batches of 16 would take 11.6 KB/s of a budget of 5 KB/s.
const (
	recentPerBatch = 3
	olderPerBatch  = 1
	// recentScan bounds the recent items from which a batch is chosen.
	recentScan = 256
)

// store holds the latest item of each key, ordered by the time of the last change. It is bounded in number and age. It
// is not safe for concurrent use.
type store struct {
	capacity int
	lifetime time.Duration
	memory   *memory.Budget
	items    map[key]*list.Element
	// order has the most recently changed item first.
	order *list.List
	// cursor is the next older item to be offered to exchanges.
	cursor  *list.Element
	evicted uint64
}

// stored is an item with the time at which it was published, on the clock of this node.
type stored struct {
	item      Item
	published time.Duration
}

func newStore(capacity int, lifetime time.Duration, memory *memory.Budget) *store {
	return &store{
		capacity: capacity,
		lifetime: lifetime,
		memory:   memory,
		items:    make(map[key]*list.Element),
		order:    list.New(),
	}
}

// merge adds an item. It returns false if the item is expired, too long or not newer than the one held, or if there is no memory
// for it.
func (s *store) merge(item Item, now time.Duration) bool {
	if item.age() >= s.lifetime || item.tooLong() {
		return false
	}
	held, ok := s.items[item.key()]
	if ok && !item.newer(&held.Value.(*stored).item) {
		return false
	}
	if ok {
		s.remove(held)
	}
	for len(s.items) >= s.capacity || (s.memory != nil && !s.memory.Reserve(item.size())) {
		oldest := s.order.Back()
		if oldest == nil {
			return false
		}
		s.evicted++
		s.remove(oldest)
	}
	s.items[item.key()] = s.order.PushFront(&stored{item: item, published: now - item.age()})
	return true
}

// expire removes the items that are too old. Their number is found by looking at all: ages differ by origin.
func (s *store) expire(now time.Duration) {
	for element := s.order.Front(); element != nil; {
		next := element.Next()
		if now >= element.Value.(*stored).published+s.lifetime {
			s.remove(element)
		}
		element = next
	}
}

func (s *store) remove(element *list.Element) {
	if s.cursor == element {
		s.cursor = element.Next()
	}
	s.order.Remove(element)
	item := &element.Value.(*stored).item
	delete(s.items, item.key())
	if s.memory != nil {
		s.memory.Release(item.size())
	}
}

func (s *store) get(k key, now time.Duration) (Item, bool) {
	element, ok := s.items[k]
	if !ok {
		return Item{}, false
	}
	return element.Value.(*stored).at(now), true
}

// batch returns up to limit items: some of the recent ones at random, which pushes may have missed, and an older one in
// turn, so that a node that missed it for longer still gets it after some time.
func (s *store) batch(limit int, now time.Duration) []Item {
	recent, older := s.recent(now)
	rand.Shuffle(len(recent), func(i, j int) { recent[i], recent[j] = recent[j], recent[i] })
	items := recent[:min(len(recent), recentPerBatch, limit)]
	if older == nil {
		return items
	}
	for range min(olderPerBatch, limit-len(items)) {
		if s.cursor == nil {
			s.cursor = older
		}
		items = append(items, s.cursor.Value.(*stored).at(now))
		s.cursor = s.cursor.Next()
	}
	return items
}

// recent returns the items that are still pushed, and the first one that is not.
func (s *store) recent(now time.Duration) ([]Item, *list.Element) {
	var items []Item
	element := s.order.Front()
	for element != nil && len(items) < recentScan {
		item := element.Value.(*stored).at(now)
		if item.age() >= urgentAge {
			break
		}
		items = append(items, item)
		element = element.Next()
	}
	return items, element
}

// at returns the item with its age at the given time.
func (s *stored) at(now time.Duration) Item {
	item := s.item
	item.AgeMS = (now - s.published).Milliseconds()
	return item
}

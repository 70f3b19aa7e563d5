package news

import (
	"container/list"
	"time"
)

// olderPerBatch is the number of items in a batch that are not recent. With two exchanges a second it keeps the traffic
// of an idle fleet within its budget of 5 KB/s.
const olderPerBatch = 2

// store holds the latest item of each key, ordered by the time of the last change. It is bounded in number and age. It
// is not safe for concurrent use.
type store struct {
	capacity int
	lifetime time.Duration
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

func newStore(capacity int, lifetime time.Duration) *store {
	return &store{
		capacity: capacity,
		lifetime: lifetime,
		items:    make(map[key]*list.Element),
		order:    list.New(),
	}
}

// merge adds an item. It returns false if the item is expired or not newer than the one held.
func (s *store) merge(item Item, now time.Duration) bool {
	if item.age() >= s.lifetime {
		return false
	}
	held, ok := s.items[item.key()]
	if ok && !item.newer(&held.Value.(*stored).item) {
		return false
	}
	if ok {
		s.remove(held)
	}
	if len(s.items) >= s.capacity {
		s.evicted++
		s.remove(s.order.Back())
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
	delete(s.items, element.Value.(*stored).item.key())
}

func (s *store) get(k key, now time.Duration) (Item, bool) {
	element, ok := s.items[k]
	if !ok {
		return Item{}, false
	}
	return element.Value.(*stored).at(now), true
}

// batch returns up to limit items: the recent ones, and a few older ones in turn, so that a node that missed a push and
// the exchanges after it still gets each item after some time. Without recent items a batch is small.
func (s *store) batch(limit int, now time.Duration) []Item {
	items := make([]Item, 0, limit)
	element := s.order.Front()
	for element != nil && len(items) < limit-olderPerBatch {
		item := element.Value.(*stored).at(now)
		if item.age() >= urgentAge {
			break
		}
		items = append(items, item)
		element = element.Next()
	}
	if element == nil {
		return items
	}
	recent := len(items)
	for range min(olderPerBatch, len(s.items)-recent) {
		if s.cursor == nil {
			s.cursor = element
		}
		items = append(items, s.cursor.Value.(*stored).at(now))
		s.cursor = s.cursor.Next()
	}
	return items
}

// at returns the item with its age at the given time.
func (s *stored) at(now time.Duration) Item {
	item := s.item
	item.AgeMS = (now - s.published).Milliseconds()
	return item
}

package once

import (
	"encoding/binary"
	"time"
)

// entry is the claim on one key.
type entry struct {
	attempt ID
	expiry  time.Duration
	status  uint16
	flags   uint8
}

// Flags of an entry.
const (
	// completed: the attempt has run and its status is known.
	completed uint8 = 1 << iota
	// inherited: the claim was not granted by this process, so it supports no grant, not even one to the same attempt.
	inherited
	// contested: other members hold the key for different attempts. A release of one of them does not free the key.
	contested
)

// logged is one addition to the table. Additions are kept in order, both to expire them and to transfer them in pages:
// whatever was in the table when a transfer began lies before its end.
type logged struct {
	id       ID
	released bool
	expiry   time.Duration
}

// table holds the claims and the released attempts of a service. Their number together is bounded.
type table struct {
	capacity int
	claims   map[ID]entry
	released map[ID]time.Duration
	log      []logged
	// base is the position of log[0] since the start.
	base uint64
}

func newTable(capacity int) *table {
	return &table{capacity: capacity, claims: make(map[ID]entry), released: make(map[ID]time.Duration)}
}

// expire removes the additions whose time has passed, from the oldest on.
func (t *table) expire(now time.Duration) {
	count := 0
	for count < len(t.log) && t.log[count].expiry <= now {
		t.remove(t.log[count], now)
		count++
	}
	t.log = t.log[count:]
	t.base += uint64(count)
}

// remove deletes what an addition stands for. If that was extended meanwhile, the addition is renewed.
func (t *table) remove(l logged, now time.Duration) {
	expiry, ok := t.expiryOf(l)
	switch {
	case !ok:
		return
	case expiry > now:
		l.expiry = expiry
		t.log = append(t.log, l)
	case l.released:
		delete(t.released, l.id)
	default:
		delete(t.claims, l.id)
	}
}

func (t *table) expiryOf(l logged) (time.Duration, bool) {
	if l.released {
		expiry, ok := t.released[l.id]
		return expiry, ok
	}
	found, ok := t.claims[l.id]
	return found.expiry, ok
}

// full reports whether nothing may be added. The log counts, because it is what an addition costs until it expires.
func (t *table) full() bool {
	return len(t.log) >= t.capacity
}

func (t *table) claim(key ID, now time.Duration) (entry, bool) {
	found, ok := t.claims[key]
	if !ok || found.expiry <= now {
		return entry{}, false
	}
	return found, true
}

func (t *table) isReleased(attempt ID, now time.Duration) bool {
	return t.released[attempt] > now
}

// put adds or replaces the claim on a key. A claim that replaces one in force needs no new log record.
func (t *table) put(key ID, e entry, now time.Duration) {
	_, held := t.claim(key, now)
	t.claims[key] = e
	if !held {
		t.log = append(t.log, logged{id: key, expiry: e.expiry})
	}
}

func (t *table) release(attempt ID, expiry, now time.Duration) {
	held := t.isReleased(attempt, now)
	t.released[attempt] = max(t.released[attempt], expiry)
	if !held {
		t.log = append(t.log, logged{id: attempt, released: true, expiry: expiry})
	}
}

// Sizes of the encoded records of a page.
const (
	idBytes     = len(ID{})
	recordBytes = 2*idBytes + 4 + 2 + 1
	// PageRecords is the number of records in a page: 320 KB, 426 KB in base64.
	PageRecords = 8192
	// flagReleased marks a released attempt in an encoded record.
	flagReleased = 1 << 7
)

// page encodes the records from a position on and returns the position after them, and whether they are the last.
func (t *table) page(cursor uint64, now time.Duration) (records []byte, next uint64, last bool) {
	cursor = max(cursor, t.base)
	end := t.base + uint64(len(t.log))
	stop := min(end, cursor+PageRecords)
	for position := cursor; position < stop; position++ {
		records = t.encode(records, t.log[position-t.base], now)
	}
	return records, stop, stop == end
}

func (t *table) encode(to []byte, l logged, now time.Duration) []byte {
	if l.released {
		if !t.isReleased(l.id, now) {
			return to
		}
		return encodeRecord(to, l.id, l.id, t.released[l.id]-now, 0, flagReleased)
	}
	e, ok := t.claim(l.id, now)
	if !ok {
		return to
	}
	return encodeRecord(to, l.id, e.attempt, e.expiry-now, e.status, e.flags)
}

func encodeRecord(to []byte, key, attempt ID, remaining time.Duration, status uint16, flags uint8) []byte {
	to = append(to, key[:]...)
	to = append(to, attempt[:]...)
	// Rounded up: a claim may be held longer than necessary, but not shorter.
	milliseconds := (remaining + time.Millisecond - 1) / time.Millisecond
	to = binary.BigEndian.AppendUint32(to, uint32(milliseconds))
	to = binary.BigEndian.AppendUint16(to, status)
	return append(to, flags)
}

// merge adds the records of another member's page. It reports false if the table has no room for them.
func (t *table) merge(records []byte, now time.Duration) bool {
	for len(records) >= recordBytes {
		if !t.mergeRecord(records[:recordBytes], now) {
			return false
		}
		records = records[recordBytes:]
	}
	return true
}

// mergeRecord adds one record. It reports false if the record needs an entry of its own and the table has no room.
func (t *table) mergeRecord(record []byte, now time.Duration) bool {
	key, attempt := ID(record[:idBytes]), ID(record[idBytes:2*idBytes])
	rest := record[2*idBytes:]
	expiry := now + time.Duration(binary.BigEndian.Uint32(rest))*time.Millisecond
	status := binary.BigEndian.Uint16(rest[4:])
	flags := rest[6]
	if flags&flagReleased != 0 {
		if t.full() && !t.isReleased(attempt, now) {
			return false
		}
		t.release(attempt, expiry, now)
		return true
	}
	merged := entry{attempt: attempt, expiry: expiry, status: status, flags: flags | inherited}
	held, known := t.claim(key, now)
	switch {
	case known:
		merged = combine(held, merged)
	case t.full():
		return false
	}
	t.put(key, merged, now)
	return true
}

// combine joins two claims on the same key. A completed one is kept, as it is known to have run.
func combine(held, other entry) entry {
	joined := held
	if other.flags&completed != 0 && held.flags&completed == 0 {
		joined = other
	}
	joined.flags |= (held.flags | other.flags) & (inherited | contested)
	if held.attempt != other.attempt {
		joined.flags |= contested
	}
	joined.expiry = max(held.expiry, other.expiry)
	return joined
}

// dropReleased removes the claims of attempts that are known to be released.
func (t *table) dropReleased(now time.Duration) {
	for key, e := range t.claims {
		if e.flags&(completed|contested) == 0 && t.isReleased(e.attempt, now) {
			delete(t.claims, key)
		}
	}
}

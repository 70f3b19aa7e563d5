// Package membership decides which hosts a node works with: the directory of hosts with their incarnations and states,
// the choice of peers, and rendezvous hashing, which ranks hosts or endpoints for a key in the same order on every node.
package membership

import (
	"cmp"
	"slices"
)

// FNV-1a parameters for 64 bits.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// Score returns the rendezvous weight of id for key. It depends on nothing but its arguments, so that all nodes and all
// versions of the program agree on it.
func Score(key, id string) uint64 {
	hash := uint64(fnvOffset)
	hash = addString(hash, key)
	// The separator keeps ("ab", "c") and ("a", "bc") apart.
	hash = addByte(hash, 0)
	hash = addString(hash, id)
	return mix(hash)
}

// Rank returns the ids in descending order of their score for key. Equal scores are ordered by id. The argument is not
// changed.
func Rank(key string, ids []string) []string {
	type scored struct {
		id    string
		score uint64
	}
	list := make([]scored, len(ids))
	for i, id := range ids {
		list[i] = scored{id: id, score: Score(key, id)}
	}
	slices.SortFunc(list, func(a, b scored) int {
		if order := cmp.Compare(b.score, a.score); order != 0 {
			return order
		}
		return cmp.Compare(a.id, b.id)
	})
	ranked := make([]string, len(list))
	for i := range list {
		ranked[i] = list[i].id
	}
	return ranked
}

// RanksBefore reports whether a comes before b in the ranking for key. To find the rank of one of many ids, counting those before
// it is cheaper than ranking them all.
func RanksBefore(key, a, b string) bool {
	scoreA, scoreB := Score(key, a), Score(key, b)
	return scoreA > scoreB || scoreA == scoreB && a < b
}

func addString(hash uint64, text string) uint64 {
	for i := range len(text) {
		hash = addByte(hash, text[i])
	}
	return hash
}

func addByte(hash uint64, b byte) uint64 {
	return (hash ^ uint64(b)) * fnvPrime
}

// mix is the finalizer of SplitMix64. FNV-1a alone leaves the high bits of short ids, such as "h1" and "h2", correlated.
func mix(hash uint64) uint64 {
	hash ^= hash >> 30
	hash *= 0xbf58476d1ce4e5b9
	hash ^= hash >> 27
	hash *= 0x94d049bb133111eb
	return hash ^ hash>>31
}

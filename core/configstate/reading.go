package configstate

import "time"

// Times of the reading of the configuration service. Within a zone the first hosts of the rendezvous order hold a
// watch. The others read only if the latest read known in the zone is too old, the sooner the higher they rank, so that
// a lost reader is replaced without an election and the number of reads stays bounded.
const (
	// Watchers is the number of hosts in a zone that hold a watch.
	Watchers = 2
	// takeOverBase, takeOverStep and takeOverRanks give the age of the latest read at which a host reads itself:
	// takeOverBase + min(rank, takeOverRanks) * takeOverStep.
	takeOverBase  = 2 * time.Second
	takeOverStep  = time.Second
	takeOverRanks = 8
	// takeOverJitter is added at random, so that hosts of one rank class do not read at the same moment.
	takeOverJitter = time.Second
)

// UnknownRank is the rank of a host that is not in the published list of hosts.
const UnknownRank = -1

// Holds reports whether a host of the given rank holds a watch.
func Holds(rank int) bool {
	return rank >= 0 && rank < Watchers
}

// TakeOverAge returns the age of the latest read known in the zone from which a host of the given rank reads itself.
// The fraction, from 0 to 1, is the random part. A host without a rank reads last.
func TakeOverAge(rank int, fraction float64) time.Duration {
	if rank < 0 || rank > takeOverRanks {
		rank = takeOverRanks
	}
	return takeOverBase + time.Duration(rank)*takeOverStep + time.Duration(fraction*float64(takeOverJitter))
}

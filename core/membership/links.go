package membership

import "math"

// Linked reports whether two hosts are linked when each host is to be linked with a share of the others. The choice is
// symmetric and depends on nothing but its arguments, so that both hosts make it alike without asking each other, and it
// keeps all other links when a host joins or leaves.
func Linked(a, b string, share float64) bool {
	if share >= 1 {
		return true
	}
	return float64(Score(min(a, b), max(a, b))) < share*math.MaxUint64
}

package membership

import "math"

// Linked reports whether the nodes on hosts a and b exchange reports directly, where each host is linked with the given share
// of the others. The result is symmetric and depends only on the arguments, so that both hosts obtain the same result without
// communicating, and the links between other hosts do not change when a host joins or leaves.
func Linked(a, b string, share float64) bool {
	if share >= 1 {
		return true
	}
	return float64(Score(min(a, b), max(a, b))) < share*math.MaxUint64
}

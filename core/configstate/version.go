package configstate

import "strconv"

// Version orders documents: first by epoch, then by sequence.
type Version struct {
	Epoch    uint64 `json:"epoch"`
	Sequence uint64 `json:"sequence"`
}

// Compare returns -1, 0 or 1 as v is lower than, equal to or higher than o.
func (v Version) Compare(o Version) int {
	switch {
	case v.Epoch < o.Epoch, v.Epoch == o.Epoch && v.Sequence < o.Sequence:
		return -1
	case v == o:
		return 0
	default:
		return 1
	}
}

// String returns the version as EPOCH.SEQUENCE.
func (v Version) String() string {
	return strconv.FormatUint(v.Epoch, 10) + "." + strconv.FormatUint(v.Sequence, 10)
}

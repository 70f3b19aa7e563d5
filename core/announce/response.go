package announce

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Response holds the announcements of one response.
type Response struct {
	// Limit is the announced limit in requests per second, if Limited is set.
	Limited bool
	Limit   float64
	Leaving bool
	// LimitUnknown is set if the response does not tell whether there is a limit.
	LimitUnknown bool
	// Unreadable holds the errors of the values that are not understood, or nil.
	Unreadable error
}

// Distrust makes the response say only what it announces: its silence does not mean that there is no limit.
func (r *Response) Distrust() {
	r.LimitUnknown = r.LimitUnknown || !r.Limited
}

const (
	leavingValue = "1"
	stayingValue = "0"
	// maxQuoted is the number of bytes of a value that errors quote.
	maxQuoted = 64
	// maxLimit is the highest limit that is kept, in requests per second. It is above the rate of any fleet.
	maxLimit = 1e9
)

// ReadResponse reads the values of the header fields that announce a limit and that the endpoint is leaving. If a limit is
// announced more than once, the lowest one counts.
func ReadResponse(limits, leaving []string) Response {
	var r Response
	for _, field := range limits {
		for text := range strings.SplitSeq(field, ",") {
			limit, err := readLimit(strings.TrimSpace(text))
			if err != nil {
				r.Unreadable = errors.Join(r.Unreadable, err)
				continue
			}
			if !r.Limited || limit < r.Limit {
				r.Limited, r.Limit = true, limit
			}
		}
	}
	r.LimitUnknown = len(limits) > 0 && !r.Limited
	for _, text := range leaving {
		switch strings.TrimSpace(text) {
		case leavingValue:
			r.Leaving = true
		case stayingValue:
		default:
			r.Unreadable = errors.Join(r.Unreadable, fmt.Errorf("leaving: %.*q is not %q", maxQuoted, text, leavingValue))
		}
	}
	return r
}

// readLimit reads a limit written as a decimal number. Limits above maxLimit are cut to it.
func readLimit(text string) (float64, error) {
	if text == "" || strings.Trim(text, "0123456789.") != "" {
		return 0, fmt.Errorf("limit: %.*q is not a decimal number of requests per second", maxQuoted, text)
	}
	limit, err := strconv.ParseFloat(text, 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) {
		return 0, fmt.Errorf("limit: %.*q is not a number", maxQuoted, text)
	}
	return min(limit, maxLimit), nil
}

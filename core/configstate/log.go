package configstate

// Step is one adoption in the log: the change from one document to the next.
type Step[T any] struct {
	From Mark
	To   Mark
	// Size is the encoded size of the delta in bytes.
	Size  int
	Delta T
}

// Log keeps the latest steps, up to a number and a total size. The steps form a chain: each starts where the one before
// ended.
type Log[T any] struct {
	maxSteps int
	maxBytes int
	bytes    int
	steps    []Step[T]
}

// DefaultLogSteps is the number of versions that a node keeps.
const DefaultLogSteps = 256

// NewLog returns an empty log.
func NewLog[T any](maxSteps, maxBytes int) *Log[T] {
	return &Log[T]{maxSteps: maxSteps, maxBytes: maxBytes}
}

// Append adds a step and drops the oldest ones beyond the limits. A step that does not start where the log ends
// replaces all others, because a chain with a gap leads nowhere.
func (l *Log[T]) Append(step Step[T]) {
	if len(l.steps) > 0 && l.steps[len(l.steps)-1].To != step.From {
		l.steps = nil
		l.bytes = 0
	}
	l.steps = append(l.steps, step)
	l.bytes += step.Size
	for len(l.steps) > l.maxSteps || l.bytes > l.maxBytes && len(l.steps) > 0 {
		l.bytes -= l.steps[0].Size
		// The cleared element releases the delta although the array lives on.
		l.steps[0] = Step[T]{}
		l.steps = l.steps[1:]
	}
}

// Since returns the steps from the held document to the end of the log, if they are not larger in total than the whole
// document. Otherwise it returns false, and the whole document has to be sent.
func (l *Log[T]) Since(held Mark, whole int) ([]Step[T], bool) {
	total := 0
	for i := len(l.steps) - 1; i >= 0; i-- {
		total += l.steps[i].Size
		if total >= whole {
			return nil, false
		}
		if l.steps[i].From == held {
			return l.steps[i:], true
		}
	}
	return nil, false
}

// Len returns the number of steps.
func (l *Log[T]) Len() int {
	return len(l.steps)
}

package telemetry

import (
	"maps"
	"sync"
	"sync/atomic"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// maxLabelSets bounds the number of cached label sets. It leaves room for 2,700 services with 10 values of the other
// label each. Further label sets are recorded with the values "other".
const maxLabelSets = 32768

// otherLabel is the value of all labels once maxLabelSets is reached.
const otherLabel = "other"

// labelKey identifies a label set of one or two labels; the second name may be empty.
type labelKey struct {
	name1, value1, name2, value2 string
}

// labels is a label set as options for counters (add) and for histograms (record).
type labels struct {
	add    []metric.AddOption
	record []metric.RecordOption
}

// labelCache caches label sets, because building one allocates several times. Reads take no lock: each insertion
// replaces the map by a copy.
type labelCache struct {
	sets atomic.Pointer[map[labelKey]*labels]
	mu   sync.Mutex
}

func (c *labelCache) get(name1, value1, name2, value2 string) *labels {
	key := labelKey{name1, value1, name2, value2}
	if sets := c.sets.Load(); sets != nil {
		if found := (*sets)[key]; found != nil {
			return found
		}
	}
	return c.insert(key)
}

func (c *labelCache) insert(key labelKey) *labels {
	c.mu.Lock()
	defer c.mu.Unlock()
	var current map[labelKey]*labels
	if sets := c.sets.Load(); sets != nil {
		current = *sets
	}
	if found := current[key]; found != nil {
		return found
	}
	if len(current) >= maxLabelSets {
		return newLabels(labelKey{key.name1, otherLabel, key.name2, otherLabel})
	}
	next := make(map[labelKey]*labels, len(current)+1)
	maps.Copy(next, current)
	next[key] = newLabels(key)
	c.sets.Store(&next)
	return next[key]
}

func newLabels(key labelKey) *labels {
	attributes := []attribute.KeyValue{attribute.String(key.name1, key.value1)}
	if key.name2 != "" {
		attributes = append(attributes, attribute.String(key.name2, key.value2))
	}
	option := metric.WithAttributeSet(attribute.NewSet(attributes...))
	return &labels{add: []metric.AddOption{option}, record: []metric.RecordOption{option}}
}

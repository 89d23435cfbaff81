package feeds

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/gate/rules"
	"github.com/agatestage/agatestage/internal/state/watch"
)

const (
	// pollWait is how long one poll waits for a change. A poll whose connection has lost
	// its peer ends soon after it; until then, the other gateways report that there is a
	// newer configuration.
	pollWait = 4 * time.Second
)

// Config watches the configuration in the store and puts it in force.
type Config struct {
	store       agatestage.Store
	clock       agatestage.Clock
	key         string
	decode      func(data []byte) (*rules.Snapshot, error)
	holder      *rules.Holder
	storeHealth *StoreHealth
	duty        *Duty
	mutex       sync.Mutex
	raw         []byte
	// confirmed is when the store last said which configuration is the newest.
	confirmed time.Time
	// prefix is that of the watched records, key unless evacuations are followed, too.
	prefix      string
	evacuations *Evacuations
}

// ConfigOption configures a Config.
type ConfigOption func(*Config)

// WithEvacuations makes the same polls follow the records of evacuations: the records under
// prefix are watched, which both keys begin with.
func WithEvacuations(prefix string, evacuations *Evacuations) ConfigOption {
	return func(config *Config) { config.prefix, config.evacuations = prefix, evacuations }
}

// NewConfig returns a Config that watches the record at key and decodes it with decode,
// while the duty is on.
func NewConfig(store agatestage.Store, clock agatestage.Clock, key string, decode func(data []byte) (*rules.Snapshot, error), holder *rules.Holder, storeHealth *StoreHealth, duty *Duty, options ...ConfigOption) *Config {
	config := &Config{store: store, clock: clock, key: key, prefix: key, decode: decode, holder: holder, storeHealth: storeHealth, duty: duty}
	for _, option := range options {
		option(config)
	}
	return config
}

// Serve watches the store until ctx ends.
func (config *Config) Serve(ctx context.Context) error {
	var listRevision uint64
	return watch.Follow(ctx, config.store, config.clock, config.prefix, func(_ context.Context, records []agatestage.Record, whole bool) error {
		config.storeHealth.RecordAnswer()
		// Evacuations come first, so that a new configuration sends nothing to their zones.
		if config.evacuations != nil {
			config.evacuations.offerRecords(records, whole, listRevision)
		}
		for _, record := range records {
			if record.Key == config.key && !record.Deleted {
				config.Offer(record.Value, "store")
			}
		}
		config.mutex.Lock()
		defer config.mutex.Unlock()
		config.confirmed = config.clock.Now()
		return nil
	}, watch.WithListHandler(func(revision uint64) { listRevision = revision }), watch.WithGate(config.duty.Await), watch.WithWait(pollWait), watch.WithRetryWait(config.storeHealth.AwaitRetry), watch.WithErrorHandler(config.storeHealth.RecordFailure))
}

// String names the service in logs.
func (config *Config) String() string {
	return "configuration feed"
}

// Offer puts a configuration in force if it is newer than the one in force.
func (config *Config) Offer(data []byte, source string) {
	snapshot, err := config.decode(data)
	if err != nil {
		klog.ErrorS(err, "configuration can't be decoded", "source", source)
		return
	}
	if !config.holder.Offer(snapshot, source) {
		return
	}
	config.mutex.Lock()
	defer config.mutex.Unlock()
	config.raw = data
}

// Age returns how long ago the store last said which configuration is the newest, or
// the maximum duration if it never has.
func (config *Config) Age() time.Duration {
	config.mutex.Lock()
	defer config.mutex.Unlock()
	if config.confirmed.IsZero() {
		return time.Duration(1<<63 - 1)
	}
	return config.clock.Since(config.confirmed)
}

// Overdue reports whether a poll of the configuration should have been answered by now.
func (config *Config) Overdue() bool {
	return config.Age() > answerOverdueAfter
}

// Raw returns the configuration in force as the operators wrote it.
func (config *Config) Raw() []byte {
	config.mutex.Lock()
	defer config.mutex.Unlock()
	return config.raw
}

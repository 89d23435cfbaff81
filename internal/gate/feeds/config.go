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
	// pollWait is how long one poll waits for a change. A poll whose connection has
	// lost its peer ends soon after; until then, the other gateways tell that there
	// is a newer configuration.
	pollWait = 4 * time.Second
)

// Config follows the configuration.
type Config struct {
	store   agatestage.Store
	clock   agatestage.Clock
	key     string
	decode  func(data []byte) (*rules.Snapshot, error)
	holder  *rules.Holder
	contact *Contact
	mutex   sync.Mutex
	raw     []byte
}

// NewConfig returns a feed of the record at key, which decode translates.
func NewConfig(store agatestage.Store, clock agatestage.Clock, key string, decode func(data []byte) (*rules.Snapshot, error), holder *rules.Holder, contact *Contact) *Config {
	return &Config{store: store, clock: clock, key: key, decode: decode, holder: holder, contact: contact}
}

// Serve follows the store until ctx ends.
func (config *Config) Serve(ctx context.Context) error {
	return watch.Follow(ctx, config.store, config.clock, config.key, func(_ context.Context, records []agatestage.Record, _ bool) error {
		config.contact.Heard()
		for _, record := range records {
			if record.Key == config.key && !record.Deleted {
				config.Offer(record.Value, "store")
			}
		}
		return nil
	}, watch.WithWait(pollWait), watch.WithRetryWait(config.contact.Retry), watch.WithErrorHandler(config.contact.Failed))
}

// String names the service in logs.
func (config *Config) String() string {
	return "configuration feed"
}

// Offer puts a configuration in force if it is newer than the one in force.
func (config *Config) Offer(data []byte, source string) {
	snapshot, err := config.decode(data)
	if err != nil {
		klog.ErrorS(err, "configuration is not readable", "source", source)
		return
	}
	if !config.holder.Offer(snapshot, source) {
		return
	}
	config.mutex.Lock()
	defer config.mutex.Unlock()
	config.raw = data
}

// Raw returns the configuration in force as the operators wrote it.
func (config *Config) Raw() []byte {
	config.mutex.Lock()
	defer config.mutex.Unlock()
	return config.raw
}

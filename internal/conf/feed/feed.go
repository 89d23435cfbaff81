// Package feed keeps a process's copy of the configuration up to date.
//
// The copy only changes to higher revisions. It is updated from the store, whose
// head is watched by long polling, and from revisions that peers offer, so that a
// node that can't reach the store still receives what other nodes have. A node with
// a disk saves its last copy there and starts from it.
package feed

import (
	"context"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/conf/model"
	"github.com/agatestage/agatestage/internal/conf/plans"
	"github.com/agatestage/agatestage/internal/state/watch"
)

const fileName = "configuration.json"

// Feed holds a process's current configuration, whose revision never decreases.
type Feed struct {
	store           agatestage.Store
	clock           agatestage.Clock
	folder          string
	current         atomic.Pointer[model.Document]
	storeAnsweredAt atomic.Int64
	mutex           sync.Mutex
	changed         chan struct{}
}

// Option configures a Feed.
type Option func(*Feed)

// WithFolder makes the feed save its copy in a folder.
func WithFolder(folder string) Option {
	return func(feed *Feed) { feed.folder = folder }
}

// New returns a feed at revision 0, or at the revision saved on disk.
func New(store agatestage.Store, clock agatestage.Clock, options ...Option) *Feed {
	feed := &Feed{store: store, clock: clock, changed: make(chan struct{})}
	feed.current.Store(model.Empty())
	for _, option := range options {
		option(feed)
	}
	if feed.folder != "" {
		feed.restore()
	}
	return feed
}

// Current returns the configuration in force in this process.
func (feed *Feed) Current() *model.Document {
	return feed.current.Load()
}

// Rate implements agatestage.RateSource.
func (feed *Feed) Rate(organisation string) (agatestage.Rate, bool) {
	return feed.Current().Rate(organisation)
}

// StoreAnsweredAt returns the time of the store's last answer to a poll, or the
// zero time if there was none.
func (feed *Feed) StoreAnsweredAt() time.Time {
	if nanoseconds := feed.storeAnsweredAt.Load(); nanoseconds != 0 {
		return time.Unix(0, nanoseconds)
	}
	return time.Time{}
}

// Changed returns a channel that is closed when the revision changes.
func (feed *Feed) Changed() <-chan struct{} {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	return feed.changed
}

// Adopt makes the document the current one if its revision is higher. It reports
// whether it did.
func (feed *Feed) Adopt(document *model.Document) bool {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	if document.Revision <= feed.current.Load().Revision {
		return false
	}
	feed.current.Store(document)
	close(feed.changed)
	feed.changed = make(chan struct{})
	klog.InfoS("configuration in force", "revision", document.Revision)
	if feed.folder != "" {
		feed.save(document)
	}
	return true
}

// Serve watches the configuration's head in the store until ctx ends.
func (feed *Feed) Serve(ctx context.Context) error {
	return watch.Follow(ctx, feed.store, feed.clock, plans.HeadKey, feed.applyRecords)
}

// String names the service in logs.
func (feed *Feed) String() string {
	return "configuration feed"
}

// applyRecords loads the revision that a changed head names.
func (feed *Feed) applyRecords(ctx context.Context, records []agatestage.Record, _ bool) error {
	for _, record := range records {
		if record.Key != plans.HeadKey || record.Deleted {
			continue
		}
		if err := feed.loadHead(ctx, record.Value); err != nil {
			klog.V(1).InfoS("configuration not updated from the store", "error", err.Error())
			return err
		}
	}
	feed.storeAnsweredAt.Store(feed.clock.Now().UnixNano())
	return nil
}

// loadHead decodes the head and adopts the revision that it names.
func (feed *Feed) loadHead(ctx context.Context, value []byte) error {
	head, err := plans.DecodeHead(value)
	if err != nil {
		return err
	}
	var document *model.Document
	if document, err = plans.LoadHead(ctx, feed.store, head, feed.Current()); err != nil {
		return err
	}
	feed.Adopt(document)
	return nil
}

// restore loads the copy on disk, if there is one.
func (feed *Feed) restore() {
	data, err := os.ReadFile(filepath.Join(feed.folder, fileName))
	if err != nil {
		return
	}
	document, err := model.Decode(data)
	if err != nil {
		klog.ErrorS(err, "saved configuration can't be decoded")
		return
	}
	feed.current.Store(document)
	klog.InfoS("configuration restored from disk", "revision", document.Revision)
}

// save atomically replaces the copy on disk.
func (feed *Feed) save(document *model.Document) {
	if err := feed.write(document); err != nil {
		klog.ErrorS(err, "configuration not saved on disk")
	}
}

func (feed *Feed) write(document *model.Document) error {
	data, err := document.Encode()
	if err != nil {
		return err
	}
	path := filepath.Join(feed.folder, fileName)
	if err = os.WriteFile(path+".new", data, 0o600); err != nil {
		return errors.Wrap(err, "write configuration")
	}
	return errors.Wrap(os.Rename(path+".new", path), "replace configuration")
}

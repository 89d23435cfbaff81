package blame

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/ticks"
)

const (
	// ArchiveKey is the key of the record in the store.
	ArchiveKey = "blame/quarantine"
	// maxArchived bounds the requests in the record, of which the latest are kept, and
	// maxArchivedLosses the losses of each. maxArchiveBytes bounds the record, as the store
	// refuses a value of more than a megabyte.
	maxArchived       = 400
	maxArchivedLosses = 8
	maxArchiveBytes   = 900 << 10
	// checkDelay is how long the owner of a request waits before it checks that the
	// process that lost the target has saved it.
	checkDelay = 2 * time.Second
	// archiveRetryDelay is the pause after a failed call to the store.
	archiveRetryDelay = 500 * time.Millisecond
	// conflictDelay is the longest pause after another process has written the record. Many
	// may have something to write when a rack goes down.
	conflictDelay = 300 * time.Millisecond
	// clockTolerance is how far the time of day of two hosts may differ for the loss of a
	// target that both report to count once.
	clockTolerance = 10 * time.Second
)

// archivedLoss is the loss of a target in the store. At is a time of day.
type archivedLoss struct {
	Target string
	At     time.Time
	Trial  bool `json:",omitempty"`
	// Requests holds some requests that were lost there with a part.
	Requests []uint64 `json:",omitempty"`
}

// archived is a request in quarantine in the store, or a part of prompts.
type archived struct {
	Part bool `json:",omitempty"`
	// Losses holds the targets that were lost while running the request, by time, and
	// Others those that explain these losses.
	Losses []archivedLoss
	Others []archivedLoss `json:",omitempty"`
	// CompletedAt is when a target has last completed the request, zero if none has.
	CompletedAt time.Time `json:",omitzero"`
}

// last returns when the last target was lost.
func (archived archived) last() time.Time { return archived.Losses[len(archived.Losses)-1].At }

// completed and pardoned are those of its record.
func (archived archived) completed() bool { return archived.CompletedAt.After(archived.last()) }

func (archived archived) pardoned() bool {
	return archived.CompletedAt.Sub(archived.last()) >= barredTime
}

// missing returns the losses that have no counterpart among the known ones. Each known loss is
// the counterpart of one, as a target that keeps its name may be lost again.
func missing(losses, known []archivedLoss) (missing []archivedLoss) {
	left := slices.Clone(known)
	for _, loss := range losses {
		counterpart := slices.IndexFunc(left, func(known archivedLoss) bool {
			return known.Target == loss.Target && known.At.Sub(loss.At).Abs() < clockTolerance
		})
		if counterpart < 0 {
			missing = append(missing, loss)
			continue
		}
		left = slices.Delete(left, counterpart, counterpart+1)
	}
	return missing
}

// covers reports whether what another holds of the request adds nothing that changes how
// it is treated.
func (archived archived) covers(other archived) bool {
	if len(missing(other.Losses, archived.Losses)) > 0 || len(missing(other.Others, archived.Others)) > 0 {
		return false
	}
	return archived.CompletedAt.After(other.CompletedAt) || archived.completed() == other.completed() && archived.pardoned() == other.pardoned()
}

// merge adds to what is stored of a request what this process knows of it.
func (archived archived) merge(own archived) archived {
	own.Losses = append(own.Losses, missing(archived.Losses, own.Losses)...)
	own.Others = append(own.Others, missing(archived.Others, own.Others)...)
	byTime := func(a, b archivedLoss) int { return a.At.Compare(b.At) }
	slices.SortFunc(own.Losses, byTime)
	own.Losses = own.Losses[max(0, len(own.Losses)-maxArchivedLosses):]
	slices.SortFunc(own.Others, byTime)
	own.Others = own.Others[max(0, len(own.Others)-maxArchivedLosses*explainingTargets):]
	if archived.CompletedAt.After(own.CompletedAt) {
		own.CompletedAt = archived.CompletedAt
	}
	return own
}

// Archive keeps what is known of requests in quarantine in the platform's store, so that
// it outlasts all processes that know it. A process saves what it has found out itself;
// the owner of a request checks later that this was done.
type Archive struct {
	store  agatestage.Store
	clock  agatestage.Clock
	list   *List
	owns   func(fingerprint uint64) bool
	wait   func(ctx context.Context)
	found  chan struct{}
	heard  chan struct{}
	loaded atomic.Bool
}

// ArchiveOption configures an Archive.
type ArchiveOption func(*Archive)

// WithOwned sets the function that reports whether this process owns a request.
func WithOwned(owns func(fingerprint uint64) bool) ArchiveOption {
	return func(archive *Archive) { archive.owns = owns }
}

// WithRetryWait replaces the pause after a failed call to the store: wait blocks until the
// next may be made.
func WithRetryWait(wait func(ctx context.Context)) ArchiveOption {
	return func(archive *Archive) { archive.wait = wait }
}

// NewArchive returns the archive of a list. Serve loads and saves.
func NewArchive(store agatestage.Store, clock agatestage.Clock, list *List, options ...ArchiveOption) *Archive {
	archive := &Archive{
		store: store, clock: clock, list: list, owns: func(uint64) bool { return false },
		found: make(chan struct{}, 1), heard: make(chan struct{}, 1),
	}
	archive.wait = func(ctx context.Context) { ticks.Wait(ctx, clock, archiveRetryDelay) }
	for _, option := range options {
		option(archive)
	}
	list.mutex.Lock()
	defer list.mutex.Unlock()
	list.changed = archive.notice
	return archive
}

// Loaded reports whether the list holds what was in the store at the start.
func (archive *Archive) Loaded() bool { return archive.loaded.Load() }

// String names the service in logs.
func (archive *Archive) String() string { return "archive of requests in quarantine" }

// notice notes that what is known of a request in quarantine has changed. Own is true if
// this process has found out part of it. It doesn't block.
func (archive *Archive) notice(own bool) {
	due := archive.heard
	if own {
		due = archive.found
	}
	select {
	case due <- struct{}{}:
	default:
	}
}

// Serve loads the archive, then saves what changes until ctx ends.
func (archive *Archive) Serve(ctx context.Context) error {
	archive.persist(ctx, "load", archive.load)
	var check <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-archive.heard:
			if check == nil {
				check = archive.clock.After(checkDelay)
			}
			continue
		case <-archive.found:
		case <-check:
			check = nil
		}
		archive.persist(ctx, "save", archive.save)
	}
}

// persist calls do until it succeeds or ctx ends.
func (archive *Archive) persist(ctx context.Context, name string, do func(ctx context.Context) error) {
	for failed := false; ctx.Err() == nil; failed = true {
		err := do(ctx)
		if err == nil {
			return
		}
		if !failed {
			klog.InfoS("archive of requests in quarantine not reached; retrying", "call", name, "error", err.Error())
		}
		archive.wait(ctx)
	}
}

// read returns the record in the store and its version.
func (archive *Archive) read(ctx context.Context) (stored map[string]archived, version uint64, err error) {
	var record agatestage.Record
	if record, err = archive.store.Get(ctx, ArchiveKey); errors.Is(err, agatestage.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	if err = json.Unmarshal(record.Value, &stored); err != nil {
		// Another writer's record is replaced with the next change.
		klog.ErrorS(err, "archive of requests in quarantine can't be decoded", "key", ArchiveKey, "version", record.Version)
		return nil, record.Version, nil
	}
	now := archive.clock.Now()
	maps.DeleteFunc(stored, func(name string, archived archived) bool {
		_, ok := fingerprintOf(name)
		return !ok || len(archived.Losses) == 0 || now.Sub(archived.last()) >= repeatedLife
	})
	return stored, record.Version, nil
}

// load adds what is in the store to the list.
func (archive *Archive) load(ctx context.Context) error {
	stored, version, err := archive.read(ctx)
	if err != nil {
		return err
	}
	for name, archived := range stored {
		fingerprint, _ := fingerprintOf(name)
		archive.list.restore(fingerprint, archived)
	}
	archive.loaded.Store(true)
	klog.InfoS("requests in quarantine loaded", "requests", len(stored), "version", version)
	return nil
}

// save writes what the store lacks of the requests that this process answers for.
func (archive *Archive) save(ctx context.Context) error {
	own := archive.list.quarantined(archive.owns)
	if len(own) == 0 {
		return nil
	}
	stored, version, err := archive.read(ctx)
	if err != nil {
		return err
	}
	if stored == nil {
		stored = make(map[string]archived)
	}
	changed := false
	for name, known := range own {
		before, ok := stored[name]
		if ok && before.covers(known) {
			continue
		}
		stored[name], changed = before.merge(known), true
	}
	if !changed {
		return nil
	}
	var data []byte
	if data, err = encodeArchive(stored); err != nil {
		return err
	}
	if _, err = archive.store.Swap(ctx, ArchiveKey, version, data, ""); errors.Is(err, agatestage.ErrConflict) {
		ticks.Wait(ctx, archive.clock, rand.N(conflictDelay))
		return archive.save(ctx)
	}
	if err == nil {
		klog.InfoS("requests in quarantine saved", "requests", len(stored), "bytes", len(data))
	}
	return err
}

// encodeArchive encodes the latest requests, as many as a record may have.
func encodeArchive(stored map[string]archived) ([]byte, error) {
	for most := maxArchived; ; most /= 2 {
		trim(stored, most)
		data, err := json.Marshal(stored)
		if err != nil || len(data) <= maxArchiveBytes || most == 0 {
			return data, errors.Wrap(err, "encode the archive of requests in quarantine")
		}
	}
}

// trim removes requests and parts beyond a number: those with a single loss first, then those
// with the oldest losses.
func trim(stored map[string]archived, most int) {
	if len(stored) <= most {
		return
	}
	names := slices.SortedFunc(maps.Keys(stored), func(a, b string) int {
		several := func(name string) int { return min(len(stored[name].Losses), quarantineLosses) }
		return cmp.Or(several(b)-several(a), stored[b].last().Compare(stored[a].last()), cmp.Compare(a, b))
	})
	for _, name := range names[most:] {
		delete(stored, name)
	}
}

// restore adds what was stored of a request to the list.
func (list *List) restore(fingerprint uint64, archived archived) {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	// The clock of the host that has written the record may be ahead.
	ahead := max(0, archived.last().Sub(list.clock.Now()))
	age := func(at time.Time) time.Duration { return max(0, list.clock.Since(at.Add(-ahead))) }
	for _, other := range archived.Others {
		list.add(Strike{Target: other.Target, Age: age(other.At)}, false)
	}
	for _, lost := range archived.Losses {
		strike := Strike{Target: lost.Target, Age: age(lost.At), Trial: lost.Trial}
		if archived.Part {
			strike.Parts, strike.Requests = []uint64{fingerprint}, lost.Requests
		} else {
			strike.Fingerprint = fingerprint
		}
		list.add(strike, false)
	}
	if archived.CompletedAt.IsZero() {
		return
	}
	completion := Strike{Age: age(archived.CompletedAt)}
	if archived.Part {
		completion.CompletedParts = []uint64{fingerprint}
	} else {
		completion.Completed = fingerprint
	}
	list.add(completion, false)
}

// quarantined returns the requests in quarantine of which this process has found out
// something, and those that it owns, by name.
func (list *List) quarantined(owns func(fingerprint uint64) bool) map[string]archived {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	list.expire(list.clock.Now())
	requests := make(map[string]archived)
	for fingerprint, record := range list.records {
		if (record.own || owns(fingerprint)) && list.kept(fingerprint, record) {
			requests[Name(fingerprint)] = archived{}.merge(list.archived(record))
		}
	}
	return requests
}

// archived returns what is stored of a request. The mutex must be held.
func (list *List) archived(record *record) (stored archived) {
	stored.Part = record.part
	for _, loss := range record.losses {
		stored.Losses = append(stored.Losses, archivedLoss{
			Target: loss.target, At: loss.at, Trial: loss.trial, Requests: loss.requests[:min(len(loss.requests), maxPartRequests)],
		})
	}
	for _, loss := range list.explaining(record) {
		stored.Others = append(stored.Others, archivedLoss{Target: loss.target, At: loss.at})
	}
	stored.CompletedAt = record.completedAt
	return stored
}

package batch

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/gate/rules"
)

// Spec is a job as submitted by its caller. Its exported fields are encoded under
// their names when the job is forwarded to another gateway.
type Spec struct {
	ID           string
	Organisation string
	Route        *rules.Route
	// ConfigVersion is the version of a configuration that has the route. Submit sets it.
	ConfigVersion uint64
	Host          string
	Items         []Item
	// Regions are those that the job may use by that configuration, ItemRoutes the routes of its
	// items other than Route. Submit sets them.
	Regions    agatestage.Regions
	ItemRoutes []string
	// Arrived is when the submission was received.
	Arrived time.Time
	// forwarded is true if the job was submitted to another gateway, which can't reach
	// the store. Such a job isn't forwarded again.
	forwarded bool
}

// canonicalEncoding encodes equal items to equal bytes, regardless of the order of
// their headers.
var canonicalEncoding = mustCanonicalEncoding()

func mustCanonicalEncoding() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func itemsDigest(items []Item) (string, error) {
	data, err := canonicalEncoding.Marshal(items)
	if err != nil {
		return "", errors.Wrap(err, "encode items")
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]), nil
}

// Submit accepts a job. Once it returns nil, the job is durable. Submission is
// idempotent: the same job may be submitted again. After a refusal with RanUnknown,
// the job may or may not have been accepted.
func (manager *Manager) Submit(ctx context.Context, spec Spec) error {
	if refusal := spec.checkIDs(); refusal != nil {
		return refusal
	}
	digest, err := itemsDigest(spec.Items)
	if err != nil {
		return agatestage.Refuse(agatestage.CodeBadRequest, "%v", err)
	}
	if spec.ConfigVersion == 0 {
		spec.ConfigVersion = manager.rules.Version()
		manager.limit(&spec)
	}
	manager.mutex.Lock()
	known, ok := manager.heads[spec.ID]
	busy := manager.claimed[spec.ID]
	if !ok && !busy {
		// The claim prevents a takeover of the job between its write and its start.
		manager.claimed[spec.ID] = true
		defer manager.taken(spec.ID)
	}
	manager.mutex.Unlock()
	switch {
	case ok:
		return checkSameJob(known.Head, spec, digest)
	case manager.fleet.StoreOutage() > forwardAfter:
		return manager.forward(ctx, spec, errors.New("this gateway has lost the store"))
	case busy:
		return unknownRefusal("the job is being submitted already, with an outcome that isn't known yet")
	}
	releaseInput, refusal := manager.admitInput(spec)
	if refusal != nil {
		return refusal
	}
	defer releaseInput()
	var parts [][]byte
	if parts, err = encodeRecords(spec.Items); err != nil {
		return agatestage.Refuse(agatestage.CodeBadRequest, "%v", err)
	}
	if refusal = checkParts(parts); refusal != nil {
		return refusal
	}
	giveUp := spec.Route.GiveUp
	if giveUp <= 0 {
		giveUp = defaultGiveUp
	}
	release, err := manager.jobStore.awaitLine(ctx, spec.Arrived, totalBytes(parts))
	if err != nil {
		return storeRefusal("the line to the store is taken by other jobs", err)
	}
	defer release()
	head := Head{
		ID: spec.ID, Organisation: spec.Organisation, Route: spec.Route.Name, ConfigVersion: spec.ConfigVersion, Host: spec.Host, Region: manager.region,
		Items: len(spec.Items), Parts: len(parts), InputBytes: totalBytes(parts), Digest: digest, State: StateOpen,
		Submitted: spec.Arrived.UTC(), Due: spec.Arrived.Add(spec.Route.Due).UTC(), GiveUp: spec.Arrived.Add(giveUp).UTC(),
		Epoch: 1, Regions: spec.Regions, ItemRoutes: spec.ItemRoutes,
	}
	if !spec.forwarded {
		head.AcceptedBy = manager.instance
	}
	owner := manager.placeJob(head, len(spec.Items))
	if refusal = manager.checkOwnersInputs(spec, owner.Name, totalBytes(parts)); refusal != nil {
		return refusal
	}
	head.Owner, head.Instance = owner.Name, owner.Instance
	var writes []agatestage.Write
	for i, part := range parts {
		writes = append(writes, agatestage.Write{Key: inputKey(spec.ID, i), Value: part})
	}
	lease := manager.currentLease()
	accepted, err := manager.jobStore.writeHead(ctx, versionedHead{}, head, writes...)
	switch {
	case err == nil:
		manager.startAccepted(ctx, accepted, lease, spec)
		return nil
	case errors.Is(err, errHeadChanged):
		return manager.checkResubmission(ctx, spec, digest)
	case errors.Is(err, agatestage.ErrUnavailable):
		return manager.forward(ctx, spec, err)
	case errors.Is(err, agatestage.ErrRejected):
		return storeRefusal("the store doesn't take the job", err)
	}
	klog.InfoS("job submission not acknowledged by the store", "job", spec.ID, "error", err.Error())
	return unknownRefusal("the store did not say whether it has the job")
}

// checkIDs returns a refusal if the store's keys can't hold the ID of the job, or if a record
// can't hold the ID of an item beside the largest output.
func (spec Spec) checkIDs() *agatestage.Refusal {
	for _, key := range []string{headKey(spec.ID), inputKey(spec.ID, 0), chunkKey(spec.ID, 0), progressPrefix + spec.ID} {
		if excess := len(key) - agatestage.MaxKeyBytes; excess > 0 {
			return agatestage.Refuse(agatestage.CodeBadRequest, "the job's ID is longer than %d bytes", len(spec.ID)-excess)
		}
	}
	for i, item := range spec.Items {
		if excess := (Result{ID: item.ID}).size() + maxOutputBytes - agatestage.MaxValueBytes; excess > 0 {
			return agatestage.Refuse(agatestage.CodeTooLarge, "the ID of items[%d] is longer than %d bytes", i, len(item.ID)-excess)
		}
	}
	return nil
}

// checkParts returns a refusal if the store can't take the parts of a job's input together with
// its head.
func checkParts(parts [][]byte) *agatestage.Refusal {
	// The head and the condition on it.
	if most := agatestage.MaxCommitEntries - 2; len(parts) > most {
		return agatestage.Refuse(agatestage.CodeTooLarge, "the job's items take %d records of %d bytes; they may take %d", len(parts), maxRecordBytes, most)
	}
	for _, part := range parts {
		if len(part) > agatestage.MaxValueBytes {
			return agatestage.Refuse(agatestage.CodeTooLarge, "an item takes %d bytes; it may take %d", len(part), agatestage.MaxValueBytes)
		}
	}
	return nil
}

// startAccepted starts a job that has just been written, or notifies its owner. A job
// that was written just before this gateway began to drain is handed over at once.
func (manager *Manager) startAccepted(ctx context.Context, accepted versionedHead, lease agatestage.Lease, spec Spec) {
	klog.InfoS("job accepted", "job", spec.ID, "organisation", spec.Organisation, "route", spec.Route.Name, "items", len(spec.Items),
		"owner", accepted.Owner, "version", accepted.version)
	manager.mutex.Lock()
	manager.cacheHeadLocked(accepted)
	manager.noteOwner(accepted.Head)
	own, draining := accepted.Owner == manager.name, manager.draining
	if !own || draining {
		if manager.mayCache(accepted.Head) {
			manager.snapshots.setItems(spec.ID, spec.Items)
		}
	} else if manager.jobs[spec.ID] == nil {
		manager.startJobLocked(accepted, lease, spec.Items, nil, nil)
	}
	manager.mutex.Unlock()
	switch {
	case !own:
		manager.notifyOwner(accepted, Handover{Whole: true, Items: spec.Items})
	case draining:
		manager.handOver(ctx, accepted, manager.placeJob(accepted.Head, len(spec.Items)), Handover{Items: spec.Items})
	}
}

// checkResubmission answers a submission whose job is already in the store.
func (manager *Manager) checkResubmission(ctx context.Context, spec Spec, digest string) error {
	observed, err := manager.jobStore.head(ctx, spec.ID)
	if err != nil {
		klog.InfoS("job that is in the store not read", "job", spec.ID, "error", err.Error())
		return unknownRefusal("the job can't be looked up now")
	}
	manager.cacheHead(observed)
	return checkSameJob(observed.Head, spec, digest)
}

// checkSameJob returns a refusal if the head is that of another job with the same ID.
func checkSameJob(head Head, spec Spec, digest string) error {
	// The key of a caller may be needed by another configuration only.
	sameOrganisation := head.Organisation == spec.Organisation || head.Organisation == "" || spec.Organisation == ""
	if !sameOrganisation || head.Digest != digest {
		return agatestage.Refuse(agatestage.CodeConflict, "another job has the ID %s", spec.ID)
	}
	return nil
}

// Package jobs serves the callers' HTTP API for batch jobs.
//
// Any entry can handle any request. Inputs and results are written to and read
// from the ledgers directly. Progress and cancellation are queries to the entry
// that owns the job.
package jobs

import (
	"context"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/inlet"
	"github.com/agatestage/agatestage/internal/base/setup"
	"github.com/agatestage/agatestage/internal/batch/heads"
	"github.com/agatestage/agatestage/internal/batch/owner"
	"github.com/agatestage/agatestage/internal/batch/sites"
	"github.com/agatestage/agatestage/internal/conf/feed"
	"github.com/agatestage/agatestage/internal/entry/guard"
	"github.com/agatestage/agatestage/internal/entry/reply"
	"github.com/agatestage/agatestage/internal/state/member"
	"github.com/agatestage/agatestage/internal/trust/certs"
	"github.com/agatestage/agatestage/internal/wire/link"
)

// KindJob is the kind of the exchange in which an entry queries a job's owner.
const KindJob = "Job"

const (
	// askTimeout bounds a query to an owner, cancelTimeout a cancellation. The owner of a job
	// that is cancelled answers earlier by askTimeout.
	askTimeout    = 2 * time.Second
	cancelTimeout = 5 * time.Second
	// acceptTimeout bounds the writes that decide whether a job is accepted, whose caller may
	// have left.
	acceptTimeout           = 30 * time.Second
	defaultCompletionWindow = 24 * time.Hour
	batchPrefix             = "batch_"
	filePrefix              = "file-"
	outputSuffix            = "-output"
	maxListedJobs           = 100
)

// Ask is a query to a job's owner. With Cancel it also cancels the job.
type Ask struct {
	Job    string
	Cancel bool
}

// OwnerReply is the reply to an Ask.
type OwnerReply struct {
	// Owned is false if the entry doesn't own the job.
	Owned    bool
	Progress owner.Progress
}

// Jobs serves the API of batch jobs.
type Jobs struct {
	feed     *feed.Feed
	guard    *guard.Guard
	limiter  agatestage.Limiter
	registry *heads.Registry
	manager  *owner.Manager
	sites    *sites.Sites
	roster   *member.Roster
	node     *link.Node
	bounds   setup.Bounds
	clock    agatestage.Clock
}

// New returns a Jobs and registers the handler of its exchange with the node.
func New(feed *feed.Feed, guard *guard.Guard, limiter agatestage.Limiter, registry *heads.Registry, manager *owner.Manager, sites *sites.Sites, roster *member.Roster, node *link.Node, bounds setup.Bounds, clock agatestage.Clock) *Jobs {
	jobs := &Jobs{
		feed: feed, guard: guard, limiter: limiter, registry: registry, manager: manager, sites: sites, roster: roster,
		node: node, bounds: bounds, clock: clock,
	}
	node.Handle(KindJob, jobs.serveAsk)
	return jobs
}

// Routes adds the API's routes to a router.
func (jobs *Jobs) Routes(router *mux.Router) {
	router.HandleFunc("/v1/files", jobs.requireKey(unlessStopping(jobs.upload))).Methods(http.MethodPost)
	router.HandleFunc("/v1/files/{file}", jobs.requireKey(jobs.file)).Methods(http.MethodGet)
	router.HandleFunc("/v1/files/{file}/content", jobs.requireKey(jobs.content)).Methods(http.MethodGet)
	router.HandleFunc("/v1/batches", jobs.requireKey(unlessStopping(jobs.create))).Methods(http.MethodPost)
	router.HandleFunc("/v1/batches", jobs.requireKey(jobs.list)).Methods(http.MethodGet)
	router.HandleFunc("/v1/batches/{batch}", jobs.requireKey(jobs.get)).Methods(http.MethodGet)
	router.HandleFunc("/v1/batches/{batch}/cancel", jobs.requireKey(jobs.cancel)).Methods(http.MethodPost)
	router.HandleFunc("/v1/batches/{batch}/results", jobs.requireKey(jobs.results)).Methods(http.MethodGet)
}

// operation handles a request of an organisation, or returns a refusal.
type operation func(writer http.ResponseWriter, request *http.Request, organisation string) error

// unlessStopping returns an operation that is refused while the entry is being stopped.
func unlessStopping(next operation) operation {
	return func(writer http.ResponseWriter, request *http.Request, organisation string) error {
		if !inlet.Ends(request.Context()).IsZero() {
			return agatestage.RefuseStopping()
		}
		return next(writer, request, organisation)
	}
}

// requireKey returns a handler that runs the operation only for requests with a
// valid key. A caller that has closed its sending side still reads, and occupies no target,
// so the operation doesn't end with it.
func (jobs *Jobs) requireKey(operation operation) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		organisation, err := jobs.guard.Authenticate(request)
		if err == nil {
			ctx, cancel := inlet.WithoutCaller(request.Context())
			defer cancel()
			err = operation(writer, request.WithContext(ctx), organisation)
		}
		if err != nil {
			reply.Refuse(writer, err)
		}
	}
}

// findJob returns the job with the ID if it belongs to the organisation.
func (jobs *Jobs) findJob(ctx context.Context, id, organisation string) (heads.Entry, error) {
	entry, ok := jobs.registry.Get(id)
	if !ok {
		var err error
		if entry, err = jobs.registry.Fetch(ctx, id); err != nil && !errors.Is(err, agatestage.ErrNotFound) {
			return entry, agatestage.Refuse(agatestage.CodeStore, "the job is not known here and the platform's store did not answer")
		}
	}
	if entry.Head.ID != id || entry.Head.Organisation != organisation {
		return entry, agatestage.Refuse(agatestage.CodeNotFound, "no such job")
	}
	return entry, nil
}

// progress returns a job's progress, which comes from its owner while the job is
// running. If the entry that the head names doesn't own the job any more, the
// local copy of the head is out of date, so it is read from the store again.
func (jobs *Jobs) progress(ctx context.Context, entry heads.Entry) owner.Progress {
	for range 2 {
		head := entry.Head
		if head.State.Ended() || head.State == heads.StateUploaded {
			return owner.Progress{Head: head, Completed: head.Completed, Failed: head.Failed}
		}
		if ownerReply, err := jobs.ask(ctx, head, Ask{Job: head.ID}, askTimeout); err == nil && ownerReply.Owned {
			return ownerReply.Progress
		}
		latest, err := jobs.registry.Fetch(ctx, head.ID)
		if err != nil || latest.Version == entry.Version {
			break
		}
		entry = latest
	}
	return owner.Progress{Head: entry.Head, Completed: entry.Head.Completed, Failed: entry.Head.Failed}
}

// errNoOwner means that no entry owns the job, so that none can be asked.
var errNoOwner = errors.New("the job has no owner at the moment")

// ask sends a query to the job's owner, which may be this entry.
func (jobs *Jobs) ask(ctx context.Context, head heads.Head, ask Ask, timeout time.Duration) (ownerReply OwnerReply, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if head.Owner == jobs.roster.Self().Name {
		return jobs.answer(ctx, ask), nil
	}
	address, ok := jobs.roster.Address(head.Owner)
	if !ok {
		return ownerReply, errNoOwner
	}
	err = jobs.node.Ask(ctx, address, KindJob, ask, &ownerReply)
	return ownerReply, err
}

// answer returns the reply to a query; Owned is false in it if this entry
// does not own the job.
func (jobs *Jobs) answer(ctx context.Context, ask Ask) (ownerReply OwnerReply) {
	job, ok := jobs.manager.Get(ask.Job)
	if !ok {
		return ownerReply
	}
	ownerReply.Owned = true
	if ask.Cancel {
		ctx, cancel := context.WithTimeout(ctx, cancelTimeout-askTimeout)
		defer cancel()
		// If the cancellation is not in the store yet, the progress reports the
		// job as cancelling.
		_ = job.Cancel(ctx)
	}
	ownerReply.Progress = job.Progress()
	return ownerReply
}

// serveAsk answers a query from another entry.
func (jobs *Jobs) serveAsk(ctx context.Context, peer certs.Identity, stream *link.Stream) error {
	if peer.Role != agatestage.RoleEntry {
		return errors.Errorf("%s is not an entry", peer.Host)
	}
	var ask Ask
	if err := stream.Receive(&ask); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	return stream.Send(jobs.answer(ctx, ask))
}

// jobID returns the ID of the job that the requested batch's ID names.
func jobID(request *http.Request) string {
	return strings.TrimPrefix(mux.Vars(request)["batch"], batchPrefix)
}

func (jobs *Jobs) get(writer http.ResponseWriter, request *http.Request, organisation string) error {
	entry, err := jobs.findJob(request.Context(), jobID(request), organisation)
	if err != nil {
		return err
	}
	if entry.Head.State == heads.StateUploaded {
		return agatestage.Refuse(agatestage.CodeNotFound, "no such job")
	}
	progress := jobs.progress(request.Context(), entry)
	reply.JSON(writer, http.StatusOK, newBatch(progress))
	return nil
}

// list serves a page of up to maxListedJobs of the organisation's jobs, newest
// first.
func (jobs *Jobs) list(writer http.ResponseWriter, request *http.Request, organisation string) error {
	list := batchList{Object: "list", Data: []batch{}}
	for _, entry := range jobs.registry.All() {
		if entry.Head.Organisation == organisation && entry.Head.State != heads.StateUploaded {
			list.Data = append(list.Data, newBatch(owner.Progress{Head: entry.Head, Completed: entry.Head.Completed, Failed: entry.Head.Failed}))
		}
	}
	sort.Slice(list.Data, func(i, j int) bool {
		a, b := list.Data[i], list.Data[j]
		return a.CreatedAt > b.CreatedAt || a.CreatedAt == b.CreatedAt && a.ID < b.ID
	})
	if after := request.URL.Query().Get("after"); after != "" {
		for i := range list.Data {
			if list.Data[i].ID == after {
				list.Data = list.Data[i+1:]
				break
			}
		}
	}
	if list.HasMore = len(list.Data) > maxListedJobs; list.HasMore {
		list.Data = list.Data[:maxListedJobs]
	}
	reply.JSON(writer, http.StatusOK, list)
	return nil
}

// cancel asks the owner of a job to cancel it. A job that has ended is not changed.
func (jobs *Jobs) cancel(writer http.ResponseWriter, request *http.Request, organisation string) error {
	entry, err := jobs.findJob(request.Context(), jobID(request), organisation)
	if err != nil {
		return err
	}
	if entry.Head.State.Ended() {
		progress := jobs.progress(request.Context(), entry)
		reply.JSON(writer, http.StatusOK, newBatch(progress))
		return nil
	}
	ownerReply, err := jobs.ask(request.Context(), entry.Head, Ask{Job: entry.Head.ID, Cancel: true}, cancelTimeout)
	if err != nil || !ownerReply.Owned {
		refusal := agatestage.Refuse(agatestage.CodeLedger, "the job's owner is not there at the moment; the job is not cancelled yet")
		if err != nil && !errors.Is(err, errNoOwner) {
			refusal.Message, refusal.Ran = "the job's owner did not say whether it cancels the job; ask again", agatestage.RanUnknown
		}
		refusal.RetryAfter = askTimeout
		return refusal
	}
	reply.JSON(writer, http.StatusOK, newBatch(ownerReply.Progress))
	return nil
}

// Summary describes a job to operators.
type Summary struct {
	ID           string
	Organisation string
	State        heads.State
	Model        string
	Items        int
	Owner        string
	Epoch        uint64
	Created      time.Time
	Due          time.Time
	Completed    int
	Failed       int
}

// Summaries implements admin.Jobs.
func (jobs *Jobs) Summaries() any {
	list := []Summary{}
	for _, entry := range jobs.registry.All() {
		head := entry.Head
		summary := Summary{
			ID: head.ID, Organisation: head.Organisation, State: head.State, Model: head.Model, Items: head.Items,
			Owner: head.Owner, Epoch: head.Epoch, Created: head.Created, Due: head.Due, Completed: head.Completed, Failed: head.Failed,
		}
		if job, ok := jobs.manager.Get(head.ID); ok {
			progress := job.Progress()
			summary.Completed, summary.Failed = progress.Completed, progress.Failed
		}
		list = append(list, summary)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

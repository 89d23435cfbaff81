package jobs

import (
	"context"
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/batch/heads"
	"github.com/agatestage/agatestage/internal/batch/owner"
	"github.com/agatestage/agatestage/internal/entry/front"
	"github.com/agatestage/agatestage/internal/entry/reply"
)

const (
	keyHeader    = "Idempotency-Key"
	maxKeyLength = 255
	maxRequest   = 1 << 20
	maxField     = 1 << 10
	maxWindow    = 30 * 24 * time.Hour
)

// createRequest is the published API's request for a job on an uploaded input.
type createRequest struct {
	InputFileID      string            `json:"input_file_id"`
	Endpoint         string            `json:"endpoint"`
	CompletionWindow string            `json:"completion_window"`
	Metadata         map[string]string `json:"metadata"`
}

// create makes a job of the items in the body, or of an uploaded input.
func (jobs *Jobs) create(writer http.ResponseWriter, request *http.Request, organisation string) error {
	if err := jobs.limiter.Admit(request.Context(), organisation); err != nil {
		return err
	}
	kind, _, _ := mime.ParseMediaType(request.Header.Get("Content-Type"))
	if kind == "application/json" {
		return jobs.createFromFile(writer, request, organisation)
	}
	window, err := parseWindow(request.URL.Query().Get("completion_window"))
	if err != nil {
		return err
	}
	var head heads.Head
	if head, err = jobs.accept(request, organisation, jobs.body(writer, request), window, heads.StateRunning); err != nil {
		return err
	}
	progress := jobs.progress(request.Context(), heads.Entry{Head: head})
	reply.JSON(writer, http.StatusOK, newBatch(progress))
	return nil
}

// body returns the request's body within its bounds on size and pace: each
// piece must come within the bound on time.
func (jobs *Jobs) body(writer http.ResponseWriter, request *http.Request) io.Reader {
	return &pacedBody{
		reader:     http.MaxBytesReader(writer, request.Body, jobs.bounds.JobBytes),
		controller: http.NewResponseController(writer),
		within:     jobs.bounds.BodyTime.Duration,
	}
}

// pacedBody extends the deadline of a body's reading with each piece.
type pacedBody struct {
	reader     io.Reader
	controller *http.ResponseController
	within     time.Duration
}

// Read implements io.Reader.
func (body *pacedBody) Read(p []byte) (int, error) {
	// A connection without deadlines, as in tests, reads without one.
	_ = body.controller.SetReadDeadline(time.Now().Add(body.within))
	return body.reader.Read(p)
}

// parseWindow returns the time until a job is due.
func parseWindow(text string) (time.Duration, error) {
	if text == "" {
		return defaultWindow, nil
	}
	window, err := time.ParseDuration(text)
	if err != nil || window <= 0 || window > maxWindow {
		return 0, agatestage.Refuse(agatestage.CodeBadRequest, "completion_window must be a time such as 24h, above 0 and up to %v", maxWindow)
	}
	return window, nil
}

// accept writes the items to the ledgers and the head to the store. A job with
// an idempotency key that is already bound to the same input is that job.
func (jobs *Jobs) accept(request *http.Request, organisation string, body io.Reader, window time.Duration, state heads.State) (heads.Head, error) {
	ctx := request.Context()
	key := request.Header.Get(keyHeader)
	if len(key) > maxKeyLength {
		return heads.Head{}, agatestage.Refuse(agatestage.CodeBadRequest, "%s is longer than %d bytes", keyHeader, maxKeyLength)
	}
	intake, err := jobs.newIntake(organisation)
	if err != nil {
		return heads.Head{}, err
	}
	intake.head.State, intake.head.Due = state, intake.head.Created.Add(window)
	if err = intake.read(ctx, body); err != nil {
		intake.abandon(ctx)
		var refusal *agatestage.Refusal
		if !errors.As(err, &refusal) {
			err = front.BodyError(err, jobs.bounds.JobBytes, jobs.bounds.BodyTime.Duration)
		}
		return heads.Head{}, err
	}
	if key == "" {
		return jobs.write(ctx, intake)
	}
	return jobs.acceptOnce(ctx, intake, keyName(organisation, key))
}

// keyName returns the name under which an organisation's key is kept.
func keyName(organisation, key string) string {
	return organisation + "/" + hexDigest(key)
}

// acceptOnce writes the head unless the key is bound to another job.
func (jobs *Jobs) acceptOnce(ctx context.Context, intake *intake, name string) (heads.Head, error) {
	own := heads.Key{Job: intake.head.ID, Digest: intake.head.Digest}
	intake.head.Key = name
	bound, err := jobs.registry.BindKey(ctx, name, own)
	if err != nil {
		intake.abandon(ctx)
		return heads.Head{}, storeRefusal(err)
	}
	if bound == own {
		return jobs.write(ctx, intake)
	}
	if bound.Digest != own.Digest {
		intake.abandon(ctx)
		return heads.Head{}, agatestage.Refuse(agatestage.CodeConflict, "%s has been used for a job with another body", keyHeader)
	}
	existing, err := jobs.registry.Fetch(ctx, bound.Job)
	if err == nil {
		intake.abandon(ctx)
		return existing.Head, nil
	}
	if !errors.Is(err, agatestage.ErrNotFound) {
		intake.abandon(ctx)
		return heads.Head{}, storeRefusal(err)
	}
	// The entry that bound the key was lost before it wrote the head.
	if err = jobs.registry.RebindKey(ctx, name, bound, own); err != nil {
		intake.abandon(ctx)
		return heads.Head{}, storeRefusal(err)
	}
	return jobs.write(ctx, intake)
}

// write makes the job by writing its head.
func (jobs *Jobs) write(ctx context.Context, intake *intake) (heads.Head, error) {
	entry, err := jobs.registry.Swap(ctx, intake.head, 0)
	if err == nil {
		return entry.Head, nil
	}
	if entry, fetchErr := jobs.registry.Fetch(ctx, intake.head.ID); fetchErr == nil {
		// The write took effect, and the job has moved on already.
		return entry.Head, nil
	} else if errors.Is(fetchErr, agatestage.ErrNotFound) && errors.Is(err, agatestage.ErrConflict) {
		intake.abandon(ctx)
		return heads.Head{}, storeRefusal(err)
	}
	// Whether the job exists isn't known, so its input stays.
	return heads.Head{}, &agatestage.Refusal{
		Code:    agatestage.CodeStore,
		Message: "the platform's store did not say whether the job was accepted; send it again with the same " + keyHeader,
		Ran:     agatestage.RanUnknown,
	}
}

func storeRefusal(err error) error {
	refusal := agatestage.Refuse(agatestage.CodeStore, "the platform's store did not take the job: %v", err)
	refusal.RetryAfter = time.Second
	return refusal
}

// createFromFile makes a job of an uploaded input. Asking again returns the
// same job, as clients of the published API repeat requests by themselves.
func (jobs *Jobs) createFromFile(writer http.ResponseWriter, request *http.Request, organisation string) error {
	var wanted createRequest
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxRequest))
	if err := decoder.Decode(&wanted); err != nil {
		return agatestage.Refuse(agatestage.CodeBadRequest, "the body is not a JSON object of the expected form: %v", err)
	}
	window, err := parseWindow(wanted.CompletionWindow)
	if err != nil {
		return err
	}
	entry, err := jobs.find(request.Context(), strings.TrimPrefix(wanted.InputFileID, filePrefix), organisation)
	if err != nil {
		return err
	}
	if wanted.Endpoint != "" && wanted.Endpoint != entry.Head.Endpoint {
		return agatestage.Refuse(agatestage.CodeBadRequest, "the items call %s, not %s", entry.Head.Endpoint, wanted.Endpoint)
	}
	if entry.Head.State == heads.StateUploaded {
		head := entry.Head.Clone()
		now := jobs.clock.Now().UTC()
		head.State, head.Created, head.Due, head.Metadata = heads.StateRunning, now, now.Add(window), wanted.Metadata
		if entry, err = jobs.registry.Swap(request.Context(), head, entry.Version); errors.Is(err, agatestage.ErrConflict) {
			entry, err = jobs.registry.Fetch(request.Context(), head.ID)
		}
		if err != nil {
			return &agatestage.Refusal{Code: agatestage.CodeStore, Message: "the platform's store did not say whether the job was made; ask again", Ran: agatestage.RanUnknown}
		}
	}
	progress := jobs.progress(request.Context(), entry)
	reply.JSON(writer, http.StatusOK, newBatch(progress))
	return nil
}

// upload keeps an input for a job.
func (jobs *Jobs) upload(writer http.ResponseWriter, request *http.Request, organisation string) error {
	if err := jobs.limiter.Admit(request.Context(), organisation); err != nil {
		return err
	}
	request.Body = io.NopCloser(jobs.body(writer, request))
	parts, err := request.MultipartReader()
	if err != nil {
		return agatestage.Refuse(agatestage.CodeBadRequest, "the body is not a multipart form: %v", err)
	}
	for {
		part, err := parts.NextPart()
		if err == io.EOF {
			return agatestage.Refuse(agatestage.CodeBadRequest, `the form has no part "file"`)
		}
		if err != nil {
			return front.BodyError(err, jobs.bounds.JobBytes, jobs.bounds.BodyTime.Duration)
		}
		if part.FormName() == "purpose" {
			purpose, _ := io.ReadAll(io.LimitReader(part, maxField))
			if string(purpose) != "batch" {
				return agatestage.Refuse(agatestage.CodeBadRequest, "purpose %q is not supported; only batch is", purpose)
			}
			continue
		}
		if part.FormName() != "file" {
			continue
		}
		var head heads.Head
		if head, err = jobs.accept(request, organisation, part, defaultWindow, heads.StateUploaded); err != nil {
			return err
		}
		reply.JSON(writer, http.StatusOK, inputFile(head))
		return nil
	}
}

// inputFile returns an input in the published API's form.
func inputFile(head heads.Head) file {
	var size int64
	for _, segment := range head.Input {
		size += segment.Bytes
	}
	return file{
		ID: filePrefix + head.ID, Object: "file", Bytes: size, CreatedAt: head.Created.Unix(),
		Filename: head.ID + ".jsonl", Purpose: "batch", Status: "processed",
	}
}

// outputFile returns the results in the published API's form.
func outputFile(progress owner.Progress) file {
	var size int64
	for _, segment := range progress.Head.Results {
		size += segment.Bytes
	}
	return file{
		ID: filePrefix + progress.Head.ID + outputSuffix, Object: "file", Bytes: size, CreatedAt: progress.Head.Created.Unix(),
		Filename: progress.Head.ID + outputSuffix + ".jsonl", Purpose: "batch_output", Status: "processed",
	}
}

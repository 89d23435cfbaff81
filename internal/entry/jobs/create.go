package jobs

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/inlet"
	"github.com/agatestage/agatestage/internal/batch/heads"
	"github.com/agatestage/agatestage/internal/batch/owner"
	"github.com/agatestage/agatestage/internal/entry/front"
	"github.com/agatestage/agatestage/internal/entry/reply"
)

const (
	idempotencyKeyHeader   = "Idempotency-Key"
	maxIdempotencyKeyBytes = 255
	maxRequestBytes        = 1 << 20
	maxFieldBytes          = 1 << 10
	maxCompletionWindow    = 30 * 24 * time.Hour
	// uploadBytes is the memory that an upload takes at a time: encoded blocks up to the threshold
	// at which they are written, in a buffer that grows, and an item of the largest size.
	uploadBytes = 3 << 20
)

// createRequest is the published API's request to create a job from an uploaded
// input.
type createRequest struct {
	InputFileID      string            `json:"input_file_id"`
	Endpoint         string            `json:"endpoint"`
	CompletionWindow string            `json:"completion_window"`
	Metadata         map[string]string `json:"metadata"`
}

// create creates a job from the items in the body or from an uploaded input.
func (jobs *Jobs) create(writer http.ResponseWriter, request *http.Request, organisation string) error {
	if err := jobs.limiter.Admit(request.Context(), organisation); err != nil {
		return err
	}
	mediaType, _, _ := mime.ParseMediaType(request.Header.Get("Content-Type"))
	if mediaType == "application/json" {
		return jobs.createFromFile(writer, request, organisation)
	}
	window, err := parseCompletionWindow(request.URL.Query().Get("completion_window"))
	if err != nil {
		return err
	}
	var head heads.Head
	if head, err = jobs.accept(request, organisation, jobs.limitedBody(writer, request), window, heads.StateRunning); err != nil {
		return err
	}
	progress := jobs.progress(request.Context(), heads.Entry{Head: head})
	reply.JSON(writer, http.StatusOK, newBatch(progress))
	return nil
}

// limitedBody returns the request's body with the bound on its size, and with the
// bound on time applied to each read.
func (jobs *Jobs) limitedBody(writer http.ResponseWriter, request *http.Request) io.Reader {
	return &deadlineBody{
		reader:      http.MaxBytesReader(writer, request.Body, jobs.bounds.JobBytes),
		controller:  http.NewResponseController(writer),
		readTimeout: jobs.bounds.BodyTime.Duration,
	}
}

// deadlineBody sets a new read deadline on the connection before each read.
type deadlineBody struct {
	reader      io.Reader
	controller  *http.ResponseController
	readTimeout time.Duration
}

// Read implements io.Reader.
func (body *deadlineBody) Read(p []byte) (int, error) {
	// Writers in tests may not support deadlines; reads then have none.
	_ = body.controller.SetReadDeadline(time.Now().Add(body.readTimeout))
	return body.reader.Read(p)
}

// parseCompletionWindow returns the time from a job's creation until it is due.
func parseCompletionWindow(text string) (time.Duration, error) {
	if text == "" {
		return defaultCompletionWindow, nil
	}
	window, err := time.ParseDuration(text)
	if err != nil || window <= 0 || window > maxCompletionWindow {
		return 0, agatestage.Refuse(agatestage.CodeBadRequest, "completion_window must be a time such as 24h, above 0 and up to %v", maxCompletionWindow)
	}
	return window, nil
}

// accept writes the items to the ledgers and the head to the store. If the
// request's idempotency key is already bound to a job with the same input, it
// returns that job.
func (jobs *Jobs) accept(request *http.Request, organisation string, body io.Reader, window time.Duration, state heads.State) (heads.Head, error) {
	ctx := request.Context()
	key := request.Header.Get(idempotencyKeyHeader)
	if len(key) > maxIdempotencyKeyBytes {
		return heads.Head{}, agatestage.Refuse(agatestage.CodeBadRequest, "%s is longer than %d bytes", idempotencyKeyHeader, maxIdempotencyKeyBytes)
	}
	if inlet.Keep(ctx, uploadBytes) != nil {
		return heads.Head{}, agatestage.RefuseMemory()
	}
	inputWriter, err := jobs.newInputWriter(organisation)
	if err != nil {
		return heads.Head{}, err
	}
	inputWriter.head.State, inputWriter.head.Due = state, inputWriter.head.Created.Add(window)
	if err = inputWriter.read(ctx, body); err != nil {
		inputWriter.discard(ctx)
		var refusal *agatestage.Refusal
		if !errors.As(err, &refusal) {
			err = front.BodyError(err, jobs.bounds.JobBytes, jobs.bounds.BodyTime.Duration)
		}
		return heads.Head{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	if key == "" {
		return jobs.createHead(ctx, inputWriter)
	}
	return jobs.acceptIdempotent(ctx, inputWriter, idempotencyKeyName(organisation, key))
}

// idempotencyKeyName returns the name under which an organisation's idempotency
// key is stored.
func idempotencyKeyName(organisation, key string) string {
	return organisation + "/" + hexDigest(key)
}

// acceptIdempotent binds the idempotency key to the job and creates its head. If
// the key is bound to another job with the same input, it returns that job.
func (jobs *Jobs) acceptIdempotent(ctx context.Context, inputWriter *inputWriter, name string) (heads.Head, error) {
	own := heads.Key{Job: inputWriter.head.ID, Digest: inputWriter.head.Digest}
	inputWriter.head.Key = name
	bound, err := jobs.registry.BindKey(ctx, name, own)
	if err != nil {
		inputWriter.discard(ctx)
		return heads.Head{}, storeRefusal(err)
	}
	if bound == own {
		return jobs.createHead(ctx, inputWriter)
	}
	if bound.Digest != own.Digest {
		inputWriter.discard(ctx)
		return heads.Head{}, agatestage.Refuse(agatestage.CodeConflict, "%s has been used for a job with another body", idempotencyKeyHeader)
	}
	existing, err := jobs.registry.Fetch(ctx, bound.Job)
	if err == nil {
		inputWriter.discard(ctx)
		return existing.Head, nil
	}
	if !errors.Is(err, agatestage.ErrNotFound) {
		inputWriter.discard(ctx)
		return heads.Head{}, storeRefusal(err)
	}
	// The entry that bound the key failed before it wrote the head.
	if err = jobs.registry.RebindKey(ctx, name, bound, own); err != nil {
		inputWriter.discard(ctx)
		return heads.Head{}, storeRefusal(err)
	}
	return jobs.createHead(ctx, inputWriter)
}

// createHead creates the job by writing its head to the store.
func (jobs *Jobs) createHead(ctx context.Context, inputWriter *inputWriter) (heads.Head, error) {
	entry, err := jobs.registry.Swap(ctx, inputWriter.head, 0)
	if err == nil {
		return entry.Head, nil
	}
	if entry, fetchErr := jobs.registry.Fetch(ctx, inputWriter.head.ID); fetchErr == nil {
		// The write took effect although it returned an error; the head may have
		// been updated since.
		return entry.Head, nil
	} else if errors.Is(fetchErr, agatestage.ErrNotFound) && (errors.Is(err, agatestage.ErrConflict) || errors.Is(err, agatestage.ErrRejected)) {
		inputWriter.discard(ctx)
		return heads.Head{}, storeRefusal(err)
	}
	// The job may exist, so its input must be kept.
	return heads.Head{}, &agatestage.Refusal{
		Code:    agatestage.CodeStore,
		Message: "the platform's store did not say whether the job was accepted; send it again with the same " + idempotencyKeyHeader,
		Ran:     agatestage.RanUnknown,
	}
}

// storeRefusal returns the refusal for a store error after which the job does not
// exist.
func storeRefusal(err error) error {
	refusal := agatestage.Refuse(agatestage.CodeStore, "the platform's store did not take the job: %v", err)
	refusal.RetryAfter = time.Second
	return refusal
}

// createFromFile creates a job from an uploaded input. A repeated request returns
// the same job, because clients of the published API retry on their own.
func (jobs *Jobs) createFromFile(writer http.ResponseWriter, request *http.Request, organisation string) error {
	var batchRequest createRequest
	bounds := jobs.bounds
	bounds.BodyBytes = maxRequestBytes
	body, err := front.ReadBody(writer, request, bounds)
	if err != nil {
		return err
	}
	if err = json.NewDecoder(bytes.NewReader(body)).Decode(&batchRequest); err != nil {
		return agatestage.Refuse(agatestage.CodeBadRequest, "the body is not a JSON object of the expected form: %v", err)
	}
	window, err := parseCompletionWindow(batchRequest.CompletionWindow)
	if err != nil {
		return err
	}
	entry, err := jobs.findJob(request.Context(), strings.TrimPrefix(batchRequest.InputFileID, filePrefix), organisation)
	if err != nil {
		return err
	}
	if batchRequest.Endpoint != "" && batchRequest.Endpoint != entry.Head.Endpoint {
		return agatestage.Refuse(agatestage.CodeBadRequest, "the items call %s, not %s", entry.Head.Endpoint, batchRequest.Endpoint)
	}
	if entry.Head.State == heads.StateUploaded {
		head := entry.Head.Clone()
		now := jobs.clock.Now().UTC()
		head.State, head.Created, head.Due, head.Metadata = heads.StateRunning, now, now.Add(window), batchRequest.Metadata
		ctx, cancel := context.WithTimeout(request.Context(), acceptTimeout)
		defer cancel()
		if entry, err = jobs.registry.Swap(ctx, head, entry.Version); errors.Is(err, agatestage.ErrConflict) {
			entry, err = jobs.registry.Fetch(ctx, head.ID)
		}
		if errors.Is(err, agatestage.ErrRejected) {
			return agatestage.Refuse(agatestage.CodeTooLarge, "the platform's store does not take the job with its metadata: %v", err)
		}
		if err != nil {
			return &agatestage.Refusal{Code: agatestage.CodeStore, Message: "the platform's store did not say whether the job was made; ask again", Ran: agatestage.RanUnknown}
		}
	}
	progress := jobs.progress(request.Context(), entry)
	reply.JSON(writer, http.StatusOK, newBatch(progress))
	return nil
}

// upload stores an input from which a job can be created later.
func (jobs *Jobs) upload(writer http.ResponseWriter, request *http.Request, organisation string) error {
	if err := jobs.limiter.Admit(request.Context(), organisation); err != nil {
		return err
	}
	request.Body = io.NopCloser(jobs.limitedBody(writer, request))
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
			purpose, _ := io.ReadAll(io.LimitReader(part, maxFieldBytes))
			if string(purpose) != "batch" {
				return agatestage.Refuse(agatestage.CodeBadRequest, "purpose %q is not supported; only batch is", purpose)
			}
			continue
		}
		if part.FormName() != "file" {
			continue
		}
		var head heads.Head
		if head, err = jobs.accept(request, organisation, part, defaultCompletionWindow, heads.StateUploaded); err != nil {
			return err
		}
		reply.JSON(writer, http.StatusOK, inputFile(head))
		return nil
	}
}

// inputFile returns a job's input as the published API represents it.
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

// outputFile returns a job's output as the published API represents it.
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

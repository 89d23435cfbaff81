package jobs

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"hash"
	"io"
	"net/http"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/inlet"
	"github.com/agatestage/agatestage/internal/base/setup"
	"github.com/agatestage/agatestage/internal/batch/frame"
	"github.com/agatestage/agatestage/internal/batch/heads"
	"github.com/agatestage/agatestage/internal/batch/owner"
	"github.com/agatestage/agatestage/internal/batch/sites"
	"github.com/agatestage/agatestage/internal/conf/model"
)

const (
	// maxBlockItems and maxBlockBytes bound a block of input.
	maxBlockItems = 64
	maxBlockBytes = 256 << 10
	// appendThresholdBytes is the amount of encoded input that triggers a write
	// to the ledgers.
	appendThresholdBytes = 1 << 20
	inputSegment         = "input-0"
	// itemIDBytes is what the set of IDs takes for an item, and countedItems after how many items it
	// is counted.
	itemIDBytes  = 32
	countedItems = 1024
)

// batchEndpoints are the paths that batch items may call.
var batchEndpoints = map[string]bool{"/v1/chat/completions": true, "/v1/completions": true}

// inputWriter validates the items of one job and writes them to its ledgers
// while the request body is being received.
type inputWriter struct {
	sites    *sites.Sites
	bounds   setup.Bounds
	document *model.Document
	head     heads.Head
	hosts    []string
	digest   hash.Hash
	// seenIDs holds the hashes of the custom_ids read so far.
	seenIDs   map[uint64]struct{}
	block     agatestage.Block
	blockSize int
	// encoded holds the encoded blocks that are not yet written to the ledgers,
	// offset the length of the input segment there.
	encoded []byte
	offset  int64
}

// newInputWriter chooses the ledgers of a new job.
func (jobs *Jobs) newInputWriter(organisation string) (*inputWriter, error) {
	id := strings.ReplaceAll(uuid.NewString(), "-", "")
	hosts, err := jobs.sites.Choose(id, nil)
	if err != nil {
		return nil, err
	}
	now := jobs.clock.Now().UTC()
	return &inputWriter{
		sites: jobs.sites, bounds: jobs.bounds, document: jobs.feed.Current(), hosts: hosts,
		digest: sha256.New(), seenIDs: make(map[uint64]struct{}),
		head: heads.Head{ID: id, Organisation: organisation, State: heads.StateRunning, Created: now, Due: now.Add(defaultCompletionWindow)},
	}, nil
}

// read reads an input of one JSON document per line up to its end.
func (inputWriter *inputWriter) read(ctx context.Context, body io.Reader) error {
	reader := bufio.NewReaderSize(body, 64<<10)
	var total int64
	for lineNumber := 1; ; lineNumber++ {
		line, err := readLine(reader, inputWriter.bounds.ItemBytes)
		if err == io.EOF {
			break
		}
		if err != nil {
			return inputWriter.readError(err, lineNumber)
		}
		if total += int64(len(line)) + 1; total > inputWriter.bounds.JobBytes {
			return agatestage.Refuse(agatestage.CodeTooLarge, "the job is larger than %d bytes", inputWriter.bounds.JobBytes)
		}
		inputWriter.digest.Write(line)
		inputWriter.digest.Write([]byte{'\n'})
		if len(strings.TrimSpace(string(line))) == 0 {
			continue
		}
		if (inputWriter.head.Items+1)%countedItems == 0 && inlet.Keep(ctx, countedItems*itemIDBytes) != nil {
			return agatestage.RefuseMemory()
		}
		if err = inputWriter.addItem(ctx, line, lineNumber); err != nil {
			return err
		}
	}
	if inputWriter.head.Items == 0 {
		return agatestage.Refuse(agatestage.CodeBadRequest, "the job has no items")
	}
	return inputWriter.finish(ctx)
}

// errLineTooLong is returned for a line that exceeds the bound on an item's size.
var errLineTooLong = errors.New("line is too long")

// readLine returns the next line without its line terminator, or io.EOF after
// the last line.
func readLine(reader *bufio.Reader, limit int) (line []byte, err error) {
	for {
		part, err := reader.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > limit+1 {
			return nil, errLineTooLong
		}
		switch {
		case err == bufio.ErrBufferFull:
			continue
		case err == io.EOF && len(line) == 0:
			return nil, io.EOF
		case err != nil && err != io.EOF:
			return nil, err
		}
		return []byte(strings.TrimRight(string(line), "\r\n")), nil
	}
}

// readError returns the error to report for a line that could not be read.
func (inputWriter *inputWriter) readError(err error, lineNumber int) error {
	if errors.Is(err, errLineTooLong) {
		return agatestage.Refuse(agatestage.CodeTooLarge, "line %d is longer than %d bytes", lineNumber, inputWriter.bounds.ItemBytes)
	}
	return err
}

// addItem validates one item and adds it to the current block. It encodes the
// block when it is full, and flushes the encoded blocks at appendThresholdBytes.
func (inputWriter *inputWriter) addItem(ctx context.Context, line []byte, lineNumber int) error {
	if err := inputWriter.checkItem(line, lineNumber); err != nil {
		return err
	}
	if inputWriter.head.Items >= inputWriter.bounds.JobItems {
		return agatestage.Refuse(agatestage.CodeTooLarge, "the job has more than %d items", inputWriter.bounds.JobItems)
	}
	inputWriter.block.Lines = append(inputWriter.block.Lines, agatestage.Line{Item: inputWriter.head.Items, Body: line})
	inputWriter.head.Items++
	if inputWriter.blockSize += len(line); len(inputWriter.block.Lines) < maxBlockItems && inputWriter.blockSize < maxBlockBytes {
		return nil
	}
	if err := inputWriter.encodeBlock(); err != nil {
		return err
	}
	if len(inputWriter.encoded) < appendThresholdBytes {
		return nil
	}
	return inputWriter.flush(ctx)
}

// item holds the fields of a line that are validated.
type item struct {
	owner.Request
	Model struct {
		Model string `json:"model"`
	} `json:"-"`
}

// checkItem refuses a line that is not a valid item of this job.
func (inputWriter *inputWriter) checkItem(line []byte, lineNumber int) error {
	refuse := func(format string, args ...any) error {
		return agatestage.Refuse(agatestage.CodeBadRequest, "line %d: "+format, append([]any{lineNumber}, args...)...)
	}
	if !utf8.Valid(line) {
		return agatestage.Refuse(agatestage.CodeBadEncoding, "line %d is not valid UTF-8", lineNumber)
	}
	var item item
	if err := json.Unmarshal(line, &item.Request); err != nil {
		return refuse("not a JSON object of the expected form: %v", err)
	}
	if item.CustomID == "" {
		return refuse(`the field "custom_id" is required`)
	}
	key := xxhash.Sum64String(item.CustomID)
	if _, duplicate := inputWriter.seenIDs[key]; duplicate {
		return refuse("custom_id %q appears twice", item.CustomID)
	}
	inputWriter.seenIDs[key] = struct{}{}
	if item.Method != "" && item.Method != http.MethodPost {
		return refuse("method %q is not POST", item.Method)
	}
	if !batchEndpoints[item.URL] {
		return refuse("url %q is not one of the completion endpoints", item.URL)
	}
	if err := json.Unmarshal(item.Body, &item.Model); err != nil || item.Model.Model == "" {
		return refuse(`the body must be an object with the field "model"`)
	}
	if inputWriter.head.Endpoint == "" {
		inputWriter.head.Endpoint, inputWriter.head.Model = item.URL, item.Model.Model
		return inputWriter.checkRoute()
	}
	if item.URL != inputWriter.head.Endpoint || item.Model.Model != inputWriter.head.Model {
		return refuse("all items of a job must have the same url and model")
	}
	return nil
}

// checkRoute checks that the organisation may run batch jobs on the model.
func (inputWriter *inputWriter) checkRoute() error {
	route, ok := inputWriter.document.ModelRoute(inputWriter.head.Model)
	if !ok {
		return agatestage.Refuse(agatestage.CodeNoModel, "no route opens a model %q", inputWriter.head.Model)
	}
	if !route.Batch || !route.Permits(inputWriter.head.Organisation) {
		return agatestage.Refuse(agatestage.CodeForbidden, "organisation %s may not use route %s for batch jobs", inputWriter.head.Organisation, route.Name)
	}
	return nil
}

// encodeBlock encodes the current block and starts a new one.
func (inputWriter *inputWriter) encodeBlock() (err error) {
	inputWriter.encoded, err = frame.Append(inputWriter.encoded, inputWriter.block)
	inputWriter.block, inputWriter.blockSize = agatestage.Block{}, 0
	return err
}

// flush appends the encoded blocks to all copies of the input segment.
func (inputWriter *inputWriter) flush(ctx context.Context) error {
	segment := agatestage.Segment{Job: inputWriter.head.ID, Name: inputSegment}
	end, err := inputWriter.sites.Append(ctx, segment, 0, inputWriter.offset, inputWriter.encoded, inputWriter.hosts)
	if errors.Is(err, agatestage.ErrFull) {
		return agatestage.Refuse(agatestage.CodeLedger, "the ledgers' disks are full; jobs are taken again when old ones have been removed")
	}
	if err != nil {
		refusal := agatestage.Refuse(agatestage.CodeLedger, "a ledger did not take the job: %v", err)
		refusal.RetryAfter = time.Second
		return refusal
	}
	inputWriter.offset, inputWriter.encoded = end, inputWriter.encoded[:0]
	return nil
}

// finish writes the remaining blocks and fills in the head's digest and input.
func (inputWriter *inputWriter) finish(ctx context.Context) error {
	if len(inputWriter.block.Lines) > 0 {
		if err := inputWriter.encodeBlock(); err != nil {
			return err
		}
	}
	if err := inputWriter.flush(ctx); err != nil {
		return err
	}
	inputWriter.head.Digest = hex.EncodeToString(inputWriter.digest.Sum(nil))
	inputWriter.head.Input = []heads.Segment{{Name: inputSegment, Copies: inputWriter.hosts, Bytes: inputWriter.offset, Sealed: true}}
	return nil
}

// discard removes the input that was written for a job that is not accepted.
func (inputWriter *inputWriter) discard(ctx context.Context) {
	for _, host := range inputWriter.hosts {
		if ledger, err := inputWriter.sites.Ledger(host); err == nil {
			// What can't be removed now is removed later by the repairer of the
			// ledger's host, which deletes jobs without a head.
			_ = ledger.Remove(context.WithoutCancel(ctx), inputWriter.head.ID)
		}
	}
}

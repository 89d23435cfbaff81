package jobs

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/gorilla/mux"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/batch/frame"
	"github.com/agatestage/agatestage/internal/batch/heads"
	"github.com/agatestage/agatestage/internal/entry/reply"
)

const (
	defaultPageSize = 1000
	maxPageSize     = 10_000
	// readChunkBytes is how much of a segment is read at a time.
	readChunkBytes = 1 << 20
)

func hexDigest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// span is the readable prefix of a segment.
type span struct {
	segment heads.Segment
	length  int64
}

// readableSpans returns the readable prefix of each segment: its whole length if
// the segment is sealed, otherwise the length that its owner reports as
// acknowledged.
func readableSpans(segments []heads.Segment, acknowledged int64) (spans []span) {
	for _, segment := range segments {
		length := segment.Bytes
		if !segment.Sealed {
			length = acknowledged
		}
		spans = append(spans, span{segment: segment, length: length})
	}
	return spans
}

// cursor is a position in a sequence of spans: the span, the byte offset of a
// frame in it and the line within the frame.
type cursor struct {
	span   int
	offset int64
	line   int
}

// parseCursor parses a cursor that String returned. An empty text is the start.
func parseCursor(text string) (position cursor, err error) {
	if text == "" {
		return position, nil
	}
	if _, err = fmt.Sscanf(text, "%d-%d-%d", &position.span, &position.offset, &position.line); err != nil || position.span < 0 || position.offset < 0 || position.line < 0 {
		return position, agatestage.Refuse(agatestage.CodeBadRequest, "%q is not a cursor that a former page named", text)
	}
	return position, nil
}

// String returns the cursor's text form, which callers pass back as "after".
func (position cursor) String() string {
	return fmt.Sprintf("%d-%d-%d", position.span, position.offset, position.line)
}

// visitLines calls visit for each line from the position on until visit returns
// false, and returns the position of the next line to visit.
func (jobs *Jobs) visitLines(ctx context.Context, job string, spans []span, position cursor, visit func(line agatestage.Line) bool) (cursor, error) {
	for ; position.span < len(spans); position = (cursor{span: position.span + 1}) {
		span := spans[position.span]
		name := agatestage.Segment{Job: job, Name: span.segment.Name}
		for position.offset < span.length {
			frames, err := jobs.sites.Read(ctx, name, position.offset, readChunkBytes, span.segment.Copies)
			if err != nil {
				return position, agatestage.Refuse(agatestage.CodeLedger, "no copy of the data can be read at the moment")
			}
			readable := min(int64(len(frames)), span.length-position.offset)
			var more bool
			if position, more, err = visitFrames(frames[:readable], position, visit); err != nil || !more {
				return position, err
			}
		}
		if position.span == len(spans)-1 {
			return position, nil
		}
	}
	return position, nil
}

// visitFrames calls visit for each line of consecutive frames. It returns false
// if visit returned false.
func visitFrames(frames []byte, position cursor, visit func(line agatestage.Line) bool) (cursor, bool, error) {
	reader := bytes.NewReader(frames)
	for offset := int64(0); offset < int64(len(frames)); {
		header, data, err := frame.Read(reader, offset)
		if err != nil {
			return position, false, err
		}
		var block agatestage.Block
		if block, err = header.Block(data); err != nil {
			return position, false, err
		}
		for position.line < len(block.Lines) {
			if !visit(block.Lines[position.line]) {
				return position, false, nil
			}
			position.line++
		}
		offset += header.Size()
		position.offset, position.line = position.offset+header.Size(), 0
	}
	return position, true, nil
}

// page is one page of a job's results.
type page struct {
	Results []json.RawMessage
	// Next is the cursor of the next page. While Complete is false, more results
	// may become available there.
	Next     string
	Complete bool
}

// results serves a page of a job's results, also while the job is running.
func (jobs *Jobs) results(writer http.ResponseWriter, request *http.Request, organisation string) error {
	entry, err := jobs.findJob(request.Context(), jobID(request), organisation)
	if err != nil {
		return err
	}
	position, err := parseCursor(request.URL.Query().Get("after"))
	if err != nil {
		return err
	}
	limit := defaultPageSize
	if text := request.URL.Query().Get("limit"); text != "" {
		if limit, err = strconv.Atoi(text); err != nil || limit < 1 || limit > maxPageSize {
			return agatestage.Refuse(agatestage.CodeBadRequest, "limit must be a number from 1 to %d", maxPageSize)
		}
	}
	progress := jobs.progress(request.Context(), entry)
	page := page{Results: []json.RawMessage{}}
	spans := readableSpans(progress.Head.Results, progress.Acked)
	full := false
	position, err = jobs.visitLines(request.Context(), entry.Head.ID, spans, position, func(line agatestage.Line) bool {
		if full = len(page.Results) >= limit; full {
			return false
		}
		page.Results = append(page.Results, line.Body)
		return true
	})
	if err != nil {
		return err
	}
	page.Next, page.Complete = position.String(), !full && progress.Head.State.Ended()
	reply.JSON(writer, http.StatusOK, page)
	return nil
}

// parseFileID returns the job that the requested file's ID names and whether the
// file is the job's output.
func parseFileID(request *http.Request) (id string, output bool) {
	id = strings.TrimPrefix(mux.Vars(request)["file"], filePrefix)
	return strings.CutSuffix(id, outputSuffix)
}

// file serves the description of a job's input or output.
func (jobs *Jobs) file(writer http.ResponseWriter, request *http.Request, organisation string) error {
	id, output := parseFileID(request)
	entry, err := jobs.findJob(request.Context(), id, organisation)
	if err != nil {
		return err
	}
	if !output {
		reply.JSON(writer, http.StatusOK, inputFile(entry.Head))
		return nil
	}
	progress := jobs.progress(request.Context(), entry)
	reply.JSON(writer, http.StatusOK, outputFile(progress))
	return nil
}

// content streams a job's input or its results so far, one JSON document per
// line.
func (jobs *Jobs) content(writer http.ResponseWriter, request *http.Request, organisation string) error {
	id, output := parseFileID(request)
	entry, err := jobs.findJob(request.Context(), id, organisation)
	if err != nil {
		return err
	}
	spans := readableSpans(entry.Head.Input, 0)
	if output {
		progress := jobs.progress(request.Context(), entry)
		spans = readableSpans(progress.Head.Results, progress.Acked)
	}
	started := false
	_, err = jobs.visitLines(request.Context(), id, spans, cursor{}, func(line agatestage.Line) bool {
		if !started {
			writer.Header().Set("Content-Type", "application/jsonl")
			started = true
		}
		_, writeErr := writer.Write(append(line.Body, '\n'))
		return writeErr == nil
	})
	if err != nil && started {
		// Aborting the connection lets the caller detect the truncated file.
		panic(http.ErrAbortHandler)
	}
	return err
}

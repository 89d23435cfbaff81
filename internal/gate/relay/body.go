package relay

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/budget"
	"github.com/agatestage/agatestage/internal/gate/conns"
)

const (
	// freeBytes is what each response may keep without a share of the memory that all have
	// in common: most are smaller.
	freeBytes = 4 << 10
	// freeItemBytes is the same for the events of an item, which are kept until its end.
	freeItemBytes = 64 << 10
	// pieceBytes is how much of a larger response is read at a time.
	pieceBytes = 64 << 10
)

var errResponseTooLarge = errors.Errorf("the answer is larger than %d bytes", maxResponseBytes)

// buffered is a complete response.
type buffered struct {
	status int
	header http.Header
	body
}

// setLastFailure keeps an error response instead of the one before.
func (run *run) setLastFailure(response *buffered) {
	if run.lastFailure != nil {
		run.lastFailure.release()
	}
	run.lastFailure = response
}

// writeBuffered writes a complete response to the sink.
func (run *run) writeBuffered(response *buffered) *agatestage.Refusal {
	run.result.ResponseStarted, run.result.Status, run.result.FirstEventAt = true, response.status, run.clock.Now()
	if err := run.sink.Head(response.status, response.header, response.size); err != nil {
		return callerGone(err)
	}
	for _, piece := range response.pieces {
		if err := run.sink.Data(piece); err != nil {
			return callerGone(err)
		}
	}
	return nil
}

// share is the part of the memory that a stream holds.
type share struct {
	hold  *budget.Hold
	free  int
	bytes int
}

// newShare returns a share of no bytes.
func (run *run) newShare() *share {
	share := &share{hold: run.memory.Hold(), free: freeBytes}
	if run.plan.Batch {
		share.free = freeItemBytes
	}
	return share
}

// resize sets how many bytes the stream keeps. If the memory for them is taken, it waits, and
// the target with it.
func (share *share) resize(ctx context.Context, bytes int) error {
	if bytes <= share.free {
		share.hold.Release()
		share.bytes = 0
		return nil
	}
	for ; share.bytes < bytes; share.bytes += pieceBytes {
		if err := share.hold.Grow(ctx, pieceBytes); err != nil {
			return err
		}
	}
	return nil
}

// body is the whole body of a response, in pieces: growing one buffer would copy it, and
// leave the copies to the garbage collector.
type body struct {
	pieces [][]byte
	size   int
	hold   *budget.Hold
}

// release gives back the memory of the body, which must not be used any more.
func (body *body) release() {
	body.pieces = nil
	body.hold.Release()
}

// readBody reads the body of a response to its end. The caller must release it. If the memory
// for it is taken, it waits, and the target with it.
func (run *run) readBody(ctx context.Context, response *conns.TargetResponse) (whole body, err error) {
	whole.hold = run.memory.Hold()
	defer func() {
		if err != nil {
			whole.release()
		}
	}()
	if response.Length() > maxResponseBytes {
		return whole, errResponseTooLarge
	}
	var piece []byte
	for {
		if len(piece) == cap(piece) {
			if piece, err = whole.addPiece(ctx, response.Length()); err != nil {
				return whole, err
			}
		}
		var n int
		n, err = response.Read(piece[len(piece):cap(piece)])
		piece = piece[:len(piece)+n]
		whole.size += n
		whole.pieces[len(whole.pieces)-1] = piece
		switch {
		case whole.size > maxResponseBytes:
			return whole, errResponseTooLarge
		case err == io.EOF:
			return whole, nil
		case err != nil:
			return whole, err
		}
	}
}

// addPiece adds an empty piece for the rest of a body with the stated length, or -1.
func (body *body) addPiece(ctx context.Context, length int64) ([]byte, error) {
	size := pieceBytes
	if len(body.pieces) == 0 && length < 0 {
		size = freeBytes
	} else if rest := length - int64(body.size); length >= 0 && rest < pieceBytes {
		// The last byte is for the end, which a read of its own may bring.
		size = int(rest) + 1
	}
	if len(body.pieces) > 0 || size > freeBytes {
		if err := body.hold.Grow(ctx, int64(size)); err != nil {
			return nil, err
		}
	}
	piece := make([]byte, 0, size)
	body.pieces = append(body.pieces, piece)
	return piece, nil
}

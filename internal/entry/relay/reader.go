package relay

import (
	"context"
	"sync/atomic"
	"time"

	"k8s.io/utils/clock"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/wire/calls"
	"github.com/agatestage/agatestage/internal/wire/link"
)

// reader takes one answer from a side and enforces its time-outs.
type reader struct {
	relay  *Relay
	stream *link.Stream
	timing Timing
	sink   Sink
	cancel context.CancelFunc
	id     string
	load   *agatestage.Load
	late   atomic.Bool
}

// read relays the answer's pieces until its end.
func (reader *reader) read(ctx context.Context) (result outcome) {
	guard := reader.relay.clock.NewTimer(reader.timing.FirstByte)
	stop := make(chan struct{})
	defer close(stop)
	go reader.guard(guard, stop)
	for {
		var piece calls.AnswerPart
		if err := reader.stream.Receive(&piece); err != nil {
			result.refusal = reader.broken(ctx)
			return result
		}
		switch {
		case piece.End != nil:
			return reader.end(piece, result)
		case piece.Head != nil:
			if piece.ID != reader.id || result.begun {
				result.refusal = unknown(ctx, "the target's side sent the answer to another call")
				return result
			}
			result.begun = true
			if err := reader.sink.Head(piece.Head.Status, piece.Head.Header); err != nil {
				result.refusal = unknown(ctx, "the caller went away")
				return result
			}
		case result.begun:
			if err := reader.sink.Data(piece.Data); err != nil {
				result.refusal = unknown(ctx, "the caller went away")
				return result
			}
		}
		reader.progress(guard)
	}
}

// end returns the outcome that the side told.
func (reader *reader) end(piece calls.AnswerPart, result outcome) outcome {
	reader.load = &piece.End.Load
	result.refusal, result.lost = piece.End.Refusal, piece.End.TargetLost
	if piece.ID != reader.id || (result.refusal == nil && !result.begun) {
		result.refusal = &agatestage.Refusal{Code: agatestage.CodeTargetFailed, Message: "the target's side sent no answer", Ran: agatestage.RanUnknown}
	}
	return result
}

// progress restarts the time-out after a piece.
func (reader *reader) progress(guard clock.Timer) {
	guard.Reset(reader.timing.Between)
}

// guard ends the exchange when a phase takes too long.
func (reader *reader) guard(guard clock.Timer, stop <-chan struct{}) {
	defer guard.Stop()
	select {
	case <-guard.C():
		reader.late.Store(true)
		reader.cancel()
	case <-stop:
	}
}

// broken explains why no further piece came.
func (reader *reader) broken(ctx context.Context) *agatestage.Refusal {
	if reader.late.Load() {
		return &agatestage.Refusal{
			Code:    agatestage.CodeDeadline,
			Message: "the target made no progress for " + reader.timing.longest().String(),
			Ran:     agatestage.RanUnknown,
		}
	}
	return unknown(ctx, "the link to the target's side was lost")
}

func (timing Timing) longest() time.Duration {
	return max(timing.FirstByte, timing.Between)
}

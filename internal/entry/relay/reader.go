package relay

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"k8s.io/utils/clock"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/route/blame"
	"github.com/agatestage/agatestage/internal/wire/calls"
	"github.com/agatestage/agatestage/internal/wire/link"
)

// reader receives one answer from a side and enforces its time-outs.
type reader struct {
	relay    *Relay
	stream   *link.Stream
	timeouts Timeouts
	sink     Sink
	cancel   context.CancelFunc
	// id is the call's ID, which the head and the end of its answer must have. survived is
	// called when the target has written a successful answer for blame.SurvivalTime, and again
	// after each further one.
	id       string
	survived func()
	// writing is since when the target has written data, or when survived was last called.
	writing time.Time
	// load is the target's load as reported with the answer's end.
	load     *agatestage.Load
	timedOut atomic.Bool
}

// read relays the parts of the answer to the sink until the answer ends.
func (reader *reader) read(ctx context.Context) (result outcome) {
	watchdog := reader.relay.clock.NewTimer(reader.timeouts.FirstByte)
	stop := make(chan struct{})
	defer close(stop)
	go reader.watchdog(watchdog, stop)
	for {
		var answerPart calls.AnswerPart
		if err := reader.stream.Receive(&answerPart); err != nil {
			result.refusal = reader.receiveError(ctx)
			result.linkLost = !result.responseStarted && !reader.timedOut.Load() && ctx.Err() == nil
			return result
		}
		switch {
		case answerPart.End != nil:
			return reader.endOutcome(answerPart, result)
		case answerPart.Head != nil:
			if answerPart.ID != reader.id || result.responseStarted {
				result.refusal = unknownOutcome(ctx, "the target's side sent the answer to another call")
				return result
			}
			if !agatestage.ValidStatus(answerPart.Head.Status) {
				result.refusal = unknownOutcome(ctx, "the target answered with a status that is none")
				return result
			}
			result.responseStarted, result.status = true, answerPart.Head.Status
			if err := reader.sink.Head(answerPart.Head.Status, answerPart.Head.Header); err != nil {
				result.refusal = unknownOutcome(ctx, "the caller went away")
				return result
			}
		case result.responseStarted:
			if err := reader.sink.Data(answerPart.Data); err != nil {
				result.refusal = unknownOutcome(ctx, "the caller went away")
				return result
			}
			reader.noteData(result.status)
		}
		reader.resetTimeout(watchdog)
	}
}

// noteData notes that a part of the answer's body has come.
func (reader *reader) noteData(status int) {
	now := reader.relay.clock.Now()
	switch {
	case status >= http.StatusMultipleChoices:
	case reader.writing.IsZero():
		reader.writing = now
	case now.Sub(reader.writing) >= blame.SurvivalTime:
		reader.writing = now
		reader.survived()
	}
}

// endOutcome returns the outcome that the side reported with the answer's end.
func (reader *reader) endOutcome(answerPart calls.AnswerPart, result outcome) outcome {
	reader.load = &answerPart.End.Load
	result.refusal, result.targetLost = answerPart.End.Refusal, answerPart.End.TargetLost
	if answerPart.ID != reader.id || (result.refusal == nil && !result.responseStarted) {
		result.refusal = &agatestage.Refusal{Code: agatestage.CodeTargetFailed, Message: "the target's side sent no answer", Ran: agatestage.RanUnknown}
	}
	return result
}

// resetTimeout starts the time-out for the next part of the answer.
func (reader *reader) resetTimeout(watchdog clock.Timer) {
	watchdog.Reset(reader.timeouts.Between)
}

// watchdog cancels the exchange when the timer expires.
func (reader *reader) watchdog(watchdog clock.Timer, stop <-chan struct{}) {
	defer watchdog.Stop()
	select {
	case <-watchdog.C():
		reader.timedOut.Store(true)
		reader.cancel()
	case <-stop:
	}
}

// receiveError returns the refusal for a failure to receive the next part.
func (reader *reader) receiveError(ctx context.Context) *agatestage.Refusal {
	if reader.timedOut.Load() {
		return &agatestage.Refusal{
			Code:    agatestage.CodeDeadline,
			Message: "the target made no progress for " + reader.timeouts.longest().String(),
			Ran:     agatestage.RanUnknown,
		}
	}
	return unknownOutcome(ctx, "the link to the target's side was lost")
}

func (timeouts Timeouts) longest() time.Duration {
	return max(timeouts.FirstByte, timeouts.Between)
}

package relay

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/gate/conns"
	"github.com/agatestage/agatestage/internal/gate/sched"
)

// readChunkBytes is how much of a response is read at a time.
const readChunkBytes = 4 << 10

// broken returns the outcome of an attempt that may have run.
func broken(code agatestage.Code, message string) outcome {
	return outcome{refusal: &agatestage.Refusal{Code: code, Message: message, Ran: agatestage.RanUnknown}}
}

// notRun returns the outcome of an attempt that has not run.
func notRun(code agatestage.Code, format string, args ...any) outcome {
	return outcome{notRun: true, refusal: agatestage.Refuse(code, format, args...)}
}

// attempt sends the call to one target and forwards the response.
func (run *run) attempt(ctx context.Context, reservation *sched.Reservation) outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := run.newWatchdog(ctx, cancel, reservation)
	defer func() { run.next = watchdog.stop() }()
	remaining := run.plan.Deadline.Sub(run.clock.Now())
	response, err := run.conns.Do(ctx, reservation.Target.Address, &conns.Request{
		Method: run.call.Method, Host: run.call.Host, URI: run.call.Path, Body: run.call.Body,
		Header:        run.dialect.Encode(run.call, reservation.Target, remaining, run.result.LastEventID),
		NonIdempotent: !run.plan.Repeatable, Fresh: slices.Contains(run.result.Targets, reservation.Target.ID), ID: run.call.ID,
		AnswerIDs: func(status int, header http.Header) []string {
			return run.dialect.Inspect(run.call, status, header).CallIDs
		},
	})
	if err != nil {
		return run.noResponse(ctx, reservation, watchdog, err)
	}
	defer response.Abort()
	run.recordTarget(reservation.Target)
	info := run.dialect.Inspect(run.call, response.Status, response.Header)
	if info.Leaving {
		// Before any of the response is forwarded, so that a later call of the same
		// caller can't reach the target.
		run.sched.MarkLeaving(reservation.Target)
		run.conns.CloseIdle(reservation.Target.Address)
	}
	replaced := run.isReplaced(info, reservation.Target)
	if !replaced {
		reservation.RecordWeights(info.Weights)
	}
	if info.NotRun || info.Replaced || info.Mismatched {
		return run.rejected(reservation, response, info, replaced)
	}
	run.attempts++
	run.result.Ran = true
	if response.Status < http.StatusMultipleChoices && !info.Sealed {
		end := broken(agatestage.CodeTargetFailed, "the answer doesn't bear the target's mark")
		end.failed = true
		return end
	}
	if info.ClaimsNotRun {
		end := broken(agatestage.CodeTargetFailed, "the answer's status claims that the call has not run, but the target doesn't state it")
		end.failed = true
		return end
	}
	if run.plan.Stream && response.Status == http.StatusOK && isEventStream(response.Header) {
		return run.forwardStream(ctx, response, watchdog)
	}
	return run.complete(ctx, response, watchdog)
}

func isEventStream(header http.Header) bool {
	return strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
}

// noResponse returns the outcome of an exchange without a response.
func (run *run) noResponse(ctx context.Context, reservation *sched.Reservation, watchdog *watchdog, err error) outcome {
	var notSentError *conns.NotSentError
	if errors.As(err, &notSentError) {
		end := notRun(agatestage.CodeNoTarget, "target %s can't be reached: %v", reservation.Target.ID, notSentError.Cause)
		switch {
		case watchdog.ended() == endedTimeout:
			end.silent = true
			go run.probe(reservation.Target)
		case ctx.Err() != nil:
			end.done = true
		default:
			end.gone = refused(notSentError.Cause)
			end.silent = !end.gone
			run.markUnreachable(reservation.Target, notSentError.Cause)
		}
		run.result.Preempted = watchdog.ended() == endedPreempted
		return end
	}
	run.recordTarget(reservation.Target)
	run.attempts++
	run.result.Ran = true
	end := run.interrupted(ctx, watchdog, err)
	var interruptedError *conns.InterruptedError
	end.dropped = errors.As(err, &interruptedError) && interruptedError.Dropped
	return end
}

// interrupted returns the outcome of an exchange that broke off.
func (run *run) interrupted(ctx context.Context, watchdog *watchdog, err error) outcome {
	switch {
	case watchdog.ended() == endedPreempted:
		run.result.Preempted = true
		end := broken(agatestage.CodeYielded, "gave way to an online call")
		end.done = true
		return end
	case watchdog.ended() == endedTimeout:
		end := broken(agatestage.CodeTargetFailed, "the target was silent for too long")
		end.failed, end.crashed, end.silent = true, true, true
		return end
	case ctx.Err() != nil:
		reason := "the call was cancelled before the answer was complete"
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			reason = "the deadline passed before the answer was complete"
		}
		end := broken(agatestage.CodeDeadline, reason)
		end.done = true
		return end
	}
	end := broken(agatestage.CodeTargetFailed, "the target broke off: "+err.Error())
	end.failed, end.crashed = true, true
	return end
}

// rejected returns the outcome of a call that, according to the target, or to the one that
// has replaced it, has not run.
func (run *run) rejected(reservation *sched.Reservation, response *conns.TargetResponse, info agatestage.AnswerInfo, replaced bool) outcome {
	// What the rest of the response says doesn't matter to the call, which waits.
	response.Discard(maxResponseBytes, discardTime)
	switch {
	case replaced:
		klog.InfoS("another incarnation has the target's address", "call", run.call.ID, "target", reservation.Target.ID, "address", reservation.Target.Address, "other", info.Instance)
		reservation.MarkReplaced()
		end := notRun(agatestage.CodeNoTarget, "another incarnation has the address of target %s", reservation.Target.ID)
		end.gone = true
		return end
	case info.Mismatched:
		reservation.RecordMismatch(run.call.Weights)
		end := notRun(agatestage.CodeNoTarget, "target %s doesn't have version %s of the weights", reservation.Target.ID, run.call.Weights.Version)
		end.mismatched = true
		return end
	}
	return notRun(agatestage.CodeBusy, "target %s turned the call away with status %d", reservation.Target.ID, response.Status)
}

// isReplaced reports whether a rejection shows that another incarnation has the target's
// address. Without the other's ID it does so only for a call that expects no more of the
// target, or whose expectation is met. What one caller expects must not take targets out of
// use that are sound for others.
func (run *run) isReplaced(info agatestage.AnswerInfo, endpoint agatestage.Endpoint) bool {
	switch {
	case !info.Replaced && !info.Mismatched:
		return false
	case info.Instance != "":
		return info.Instance != endpoint.ID
	}
	return info.Replaced || info.Weights.Version != "" && info.Weights == run.call.Weights
}

// complete reads a response to its end before forwarding any of it.
func (run *run) complete(ctx context.Context, response *conns.TargetResponse, watchdog *watchdog) outcome {
	body, err := run.readBody(ctx, response)
	if errors.Is(err, errResponseTooLarge) {
		end := broken(agatestage.CodeTargetFailed, err.Error())
		end.failed = true
		return end
	}
	if err == nil {
		if err = run.checkEnd(ctx, response, watchdog.reservation.Target); err != nil {
			body.release()
		}
	}
	if err != nil {
		return run.interrupted(ctx, watchdog, err)
	}
	run.pace.mark(run.clock.Now())
	if response.Status < http.StatusBadRequest {
		// A faulty target may send an error response twice. If the connection were
		// reused, the second one could be taken for the response to another attempt
		// of the same call.
		response.Close()
	}
	complete := &buffered{status: response.Status, header: response.Header, body: body}
	if response.Status >= http.StatusInternalServerError && !run.result.ResponseStarted {
		end := broken(agatestage.CodeTargetFailed, http.StatusText(response.Status))
		end.failed, end.buffered = true, complete
		return end
	}
	defer complete.release()
	if run.result.ResponseStarted {
		// The stream was to be resumed, but the response is not a stream.
		return broken(agatestage.CodeTargetFailed, "the target answered a resumed stream with status "+http.StatusText(response.Status))
	}
	if run.needsStream() && response.Status < http.StatusMultipleChoices {
		end := broken(agatestage.CodeTargetFailed, "the target answered with success, but not with a stream")
		end.failed = true
		return end
	}
	return outcome{done: true, refusal: run.writeBuffered(complete)}
}

// needsStream reports whether only a stream can answer the call with success: its caller
// has part of the stream, or collects the events itself.
func (run *run) needsStream() bool {
	return run.plan.Stream && (run.plan.Batch || run.plan.ResumeAfter > 0)
}

// forwardStream forwards a stream as it arrives.
func (run *run) forwardStream(ctx context.Context, response *conns.TargetResponse, watchdog *watchdog) outcome {
	scanner := newScanner(run.plan.Resumable, run.result.LastEventID)
	buffer := make([]byte, readChunkBytes)
	share := run.newShare()
	defer share.hold.Release()
	// kept is how much of the stream stays in memory behind the scanner.
	kept := 0
	// writing is since when the target has written events, or when that was last reported.
	var writing time.Time
	for {
		n, readErr := response.Read(buffer)
		if n > 0 {
			before := scanner.events
			// The scanner's buffer doubles when it grows.
			if err := share.resize(ctx, 2*scanner.size()+kept); err != nil {
				return run.interrupted(ctx, watchdog, err)
			}
			ready, err := scanner.add(buffer[:n])
			if scanner.events > before {
				// Only whole events are progress: a stalled target may send comments or
				// single bytes for ever.
				run.pace.mark(run.clock.Now())
				writing = run.reportSurvival(writing)
				watchdog.reservation.RecordEvents(scanner.events - before)
				watchdog.extend()
			}
			if writeErr := run.writeEvents(response, ready); writeErr != nil {
				return outcome{done: true, refusal: callerGone(writeErr)}
			}
			run.result.LastEventID = scanner.last
			if err != nil {
				end := broken(agatestage.CodeTargetFailed, err.Error())
				end.failed = true
				return end
			}
			if run.plan.Batch {
				kept += len(ready)
			}
			if run.plan.MaxBytes > 0 && kept > run.plan.MaxBytes {
				end := broken(agatestage.CodeTooLarge, "the events are larger than the item's output may be")
				end.done, end.failed = true, true
				return end
			}
		}
		if readErr == io.EOF {
			return run.finishStream(ctx, response, scanner, watchdog)
		}
		if readErr != nil {
			return run.interrupted(ctx, watchdog, readErr)
		}
	}
}

// finishStream returns the outcome of a stream that ended properly.
func (run *run) finishStream(ctx context.Context, response *conns.TargetResponse, scanner *scanner, watchdog *watchdog) outcome {
	if scanner.partial() {
		end := broken(agatestage.CodeTargetFailed, "the stream ended within an event")
		end.failed, end.crashed = true, response.EndsWithConnection()
		return end
	}
	if err := run.checkEnd(ctx, response, watchdog.reservation.Target); err != nil {
		return run.interrupted(ctx, watchdog, err)
	}
	response.Close()
	if err := run.writeHead(response); err != nil {
		return outcome{done: true, refusal: callerGone(err)}
	}
	return outcome{done: true}
}

// writeHead writes the head of a stream to the sink, once. A stream that is resumed
// after its last event consists of a head only.
func (run *run) writeHead(response *conns.TargetResponse) error {
	if run.result.ResponseStarted {
		return nil
	}
	run.result.ResponseStarted, run.result.Status, run.result.FirstEventAt = true, response.Status, run.clock.Now()
	return run.sink.Head(response.Status, response.Header, -1)
}

// writeEvents writes events to the sink, preceded by the head the first time.
func (run *run) writeEvents(response *conns.TargetResponse, events []byte) error {
	if len(events) == 0 {
		return nil
	}
	if err := run.writeHead(response); err != nil {
		return err
	}
	run.lastSent = run.clock.Now()
	return run.sink.Data(events)
}

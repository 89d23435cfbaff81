package relay

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"k8s.io/utils/clock"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/gate/conns"
	"github.com/agatestage/agatestage/internal/gate/sched"
)

// chunkSize is how much of an answer is read at a time, in bytes.
const chunkSize = 4 << 10

// broke makes the outcome of an attempt that may have run.
func broke(code agatestage.Code, message string) outcome {
	return outcome{refusal: &agatestage.Refusal{Code: code, Message: message, Ran: agatestage.RanUnknown}}
}

// notRun makes the outcome of an attempt that hasn't run.
func notRun(code agatestage.Code, format string, args ...any) outcome {
	return outcome{notRun: true, refusal: agatestage.Refuse(code, format, args...)}
}

// attempt sends the call to one target and passes its answer on.
func (run *run) attempt(ctx context.Context, ticket *sched.Ticket) outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	guard := run.newGuard(ctx, cancel, ticket)
	defer guard.stop()
	left := run.plan.Deadline.Sub(run.clock.Now())
	answer, err := run.conns.Do(ctx, ticket.Target.Address, &conns.Request{
		Method: run.call.Method, Host: run.call.Host, URI: run.call.Path, Body: run.call.Body,
		Header: run.dialect.Encode(run.call, ticket.Target, left, run.result.Last),
		Sure:   !run.plan.Repeatable,
		Foreign: func(status int, header http.Header) bool {
			return run.dialect.Inspect(run.call, status, header).Foreign
		},
	})
	if err != nil {
		return run.unanswered(ctx, ticket, guard, err)
	}
	defer answer.Abort()
	run.note(ticket.Target)
	verdict := run.dialect.Inspect(run.call, answer.Status, answer.Header)
	if verdict.NotRun || verdict.Replaced {
		return run.turnedAway(ticket, answer, verdict)
	}
	run.sent++
	run.result.Ran = true
	if answer.Status < http.StatusMultipleChoices && !verdict.Sealed {
		end := broke(agatestage.CodeTargetFailed, "the answer doesn't bear the target's mark")
		end.failed = true
		return end
	}
	if run.plan.Stream && answer.Status == http.StatusOK && isEvents(answer.Header) {
		return run.stream(ctx, answer, guard)
	}
	return run.whole(ctx, answer, guard)
}

func isEvents(header http.Header) bool {
	return strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
}

// unanswered is the outcome of an exchange without an answer.
func (run *run) unanswered(ctx context.Context, ticket *sched.Ticket, guard *guard, err error) outcome {
	var notSent *conns.NotSent
	if errors.As(err, &notSent) {
		if ctx.Err() == nil {
			run.sched.Down(ticket.Target.ID)
		}
		end := notRun(agatestage.CodeNoTarget, "target %s can't be reached: %v", ticket.Target.ID, notSent.Cause)
		end.done = ctx.Err() != nil && guard.ended() != endedSilent
		run.result.Yielded = guard.ended() == endedYielded
		return end
	}
	run.note(ticket.Target)
	run.sent++
	run.result.Ran = true
	return run.cut(ctx, guard, err)
}

// cut is the outcome of an exchange that broke.
func (run *run) cut(ctx context.Context, guard *guard, err error) outcome {
	switch {
	case guard.ended() == endedYielded:
		run.result.Yielded = true
		end := broke(agatestage.CodeYielded, "gave way to an online call")
		end.done = true
		return end
	case guard.ended() == endedSilent:
		end := broke(agatestage.CodeTargetFailed, "the target was silent for too long")
		end.failed, end.crashed = true, true
		return end
	case ctx.Err() != nil:
		end := broke(agatestage.CodeDeadline, "the deadline passed or the caller left before the answer was complete")
		end.done = true
		return end
	}
	end := broke(agatestage.CodeTargetFailed, "the target broke off: "+err.Error())
	end.failed, end.crashed = true, true
	return end
}

// turnedAway is the outcome of a call that the target vouches not to have run.
func (run *run) turnedAway(ticket *sched.Ticket, answer *conns.Answer, verdict agatestage.AnswerInfo) outcome {
	if _, err := io.Copy(io.Discard, io.LimitReader(answer, maxAnswer)); err == nil {
		answer.Close()
	}
	if verdict.Replaced {
		run.sched.Leave(ticket.Target.ID)
		return notRun(agatestage.CodeNoTarget, "another incarnation has the address of target %s", ticket.Target.ID)
	}
	return notRun(agatestage.CodeBusy, "target %s turned the call away with status %d", ticket.Target.ID, answer.Status)
}

// whole reads an answer to its end before any of it is passed on.
func (run *run) whole(ctx context.Context, answer *conns.Answer, guard *guard) outcome {
	body, err := io.ReadAll(io.LimitReader(answer, maxAnswer+1))
	if err == nil && len(body) > maxAnswer {
		err = errors.Errorf("the answer is larger than %d bytes", maxAnswer)
	}
	if err != nil {
		return run.cut(ctx, guard, err)
	}
	if answer.Status < http.StatusBadRequest {
		// A faulty target may answer a failure twice, and the second answer would
		// pass for that to another attempt of the same call.
		answer.Close()
	}
	whole := &held{status: answer.Status, header: answer.Header, body: body}
	if answer.Status >= http.StatusInternalServerError && !run.result.Begun {
		end := broke(agatestage.CodeTargetFailed, http.StatusText(answer.Status))
		end.failed, end.held = true, whole
		return end
	}
	if run.result.Begun {
		// A stream was to go on, and this is no stream.
		return broke(agatestage.CodeTargetFailed, "the target answered a resumed stream with status "+http.StatusText(answer.Status))
	}
	return outcome{done: true, refusal: run.pass(whole)}
}

// stream passes a stream on as it arrives.
func (run *run) stream(ctx context.Context, answer *conns.Answer, guard *guard) outcome {
	scanner := newScanner(run.plan.Resumable, run.result.Last)
	buffer := make([]byte, chunkSize)
	for {
		n, readErr := answer.Read(buffer)
		if n > 0 {
			guard.ticket.Sign()
			guard.progress(run.plan.Gap * silentStream)
			ready, err := scanner.add(buffer[:n])
			if err != nil {
				end := broke(agatestage.CodeTargetFailed, err.Error())
				end.failed = true
				return end
			}
			if err = run.forward(answer, ready); err != nil {
				return outcome{done: true, refusal: gone(err)}
			}
			run.result.Last = scanner.last
		}
		if readErr == io.EOF {
			return run.streamEnd(answer, scanner)
		}
		if readErr != nil {
			return run.cut(ctx, guard, readErr)
		}
	}
}

// streamEnd is the outcome of a stream that ended properly.
func (run *run) streamEnd(answer *conns.Answer, scanner *scanner) outcome {
	if scanner.partial() {
		end := broke(agatestage.CodeTargetFailed, "the stream ended within an event")
		end.failed = true
		return end
	}
	answer.Close()
	if err := run.begin(answer); err != nil {
		return outcome{done: true, refusal: gone(err)}
	}
	return outcome{done: true}
}

// begin passes the head of a stream on, once. A stream that goes on after its
// last event has a head only.
func (run *run) begin(answer *conns.Answer) error {
	if run.result.Begun {
		return nil
	}
	run.result.Begun, run.result.Status, run.result.First = true, answer.Status, run.clock.Now()
	return run.sink.Head(answer.Status, answer.Header, -1)
}

// forward passes events on, with the head before the first.
func (run *run) forward(answer *conns.Answer, events []byte) error {
	if len(events) == 0 {
		return nil
	}
	if err := run.begin(answer); err != nil {
		return err
	}
	return run.sink.Data(events)
}

// The ways in which a guard ends an exchange.
const (
	endedNot int32 = iota
	endedSilent
	endedYielded
)

// guard ends an exchange whose target is silent for too long, or whose slot is
// wanted for an online call.
type guard struct {
	ticket *sched.Ticket
	timer  clock.Timer
	how    atomic.Int32
	quit   chan struct{}
}

// newGuard watches an attempt. Only calls that may go on elsewhere are ended for
// silence.
func (run *run) newGuard(ctx context.Context, cancel context.CancelFunc, ticket *sched.Ticket) *guard {
	guard := &guard{ticket: ticket, quit: make(chan struct{})}
	first := run.plan.Aim
	if run.result.Begun || run.plan.After > 0 {
		first = max(first, run.plan.Gap)
	}
	var late <-chan time.Time
	if run.plan.Repeatable && first > 0 && (run.plan.Batch || run.sent+1 < run.plan.Attempts) {
		guard.timer = run.clock.NewTimer(first)
		late = guard.timer.C()
	}
	if late == nil && !ticket.Batch {
		return guard
	}
	go func() {
		select {
		case <-late:
			guard.how.Store(endedSilent)
		case <-ticket.Yield():
			guard.how.Store(endedYielded)
		case <-ctx.Done():
			return
		case <-guard.quit:
			return
		}
		cancel()
	}()
	return guard
}

// progress allows the target another pause.
func (guard *guard) progress(pause time.Duration) {
	if guard.timer != nil && pause > 0 {
		guard.timer.Reset(pause)
	}
}

func (guard *guard) ended() int32 {
	return guard.how.Load()
}

func (guard *guard) stop() {
	if guard.timer != nil {
		guard.timer.Stop()
	}
	close(guard.quit)
}

// Package exec runs one call on a target: it waits for a slot, forwards the
// call, relays the answer and classifies how the call ended.
package exec

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"

	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/plat/proxy"
	"github.com/agatestage/agatestage/internal/side/slots"
	"github.com/agatestage/agatestage/internal/side/state"
	"github.com/agatestage/agatestage/internal/wire/calls"
)

// chunkSize is the largest piece of an answer, in bytes.
const chunkSize = 32 << 10

// buffers pools read buffers, because allocating one per call costs more than
// relaying a short answer.
var buffers = sync.Pool{New: func() any { return new([chunkSize]byte) }}

// Sink receives an answer. Head is called once, before any Data; the data is valid
// only during the call. Data may wait until the run's ctx ends.
type Sink interface {
	Head(status int, header http.Header) error
	Data(ctx context.Context, data []byte) error
}

// runner runs one call on a target.
type runner struct {
	target *state.Target
	call   *agatestage.Call
	sink   Sink
}

// Run runs the call within its time-out, sends the answer to the sink and returns
// how the call ended.
func Run(ctx context.Context, target *state.Target, call *agatestage.Call, sink Sink) (end calls.End) {
	if call.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, call.Timeout)
		defer cancel()
	}
	defer target.Begin(call)()
	if err := target.Accepts(call); err != nil {
		end.Refusal = asRefusal(err)
		return end
	}
	ticket, err := target.Pool.Acquire(ctx, call)
	if err != nil {
		end.Refusal = asRefusal(err)
		return end
	}
	defer ticket.Release()
	runner := runner{target: target, call: call, sink: sink}
	return runner.forward(ctx, ticket)
}

// forward sends the call to the target and its answer to the sink, and cancels it
// if it is preempted.
func (runner runner) forward(ctx context.Context, ticket *slots.Ticket) (end calls.End) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-ticket.Preempted():
			cancel()
		case <-stop:
		}
	}()
	err := runner.exchange(ctx)
	if err == nil {
		return end
	}
	select {
	case <-ticket.Preempted():
		end.Refusal = &agatestage.Refusal{Code: agatestage.CodeYielded, Message: "gave way to an online call", Ran: agatestage.RanUnknown}
		return end
	default:
	}
	end.Refusal = asRefusal(err)
	var lost *proxy.Lost
	if errors.As(err, &lost) {
		reachable, ended := runner.target.Confirm(ctx)
		// A request is not to blame for a silence, nor for the end of a target that it has
		// not reached. An item is still owed.
		end.TargetLost = ended && end.Refusal.Ran != agatestage.RanNo || runner.call.Batch && !reachable
	}
	return end
}

// exchange sends the call to the target and relays the answer to the sink.
func (runner runner) exchange(ctx context.Context) error {
	answer, err := runner.target.Backend.Do(ctx, runner.call)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if err = runner.sink.Head(answer.Status, answer.Header); err != nil {
		return err
	}
	stream := newStreamEnd(answer.Status, answer.Header)
	pooled := buffers.Get().(*[chunkSize]byte)
	defer buffers.Put(pooled)
	buffer := pooled[:]
	for {
		n, readErr := answer.Body.Read(buffer)
		if n > 0 {
			stream.add(buffer[:n])
			if err = runner.sink.Data(ctx, buffer[:n]); err != nil {
				return err
			}
		}
		if readErr == io.EOF && stream.partial() {
			readErr = io.ErrUnexpectedEOF
		}
		if readErr == io.EOF && answer.EndsWithConnection {
			if _, ended := runner.target.Confirm(ctx); ended {
				readErr = io.ErrUnexpectedEOF
			}
		}
		if readErr == io.EOF {
			return nil
		}
		if readErr != nil {
			return readError(ctx, readErr)
		}
	}
}

// readError returns the error for an answer that broke off: a refusal if the
// deadline has passed, otherwise a possible loss of the target.
func readError(ctx context.Context, cause error) error {
	if ctx.Err() != nil {
		return &agatestage.Refusal{Code: agatestage.CodeDeadline, Message: "the answer was not complete in time", Ran: agatestage.RanUnknown}
	}
	klog.V(1).InfoS("failed to read answer", "error", cause.Error())
	return proxy.NewLost(&agatestage.Refusal{Code: agatestage.CodeTargetFailed, Message: "the target broke off its answer", Ran: agatestage.RanUnknown})
}

// asRefusal returns the refusal in err, or else one with an unknown outcome.
func asRefusal(err error) *agatestage.Refusal {
	var refusal *agatestage.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return &agatestage.Refusal{Code: agatestage.CodeInternal, Message: err.Error(), Ran: agatestage.RanUnknown}
}

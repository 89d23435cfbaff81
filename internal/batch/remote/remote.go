// Package remote accesses the ledgers of other hosts over links.
package remote

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/trust/certs"
	"github.com/agatestage/agatestage/internal/wire/link"
)

// KindLedger is the kind of exchange that runs one operation on a ledger.
const KindLedger = "Ledger"

// callTimeout bounds one operation on a remote ledger.
const callTimeout = 5 * time.Second

// operation is an operation on a ledger.
type operation string

const (
	opAppend   operation = "Append"
	opFence    operation = "Fence"
	opTruncate operation = "Truncate"
	opRead     operation = "Read"
	opScan     operation = "Scan"
	opRemove   operation = "Remove"
)

// Request is a request for one operation, which uses only the fields it needs.
type Request struct {
	Operation operation
	Segment   agatestage.Segment
	Epoch     uint64
	Offset    int64
	Limit     int
	Frames    []byte
}

// fault identifies an error of a ledger in a reply.
type fault string

const (
	faultNone   fault = ""
	faultFenced fault = "Fenced"
	faultOffset fault = "Offset"
	faultFull   fault = "Full"
	faultAbsent fault = "Absent"
	faultOther  fault = "Other"
)

// Reply is the reply to a Request.
type Reply struct {
	Fault     fault
	Message   string
	End       int64
	Frames    []byte
	Lengths   []agatestage.Length
	Summaries []agatestage.Summary
}

// faults maps the faults that have an error of their own to that error.
var faults = map[fault]error{
	faultFenced: agatestage.ErrFenced,
	faultOffset: agatestage.ErrOffset,
	faultFull:   agatestage.ErrFull,
	faultAbsent: agatestage.ErrNotFound,
}

func (reply *Reply) setError(err error) {
	if err == nil {
		return
	}
	reply.Fault, reply.Message = faultOther, err.Error()
	for fault, known := range faults {
		if errors.Is(err, known) {
			reply.Fault = fault
		}
	}
}

func (reply *Reply) err() error {
	if reply.Fault == faultNone {
		return nil
	}
	if known, ok := faults[reply.Fault]; ok {
		return known
	}
	return errors.New(reply.Message)
}

// Ledger implements agatestage.Ledger for the ledger of another host.
type Ledger struct {
	node    *link.Node
	address netip.AddrPort
}

// New returns the ledger of the host at address.
func New(node *link.Node, address netip.AddrPort) *Ledger {
	return &Ledger{node: node, address: address}
}

func (ledger *Ledger) call(ctx context.Context, request Request) (reply Reply, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err = ledger.node.Ask(ctx, ledger.address, KindLedger, request, &reply); err != nil {
		return reply, err
	}
	return reply, reply.err()
}

// Append implements agatestage.Ledger.
func (ledger *Ledger) Append(ctx context.Context, segment agatestage.Segment, epoch uint64, offset int64, frames []byte) (int64, error) {
	reply, err := ledger.call(ctx, Request{Operation: opAppend, Segment: segment, Epoch: epoch, Offset: offset, Frames: frames})
	return reply.End, err
}

// Fence implements agatestage.Ledger.
func (ledger *Ledger) Fence(ctx context.Context, job string, epoch uint64) ([]agatestage.Length, error) {
	reply, err := ledger.call(ctx, Request{Operation: opFence, Segment: agatestage.Segment{Job: job}, Epoch: epoch})
	return reply.Lengths, err
}

// Truncate implements agatestage.Ledger.
func (ledger *Ledger) Truncate(ctx context.Context, segment agatestage.Segment, epoch uint64, length int64) error {
	_, err := ledger.call(ctx, Request{Operation: opTruncate, Segment: segment, Epoch: epoch, Offset: length})
	return err
}

// Read implements agatestage.Ledger.
func (ledger *Ledger) Read(ctx context.Context, segment agatestage.Segment, offset int64, limit int) ([]byte, error) {
	reply, err := ledger.call(ctx, Request{Operation: opRead, Segment: segment, Offset: offset, Limit: limit})
	return reply.Frames, err
}

// Scan implements agatestage.Ledger.
func (ledger *Ledger) Scan(ctx context.Context, segment agatestage.Segment, offset int64, limit int) ([]agatestage.Summary, error) {
	reply, err := ledger.call(ctx, Request{Operation: opScan, Segment: segment, Offset: offset, Limit: limit})
	return reply.Summaries, err
}

// Remove implements agatestage.Ledger.
func (ledger *Ledger) Remove(ctx context.Context, job string) error {
	_, err := ledger.call(ctx, Request{Operation: opRemove, Segment: agatestage.Segment{Job: job}})
	return err
}

// Serve registers the exchange that gives other entries access to a ledger.
func Serve(node *link.Node, ledger agatestage.Ledger) {
	node.Handle(KindLedger, func(ctx context.Context, peer certs.Identity, stream *link.Stream) error {
		var request Request
		if err := stream.Receive(&request); err != nil {
			return err
		}
		if peer.Role != agatestage.RoleEntry {
			return errors.Errorf("%s is not an entry", peer.Host)
		}
		return stream.Send(perform(ctx, ledger, request))
	})
}

// perform runs one operation and returns its reply.
func perform(ctx context.Context, ledger agatestage.Ledger, request Request) (reply Reply) {
	var err error
	switch request.Operation {
	case opAppend:
		reply.End, err = ledger.Append(ctx, request.Segment, request.Epoch, request.Offset, request.Frames)
	case opFence:
		reply.Lengths, err = ledger.Fence(ctx, request.Segment.Job, request.Epoch)
	case opTruncate:
		err = ledger.Truncate(ctx, request.Segment, request.Epoch, request.Offset)
	case opRead:
		reply.Frames, err = ledger.Read(ctx, request.Segment, request.Offset, request.Limit)
	case opScan:
		reply.Summaries, err = ledger.Scan(ctx, request.Segment, request.Offset, request.Limit)
	case opRemove:
		err = ledger.Remove(ctx, request.Segment.Job)
	default:
		err = errors.Errorf("unknown operation %q", request.Operation)
	}
	reply.setError(err)
	return reply
}

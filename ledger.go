package agatestage

import (
	"context"
	"errors"
)

// The errors of a Ledger.
var (
	ErrFenced = errors.New("ledger: epoch is older than the fence")
	ErrOffset = errors.New("ledger: offset is not the end of the segment")
	ErrFull   = errors.New("ledger: the disk's bound is reached")
)

// Segment identifies one append-only file of a job.
type Segment struct {
	Job  string
	Name string
}

// Block is one durable record of a segment: a group of items or of results.
type Block struct {
	Lines []Line
}

// Line is one item or one result, as a JSON document.
type Line struct {
	// Item is the index of the item in its job, from 0.
	Item int
	// Failed marks the result of a failed item.
	Failed bool `cbor:",omitempty"`
	Body   []byte
}

// Summary describes a block without its bodies.
type Summary struct {
	// Offset is the start of the block; End is the start of the next one.
	Offset int64
	End    int64
	// Items holds the indices of the items; Failed counts the failed results.
	Items  []int
	Failed int
}

// Length is the number of bytes of the complete, valid frames of a segment.
type Length struct {
	Segment Segment
	Bytes   int64
}

// Ledger stores copies of batch jobs on a disk. Data is durable once Append has
// returned without an error. A write with an epoch below the job's fence fails with
// ErrFenced, and an append at an offset other than the segment's end with
// ErrOffset.
type Ledger interface {
	// Append appends complete frames at offset and returns the new end. Appending
	// no frames at offset 0 creates an empty segment.
	Append(ctx context.Context, segment Segment, epoch uint64, offset int64, frames []byte) (int64, error)
	// Fence rejects epochs below epoch from now on, and returns the lengths of the
	// job's segments.
	Fence(ctx context.Context, job string, epoch uint64) ([]Length, error)
	// Truncate shortens a segment to length.
	Truncate(ctx context.Context, segment Segment, epoch uint64, length int64) error
	// Read returns complete frames from offset on: about limit bytes, but at least
	// one frame. It returns no frames at the end of the segment.
	Read(ctx context.Context, segment Segment, offset int64, limit int) ([]byte, error)
	// Scan returns the summaries of at most limit blocks from offset on.
	Scan(ctx context.Context, segment Segment, offset int64, limit int) ([]Summary, error)
	// Remove deletes a job.
	Remove(ctx context.Context, job string) error
}

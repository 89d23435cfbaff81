package claim

import (
	"context"
	"net/http"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/budget"
)

const (
	// maxAnswerBytes bounds the answer to one item, in bytes.
	maxAnswerBytes = 16 << 20
	// keptBytes bounds what is kept of all answers to items at a time beyond that of one, and
	// freeBytes what each may keep besides.
	keptBytes = 16 << 20
	freeBytes = 64 << 10
	// growBytes is how much memory an answer asks for at a time.
	growBytes = 64 << 10
	// copies is how often an answer is in memory: its buffer doubles when it grows, and its
	// result is encoded.
	copies = 3
)

// NewMemory returns the memory for the answers to items that the pullers of a side share.
func NewMemory() *budget.Budget { return budget.New(keptBytes) }

// collector is a sink that stores a complete answer.
type collector struct {
	status int
	body   []byte
	// hold is the memory for the body, held how much of it there is.
	hold *budget.Hold
	held int
}

// Head implements exec.Sink.
func (collector *collector) Head(status int, _ http.Header) error {
	collector.status = status
	return nil
}

// Data implements exec.Sink. If the memory for the data is taken, it waits, and the target
// with it.
func (collector *collector) Data(ctx context.Context, data []byte) error {
	size := len(collector.body) + len(data)
	if size > maxAnswerBytes {
		refusal := agatestage.Refuse(agatestage.CodeTooLarge, "the target's answer is larger than %d bytes", maxAnswerBytes)
		refusal.Ran = agatestage.RanUnknown
		return refusal
	}
	for ; size > freeBytes && collector.held < copies*size; collector.held += growBytes {
		if err := collector.hold.Grow(ctx, growBytes); err != nil {
			return err
		}
	}
	collector.body = append(collector.body, data...)
	return nil
}

// drop gives up an answer that isn't complete.
func (collector *collector) drop() {
	collector.hold.Release()
	collector.body, collector.held = nil, 0
}

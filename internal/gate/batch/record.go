// Package batch keeps and runs batch jobs whose state lies in the platform's
// store.
//
// A job is a head, the parts of its input and the chunks of its results. Input
// and chunks never change once written. The head is the only authority: it names
// the job's owner and counts the results, and whatever is written for the job is
// written together with its head, on the condition that nobody else has changed
// it. So a result that is listed stays listed, at its position, and an owner
// that has been replaced can't add any.
//
// The gateway that accepts a job owns it and runs its items. When it is gone,
// another one takes the job under the next epoch and goes on from what is
// listed.
package batch

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/agatestage/agatestage"
)

// The prefixes of a job's records.
const (
	headPrefix  = "batch/head/"
	inputPrefix = "batch/input/"
	chunkPrefix = "batch/chunk/"
	// progressPrefix holds what the next owner must know of unfinished items.
	progressPrefix = "batch/progress/"
)

// partBytes bounds one record of input or results. Values may hold a megabyte;
// an item or a result larger than the rest of it gets a record of its own.
const partBytes = 700 << 10

// State is the state of a job.
type State string

// The states of a job.
const (
	StateOpen  State = "Open"
	StateDone  State = "Done"
	StateEnded State = "Ended"
)

// Item is one request of a job.
type Item struct {
	ID     string            `cbor:"1,keyasint"`
	Path   string            `cbor:"2,keyasint"`
	Header map[string]string `cbor:"3,keyasint,omitempty"`
	Body   []byte            `cbor:"4,keyasint,omitempty"`
}

// Result is the end of one item.
type Result struct {
	ID string `cbor:"1,keyasint"`
	// Failed results say that the item can't be done or was given up.
	Failed bool   `cbor:"2,keyasint,omitempty"`
	Output []byte `cbor:"3,keyasint,omitempty"`
}

// Head is the record of a job.
//
// Invariants: Epoch grows with each owner; Results never shrinks; chunks 0 to
// Chunks-1 hold just the results counted.
type Head struct {
	ID           string
	Organisation string
	Route        string
	Host         string
	Region       string
	Items        int
	Parts        int
	// Digest identifies the input.
	Digest string
	// Submitted is when the job arrived; its items may be given up from GiveUp
	// on, and its results are due at Due.
	Submitted time.Time
	Due       time.Time
	GiveUp    time.Time
	State     State
	// Owner is the gateway that runs the job, Instance its process; both are
	// empty after a planned stop.
	Owner    string
	Instance string
	Epoch    uint64
	Results  int
	Chunks   int
	// Progress says that there is a record of unfinished items.
	Progress bool `json:",omitempty"`
}

func decodeHead(data []byte) (head Head, err error) {
	return head, errors.Wrap(json.Unmarshal(data, &head), "decode job head")
}

func (head Head) encode() ([]byte, error) {
	data, err := json.Marshal(head)
	return data, errors.Wrap(err, "encode job head")
}

// Open reports whether items may still run.
func (head Head) Open() bool {
	return head.State == StateOpen
}

func headKey(id string) string { return headPrefix + id }

func inputKey(id string, part int) string { return fmt.Sprintf("%s%s/%03d", inputPrefix, id, part) }

func chunkKey(id string, chunk int) string { return fmt.Sprintf("%s%s/%05d", chunkPrefix, id, chunk) }

// splitItems encodes the items in parts.
func splitItems(items []Item) (parts [][]byte, err error) {
	for begin := 0; begin < len(items); {
		end, size := begin, 0
		for end < len(items) && (end == begin || size+len(items[end].Body) < partBytes) {
			size += len(items[end].Body)
			end++
		}
		var data []byte
		if data, err = cbor.Marshal(items[begin:end]); err != nil {
			return nil, errors.Wrap(err, "encode items")
		}
		parts = append(parts, data)
		begin = end
	}
	return parts, nil
}

// splitResults encodes results in chunks.
func splitResults(results []Result) (chunks [][]byte, err error) {
	for begin := 0; begin < len(results); {
		end, size := begin, 0
		for end < len(results) && (end == begin || size+len(results[end].Output) < partBytes) {
			size += len(results[end].Output)
			end++
		}
		var data []byte
		if data, err = cbor.Marshal(results[begin:end]); err != nil {
			return nil, errors.Wrap(err, "encode results")
		}
		chunks = append(chunks, data)
		begin = end
	}
	return chunks, nil
}

// entry is a head and the version of its record.
type entry struct {
	Head
	version uint64
}

func decodeEntry(record agatestage.Record) (entry, error) {
	head, err := decodeHead(record.Value)
	return entry{Head: head, version: record.Version}, err
}

// record returns the entry as it lies in the store.
func (entry entry) record() (record agatestage.Record, err error) {
	record = agatestage.Record{Key: headKey(entry.ID), Version: entry.version}
	record.Value, err = entry.encode()
	return record, err
}

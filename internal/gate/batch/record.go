// Package batch stores and runs batch jobs. Their state is kept in the platform's
// store.
//
// A job consists of a head, the parts of its input and the chunks of its results.
// Input and chunks are immutable once written. The head is authoritative: it names
// the job's owner and counts the results. Every write for a job is one transaction
// with its head, on the condition that the head's version is unchanged. So a stored
// result stays at its position, and an owner that has been replaced can't add
// results.
//
// The gateway that accepts a job owns it and runs its items, unless it places the
// job at a less loaded gateway. When the owner is lost, another gateway takes the
// job over under the next epoch and continues from the stored results.
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
	// progressPrefix is for the progress of unfinished items, which the next owner
	// continues from.
	progressPrefix = "batch/progress/"
)

// maxRecordBytes bounds one record of input or results; the store's values may hold
// a megabyte. An item or result that doesn't fit into the rest of a record gets the
// next one.
const maxRecordBytes = 700 << 10

// maxItems bounds the items of a job.
const maxItems = 500_000

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

// Result is the outcome of one item.
type Result struct {
	ID string `cbor:"1,keyasint"`
	// Failed means that the item can't be executed or was given up.
	Failed bool   `cbor:"2,keyasint,omitempty"`
	Output []byte `cbor:"3,keyasint,omitempty"`
}

// Head is the record of a job.
//
// Invariants: Epoch increases with each owner; Results never decreases; chunks 0 to
// Chunks-1 hold exactly the results that Results counts.
type Head struct {
	ID           string
	Organisation string
	Route        string
	// ConfigVersion is the version of the configuration that had the route.
	ConfigVersion uint64
	Host          string
	Region        string
	Items         int
	Parts         int
	// Digest identifies the input.
	Digest string
	// Submitted is when the job arrived, Due when its results are due, and GiveUp
	// the time from which on its items may be given up.
	Submitted time.Time
	Due       time.Time
	GiveUp    time.Time
	State     State
	// Owner is the gateway that runs the job, Instance its process. Both are empty
	// after a planned stop.
	Owner    string
	Instance string
	Epoch    uint64
	Results  int
	Chunks   int
	// InputBytes and ResultBytes are the sizes of all parts and of all chunks. They are zero
	// in heads of gateways that don't state them.
	InputBytes  int `json:",omitempty"`
	ResultBytes int `json:",omitempty"`
	// Progress is true if there is a record of the progress of unfinished items.
	Progress bool `json:",omitempty"`
	// Regions are those that were allowed when the job was submitted, ItemRoutes the routes of
	// its items other than Route, and AcceptedBy the process that accepted it from its caller.
	Regions    agatestage.Regions `json:",omitzero"`
	ItemRoutes []string           `json:",omitempty"`
	AcceptedBy string             `json:",omitempty"`
}

func decodeHead(data []byte) (head Head, err error) {
	if err = json.Unmarshal(data, &head); err != nil {
		// The error may repeat a value of any length.
		err = errors.Errorf("decode job head: %.100s", err.Error())
	}
	return head, err
}

func (head Head) encode() ([]byte, error) {
	data, err := json.Marshal(head)
	return data, errors.Wrap(err, "encode job head")
}

// Open reports whether the job's items may still run.
func (head Head) Open() bool {
	return head.State == StateOpen
}

// partBytes returns the mean size of a part of the input, chunkBytes that of a chunk of results.
func (head Head) partBytes() int64  { return meanBytes(head.InputBytes, head.Parts) }
func (head Head) chunkBytes() int64 { return meanBytes(head.ResultBytes, head.Chunks) }

// meanBytes returns the mean size of so many records, or that of a full one if it isn't known.
func meanBytes(bytes, records int) int64 {
	if bytes <= 0 || records <= 0 {
		return maxRecordBytes
	}
	return int64(bytes / records)
}

// totalBytes returns the size of all records together.
func totalBytes(records [][]byte) (total int) {
	for _, record := range records {
		total += len(record)
	}
	return total
}

// cutShort reports whether the job has ended before all its items had a result, so that its owner
// may still run some.
func (head Head) cutShort() bool { return !head.Open() && head.Results < head.Items }

func headKey(id string) string { return headPrefix + id }

func inputKey(id string, part int) string { return fmt.Sprintf("%s%s/%03d", inputPrefix, id, part) }

func chunkKey(id string, chunk int) string { return fmt.Sprintf("%s%s/%05d", chunkPrefix, id, chunk) }

// fieldOverhead is what the encoding of a value takes at most beside its texts.
const fieldOverhead = 40

// textBytes returns the size of an encoded text or byte string of a length.
func textBytes(length int) int {
	switch {
	case length < 24:
		return length + 1
	case length < 1<<8:
		return length + 2
	case length < 1<<16:
		return length + 3
	}
	return length + 5
}

// size returns the size of the encoded item, at most.
func (item Item) size() int {
	size := fieldOverhead + textBytes(len(item.ID)) + textBytes(len(item.Path)) + textBytes(len(item.Body))
	for name, value := range item.Header {
		size += textBytes(len(name)) + textBytes(len(value))
	}
	return size
}

// size returns the size of the encoded result, at most.
func (result Result) size() int {
	return fieldOverhead + textBytes(len(result.ID)) + textBytes(len(result.Output))
}

// encodeRecords encodes items or results into records of bounded size. One that doesn't fit
// beside others has a record of its own.
func encodeRecords[T interface{ size() int }](values []T) (records [][]byte, err error) {
	for begin := 0; begin < len(values); {
		end, size := begin, 0
		for end < len(values) && (end == begin || size+values[end].size() < maxRecordBytes) {
			size += values[end].size()
			end++
		}
		var data []byte
		if data, err = cbor.Marshal(values[begin:end]); err != nil {
			return nil, errors.Wrap(err, "encode records of a job")
		}
		records = append(records, data)
		begin = end
	}
	return records, nil
}

// versionedHead is a head with the version of its record.
type versionedHead struct {
	Head
	version uint64
}

// decodeVersionedHead decodes the record of a head. The head must be that of its key and
// keep its invariants, as any process may have written the record.
func decodeVersionedHead(record agatestage.Record) (versionedHead, error) {
	head, err := decodeHead(record.Value)
	switch {
	case err != nil:
	case head.ID == "" || record.Key != headKey(head.ID):
		err = errors.New("job head is not that of its key")
	case !head.valid():
		err = errors.New("job head has impossible counts")
	}
	return versionedHead{Head: head, version: record.Version}, err
}

// valid reports whether the counts are possible: a part has at least one item, a chunk at
// least one result.
func (head Head) valid() bool {
	return head.Items <= maxItems && 0 <= head.Parts && head.Parts <= head.Items &&
		0 <= head.Chunks && head.Chunks <= head.Results && head.Results <= head.Items
}

// record returns the head's record as it is in the store.
func (versionedHead versionedHead) record() (record agatestage.Record, err error) {
	record = agatestage.Record{Key: headKey(versionedHead.ID), Version: versionedHead.version}
	record.Value, err = versionedHead.encode()
	return record, err
}

// Package heads stores the heads of batch jobs. A head is a small record in the
// platform's store; it alone is authoritative for a job's state, its owner and
// the hosts that have copies of its segments.
package heads

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// State is the state of a job.
type State string

// The states of a job.
const (
	// StateUploaded is an input for which no job has been created yet.
	StateUploaded  State = "Uploaded"
	StateRunning   State = "Running"
	StateDone      State = "Done"
	StateCancelled State = "Cancelled"
)

// Ended reports whether the state is final.
func (state State) Ended() bool {
	return state == StateDone || state == StateCancelled
}

// Segment is one file of a job and the hosts that have copies of it.
type Segment struct {
	Name   string
	Copies []string
	// Bytes is the length of a sealed segment; 0 while it is open.
	Bytes  int64
	Sealed bool
}

// Head is the record of one job.
//
// Invariants: the epoch increases with each change of owner; only the last
// result segment may be open; the results of a job that has ended don't change.
type Head struct {
	ID           string
	Organisation string
	State        State
	Endpoint     string
	Model        string
	Items        int
	Created      time.Time
	Due          time.Time
	Ended        time.Time
	// Owner is the entry that owns the job in Epoch; empty if none has taken it
	// yet.
	Owner   string
	Epoch   uint64
	Input   []Segment
	Results []Segment
	// Completed and Failed count the results; they are set when the job ends.
	Completed int
	Failed    int
	// Digest is the digest of the input; it detects an idempotency key that is
	// used again with another body.
	Digest   string
	Key      string            `json:",omitempty"`
	Metadata map[string]string `json:",omitempty"`
}

// Decode decodes a head from JSON.
func Decode(data []byte) (head Head, err error) {
	return head, errors.Wrap(json.Unmarshal(data, &head), "decode job head")
}

// Encode encodes the head as JSON.
func (head Head) Encode() ([]byte, error) {
	data, err := json.Marshal(head)
	return data, errors.Wrap(err, "encode job head")
}

// Clone returns a copy whose segments can be changed without affecting head.
func (head Head) Clone() Head {
	head.Input = cloneSegments(head.Input)
	head.Results = cloneSegments(head.Results)
	return head
}

func cloneSegments(segments []Segment) []Segment {
	cloned := make([]Segment, len(segments))
	for i, segment := range segments {
		segment.Copies = append([]string(nil), segment.Copies...)
		cloned[i] = segment
	}
	return cloned
}

// HasCopy reports whether a host has a copy of any segment of the job.
func (head Head) HasCopy(host string) bool {
	for _, segments := range [][]Segment{head.Input, head.Results} {
		for _, segment := range segments {
			for _, copy := range segment.Copies {
				if copy == host {
					return true
				}
			}
		}
	}
	return false
}

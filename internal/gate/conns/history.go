package conns

import (
	"hash/maphash"
	"slices"
)

// maxAnswers bounds the answers that are read on one connection, and thus the size of
// its history.
const maxAnswers = 256

// origin says which call an answer belongs to.
type origin int

const (
	// originUnknown is that of an answer that may be a copy of an earlier one.
	originUnknown origin = iota
	originOwn
	originForeign
)

// history holds the calls that were answered on a connection. A faulty target may send
// an answer again later. So only the first answer that names a call belongs to it, and
// one that names no call belongs to the only call on its connection.
type history struct {
	// answered holds the hashes of the IDs of the calls.
	answered []uint64
	answers  int
}

var historySeed = maphash.MakeSeed()

// accepts reports whether the answer to a call can be told from copies of earlier ones.
func (history *history) accepts(callID string) bool {
	return history.answers == 0 || callID != "" && !history.contains(callID)
}

// record adds an answer that names the given calls, and returns its origin. The call with
// callID was sent last.
func (history *history) record(callID string, answerIDs []string) origin {
	origin := originForeign
	switch {
	case len(answerIDs) == 0 && history.answers == 0:
		origin, answerIDs = originOwn, []string{callID}
	case len(answerIDs) != 1, history.contains(callID):
		origin = originUnknown
	case answerIDs[0] == callID:
		origin = originOwn
	}
	history.answers++
	for _, id := range answerIDs {
		if !history.contains(id) {
			history.answered = append(history.answered, hashID(id))
		}
	}
	return origin
}

// full reports whether the connection must not be used again.
func (history *history) full() bool { return history.answers >= maxAnswers }

func (history *history) contains(id string) bool {
	return slices.Contains(history.answered, hashID(id))
}

func hashID(id string) uint64 { return maphash.String(historySeed, id) }

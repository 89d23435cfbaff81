package logs

import (
	"bytes"
	"time"
)

const (
	// linesPerSecond bounds the volume: ten lines for each request at the rate that
	// one gateway is designed for.
	linesPerSecond = 2000
	// kindPerSecond bounds the lines with one message, so that what happens often,
	// as answered requests do, leaves room for what happens seldom.
	kindPerSecond = 600
)

// budget counts the lines of the current second. It isn't safe for use by several
// goroutines.
type budget struct {
	second time.Time
	total  int
	kinds  map[string]int
	// dropped counts the lines that were dropped and not yet told of, by kind.
	dropped map[string]int
}

func newBudget() *budget {
	return &budget{kinds: make(map[string]int), dropped: make(map[string]int)}
}

// take reports whether there is room for one more line of the kind now.
func (budget *budget) take(kind string, now time.Time) bool {
	if now.Sub(budget.second) >= time.Second || now.Before(budget.second) {
		budget.second, budget.total = now, 0
		clear(budget.kinds)
	}
	if budget.total >= linesPerSecond || budget.kinds[kind] >= kindPerSecond {
		return false
	}
	budget.total++
	budget.kinds[kind]++
	return true
}

// told returns the counts of dropped lines and forgets them.
func (budget *budget) told() map[string]int {
	if len(budget.dropped) == 0 {
		return nil
	}
	dropped := budget.dropped
	budget.dropped = make(map[string]int)
	return dropped
}

// kindOf returns the message of a structured line, or nothing if it has none.
func kindOf(line []byte) string {
	_, rest, ok := bytes.Cut(line, []byte(`] "`))
	if !ok {
		return ""
	}
	message, _, ok := bytes.Cut(rest, []byte(`"`))
	if !ok {
		return ""
	}
	return string(message)
}

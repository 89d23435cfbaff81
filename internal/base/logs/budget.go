package logs

import (
	"bytes"
	"time"
)

const (
	// linesPerSecond limits all lines: ten per request at the request rate that one
	// gateway is designed for.
	linesPerSecond = 2000
	// messagePerSecond limits the lines with the same message, so that frequent
	// events, such as answered requests, leave room for rare ones.
	messagePerSecond = 600
)

// budget enforces the rate limits of log lines, in windows of one second. It isn't
// safe for concurrent use.
type budget struct {
	window    time.Time
	total     int
	byMessage map[string]int
	// dropped counts the dropped lines that haven't been reported yet, by message.
	dropped map[string]int
}

func newBudget() *budget {
	return &budget{byMessage: make(map[string]int), dropped: make(map[string]int)}
}

// take reports whether a line with the message is within the limits at the time now,
// and counts it if so.
func (budget *budget) take(message string, now time.Time) bool {
	if now.Sub(budget.window) >= time.Second || now.Before(budget.window) {
		budget.window, budget.total = now, 0
		clear(budget.byMessage)
	}
	if budget.total >= linesPerSecond || budget.byMessage[message] >= messagePerSecond {
		return false
	}
	budget.total++
	budget.byMessage[message]++
	return true
}

// takeDropped returns the counts of dropped lines by message and resets them.
func (budget *budget) takeDropped() map[string]int {
	if len(budget.dropped) == 0 {
		return nil
	}
	dropped := budget.dropped
	budget.dropped = make(map[string]int)
	return dropped
}

// messageOf returns the message of a structured log line, or an empty string if it
// has none.
func messageOf(line []byte) string {
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

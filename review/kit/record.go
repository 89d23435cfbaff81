// Package kit holds the stand-ins that the scripts of this review use: the platform's
// store, model engines, clients, and the platform's part that starts and kills processes.
// They follow the users' pages.
package kit

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// The exit codes of a script.
const (
	Held   = 0
	Broken = 1
	Failed = 2
)

// Record is the file in which a script writes what was sent, answered and run.
type Record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord creates the record at a path.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, began: time.Now()}, nil
}

// Add writes a line with the time since the start.
func (record *Record) Add(format string, args ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	_, _ = fmt.Fprintf(record.file, "%8.3f  %s\n", time.Since(record.began).Seconds(), fmt.Sprintf(format, args...))
}

// Trouble reports whether the script is to make its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

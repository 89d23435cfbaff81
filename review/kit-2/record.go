package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file.
type record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, began: time.Now()}, err
}

// log writes a line with the time since the begin.
func (record *record) log(format string, args ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(record.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = record.file.WriteString(line)
	if os.Getenv("SHOW") != "" {
		fmt.Print(line)
	}
}

// panics writes the beginnings of the panics in the log of a machine's processes.
func (record *record) panics(machine *machine) {
	data, err := os.ReadFile(filepath.Join(machine.fleet.folder, machine.name+".log"))
	if err != nil {
		return
	}
	lines := strings.Split(string(data), "\n")
	for i, line := range lines {
		if !strings.HasPrefix(line, "panic: ") {
			continue
		}
		record.log("%s wrote: %s", machine.name, line)
		for _, next := range lines[i+1 : min(len(lines), i+8)] {
			if next = strings.TrimSpace(next); next != "" {
				record.log("%s wrote:   %.160s", machine.name, strings.ReplaceAll(next, machine.fleet.root, "."))
			}
		}
		return
	}
}

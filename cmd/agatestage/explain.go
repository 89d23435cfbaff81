package main

import (
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/agatestage/agatestage/internal/tool/trace"
)

// explainCommand prints the log lines of one request, batch item or job.
type explainCommand struct {
	ID     string        `arg:"" help:"ID of the request, batch item or job."`
	Files  []string      `arg:"" type:"existingfile" help:"Logs, one a process; a file's name without its ending names the process."`
	Around time.Duration `default:"2s" help:"How long before and after the ID's lines its surroundings are shown."`
}

// Run implements the command.
func (command *explainCommand) Run() error {
	if command.ID == "" {
		return errors.New("the ID is empty")
	}
	var lines []trace.Line
	for _, path := range command.Files {
		logLines, err := readLog(path)
		if err != nil {
			return err
		}
		lines = append(lines, logLines...)
	}
	entries := trace.Explain(command.ID, lines, command.Around)
	if len(entries) == 0 {
		return errors.Errorf("no line in %d files contains %s", len(command.Files), command.ID)
	}
	return trace.Write(os.Stdout, entries)
}

// readLog parses the log of one process, which is named after the file.
func readLog(path string) ([]trace.Line, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return trace.Read(strings.TrimSuffix(filepath.Base(path), filepath.Ext(path)), file)
}

package jobs

import (
	"time"

	"github.com/agatestage/agatestage/internal/batch/heads"
	"github.com/agatestage/agatestage/internal/batch/owner"
)

// batch is a job as the published API represents it.
type batch struct {
	ID               string            `json:"id"`
	Object           string            `json:"object"`
	Endpoint         string            `json:"endpoint"`
	Errors           *string           `json:"errors"`
	InputFileID      string            `json:"input_file_id"`
	CompletionWindow string            `json:"completion_window"`
	Status           string            `json:"status"`
	OutputFileID     *string           `json:"output_file_id"`
	ErrorFileID      *string           `json:"error_file_id"`
	CreatedAt        int64             `json:"created_at"`
	ExpiresAt        int64             `json:"expires_at"`
	CompletedAt      *int64            `json:"completed_at"`
	CancelledAt      *int64            `json:"cancelled_at"`
	RequestCounts    counts            `json:"request_counts"`
	Metadata         map[string]string `json:"metadata"`
}

type counts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
}

type batchList struct {
	Object  string  `json:"object"`
	Data    []batch `json:"data"`
	HasMore bool    `json:"has_more"`
}

// file is a job's input or output as the published API represents it.
type file struct {
	ID        string `json:"id"`
	Object    string `json:"object"`
	Bytes     int64  `json:"bytes"`
	CreatedAt int64  `json:"created_at"`
	Filename  string `json:"filename"`
	Purpose   string `json:"purpose"`
	Status    string `json:"status"`
}

// newBatch returns a job as the published API represents it.
func newBatch(progress owner.Progress) batch {
	head := progress.Head
	output := filePrefix + head.ID + outputSuffix
	object := batch{
		ID:               batchPrefix + head.ID,
		Object:           "batch",
		Endpoint:         head.Endpoint,
		InputFileID:      filePrefix + head.ID,
		CompletionWindow: head.Due.Sub(head.Created).Round(time.Second).String(),
		Status:           status(progress),
		OutputFileID:     &output,
		CreatedAt:        head.Created.Unix(),
		ExpiresAt:        head.Due.Unix(),
		RequestCounts:    counts{Total: head.Items, Completed: progress.Completed, Failed: progress.Failed},
		Metadata:         head.Metadata,
	}
	ended := head.Ended.Unix()
	switch head.State {
	case heads.StateDone:
		object.CompletedAt = &ended
	case heads.StateCancelled:
		object.CancelledAt = &ended
	}
	return object
}

// status returns the published API's name of a job's state.
func status(progress owner.Progress) string {
	switch {
	case progress.Head.State == heads.StateDone:
		return "completed"
	case progress.Head.State == heads.StateCancelled:
		return "cancelled"
	case progress.Cancelling:
		return "cancelling"
	}
	return "in_progress"
}

package ledger

import (
	"bytes"
	"os"
	"sync"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/batch/frame"
)

// file is one open segment.
//
// Invariant: the first length bytes are valid frames that have been synced to
// disk. Nothing follows them once the file is opened; what follows them after a
// failed append is unknown, and failure is set.
type file struct {
	mutex  sync.Mutex
	file   *os.File
	length int64
	// failure is set after a failed write or sync, and when the file is closed;
	// all further appends then fail with it.
	failure error
}

// openFile opens or creates a segment and truncates it after its last valid
// frame.
func openFile(path string) (*file, error) {
	opened, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open segment")
	}
	segment := &file{file: opened}
	if err = segment.recover(); err != nil {
		_ = opened.Close()
		return nil, err
	}
	return segment, nil
}

// recover finds the end of the valid frames and truncates the file there.
func (file *file) recover() error {
	info, err := file.file.Stat()
	if err != nil {
		return errors.Wrap(err, "stat segment")
	}
	if file.length = frame.ValidEnd(file.file, 0); file.length == info.Size() {
		return nil
	}
	klog.InfoS("truncated segment after its last valid frame", "file", info.Name(), "from", info.Size(), "to", file.length)
	return errors.Wrap(file.file.Truncate(file.length), "cut segment")
}

// append verifies frames, writes them at the end and syncs the file.
func (file *file) append(offset int64, frames []byte) (int64, error) {
	if frame.ValidEnd(bytes.NewReader(frames), 0) != int64(len(frames)) {
		return 0, frame.ErrTorn
	}
	file.mutex.Lock()
	defer file.mutex.Unlock()
	if file.failure != nil {
		return 0, file.failure
	}
	if offset != file.length {
		return file.length, agatestage.ErrOffset
	}
	if err := file.write(frames); err != nil {
		// After a failed sync the state on disk is unknown.
		file.failure = errors.Wrap(err, "write segment")
		return 0, file.failure
	}
	file.length += int64(len(frames))
	return file.length, nil
}

// write writes the frames at the end of the file and syncs it.
func (file *file) write(frames []byte) error {
	if _, err := file.file.WriteAt(frames, file.length); err != nil {
		return err
	}
	return file.file.Sync()
}

// truncate shortens the segment to length, if it is longer.
func (file *file) truncate(length int64) error {
	file.mutex.Lock()
	defer file.mutex.Unlock()
	if length >= file.length {
		return nil
	}
	if err := file.file.Truncate(length); err != nil {
		return errors.Wrap(err, "cut segment")
	}
	if err := file.file.Sync(); err != nil {
		return errors.Wrap(err, "sync segment")
	}
	file.length = length
	return nil
}

func (file *file) size() int64 {
	file.mutex.Lock()
	defer file.mutex.Unlock()
	return file.length
}

// read returns complete frames from offset on, until they add up to limit bytes
// or more.
func (file *file) read(offset int64, limit int) ([]byte, error) {
	end := file.size()
	next := offset
	for next < end && (next == offset || next-offset < int64(limit)) {
		header, err := frame.ReadHeader(file.file, next)
		if err != nil {
			return nil, errors.Wrapf(err, "segment at %d", next)
		}
		next += header.Size()
	}
	if next > end {
		return nil, errors.Wrapf(frame.ErrTorn, "segment at %d", offset)
	}
	frames := make([]byte, next-offset)
	if _, err := file.file.ReadAt(frames, offset); err != nil && len(frames) > 0 {
		return nil, errors.Wrap(err, "read segment")
	}
	return frames, nil
}

// scan returns summaries of at most limit blocks from offset on.
func (file *file) scan(offset int64, limit int) (summaries []agatestage.Summary, err error) {
	end := file.size()
	for offset < end && len(summaries) < limit {
		header, index, err := frame.ReadIndex(file.file, offset)
		if err != nil {
			return nil, errors.Wrapf(err, "segment at %d", offset)
		}
		after := offset + header.Size()
		summaries = append(summaries, agatestage.Summary{Offset: offset, End: after, Items: index.Items, Failed: index.Failed})
		offset = after
	}
	return summaries, nil
}

func (file *file) close() {
	file.mutex.Lock()
	defer file.mutex.Unlock()
	_ = file.file.Close()
	file.failure = errors.New("ledger: segment is closed")
}

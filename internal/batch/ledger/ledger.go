// Package ledger stores copies of batch jobs on the disk of one host.
//
// Each job has a folder with its segments and its fence. A segment is a sequence
// of frames, each with a checksum and a compressed body, and is synced before an
// append is acknowledged. The fence is the lowest epoch that may write; it is
// raised on disk before Fence returns. A truncated or corrupted end of a segment
// is cut off when the segment is opened; package repair restores it from another
// copy.
package ledger

import (
	"context"
	"encoding/binary"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"github.com/agatestage/agatestage"
)

const (
	jobsFolder = "jobs"
	fenceFile  = "fence"
	suffix     = ".log"
	fenceSize  = 8
	// maxOpenSegments is the number of open segments from which idle jobs are
	// closed.
	maxOpenSegments = 512
)

// validName matches the permitted names of jobs and segments. They become parts
// of paths.
var validName = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,99}$`)

// Ledger implements agatestage.Ledger in a folder.
type Ledger struct {
	folder string
	limit  int64
	mutex  sync.Mutex
	jobs   map[string]*job
	used   int64
	open   int
}

// job is the in-memory state of one job: its fence and its open segments.
type job struct {
	// writes is held shared by appends and exclusively by fencing and removal.
	writes sync.RWMutex
	fence  uint64
	files  map[string]*file
}

// New opens the ledger in folder. It refuses appends once it holds limit bytes.
func New(folder string, limit int64) (*Ledger, error) {
	ledger := &Ledger{folder: filepath.Join(folder, jobsFolder), limit: limit, jobs: make(map[string]*job)}
	if err := os.MkdirAll(ledger.folder, 0o700); err != nil {
		return nil, errors.Wrap(err, "make ledger folder")
	}
	return ledger, ledger.measure()
}

// measure adds the sizes of all files in the folder to used.
func (ledger *Ledger) measure() error {
	err := filepath.Walk(ledger.folder, func(_ string, info os.FileInfo, err error) error {
		if err == nil && info.Mode().IsRegular() {
			ledger.used += info.Size()
		}
		return err
	})
	return errors.Wrap(err, "measure ledger")
}

// Used returns the number of bytes stored, and the limit.
func (ledger *Ledger) Used() (used, limit int64) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	return ledger.used, ledger.limit
}

// Jobs returns the names of the jobs on disk.
func (ledger *Ledger) Jobs() ([]string, error) {
	entries, err := os.ReadDir(ledger.folder)
	if err != nil {
		return nil, errors.Wrap(err, "list ledger")
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, nil
}

// job returns the state of a job and loads it if needed. If create is set, it
// creates the job's folder.
func (ledger *Ledger) job(name string, create bool) (*job, error) {
	if !validName.MatchString(name) {
		return nil, errors.Errorf("ledger: %q is not a job's name", name)
	}
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	if state := ledger.jobs[name]; state != nil {
		return state, nil
	}
	folder := filepath.Join(ledger.folder, name)
	if create {
		if err := os.MkdirAll(folder, 0o700); err != nil {
			return nil, errors.Wrap(err, "make job folder")
		}
	}
	if _, err := os.Stat(folder); err != nil {
		return nil, agatestage.ErrNotFound
	}
	state := &job{files: make(map[string]*file)}
	data, err := os.ReadFile(filepath.Join(folder, fenceFile))
	if err == nil && len(data) == fenceSize {
		state.fence = binary.LittleEndian.Uint64(data)
	} else if err == nil || !os.IsNotExist(err) {
		return nil, errors.Errorf("ledger: the fence of job %s is not readable", name)
	}
	ledger.closeIdle()
	ledger.jobs[name] = state
	return state, nil
}

// closeIdle closes idle jobs when maxOpenSegments segments are open, until half
// as many are; the mutex is held.
func (ledger *Ledger) closeIdle() {
	if ledger.open < maxOpenSegments {
		return
	}
	for name, state := range ledger.jobs {
		if !state.writes.TryLock() {
			continue
		}
		for _, file := range state.files {
			file.close()
			ledger.open--
		}
		delete(ledger.jobs, name)
		state.writes.Unlock()
		if ledger.open < maxOpenSegments/2 {
			return
		}
	}
}

// segment returns a segment and opens it if needed. If create is set, it creates
// the file.
func (ledger *Ledger) segment(state *job, segment agatestage.Segment, create bool) (*file, error) {
	if !validName.MatchString(segment.Name) {
		return nil, errors.Errorf("ledger: %q is not a segment's name", segment.Name)
	}
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	if opened := state.files[segment.Name]; opened != nil {
		return opened, nil
	}
	path := filepath.Join(ledger.folder, segment.Job, segment.Name+suffix)
	if _, err := os.Stat(path); err != nil && !create {
		return nil, agatestage.ErrNotFound
	}
	opened, err := openFile(path)
	if err != nil {
		return nil, err
	}
	if create {
		if err = syncFolder(filepath.Dir(path)); err != nil {
			return nil, err
		}
	}
	state.files[segment.Name] = opened
	ledger.open++
	return opened, nil
}

// syncFolder syncs a folder, so that the entries of new files in it are durable.
func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "open folder")
	}
	defer folder.Close()
	return errors.Wrap(folder.Sync(), "sync folder")
}

// Append implements agatestage.Ledger.
func (ledger *Ledger) Append(_ context.Context, segment agatestage.Segment, epoch uint64, offset int64, frames []byte) (int64, error) {
	if used, limit := ledger.Used(); used >= limit {
		return 0, agatestage.ErrFull
	}
	state, err := ledger.job(segment.Job, true)
	if err != nil {
		return 0, err
	}
	state.writes.RLock()
	defer state.writes.RUnlock()
	if epoch < state.fence {
		return 0, agatestage.ErrFenced
	}
	var file *file
	if file, err = ledger.segment(state, segment, true); err != nil {
		return 0, err
	}
	var end int64
	if end, err = file.append(offset, frames); err != nil {
		return end, err
	}
	ledger.addUsed(end - offset)
	return end, nil
}

func (ledger *Ledger) addUsed(bytes int64) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.used += bytes
}

// Fence implements agatestage.Ledger.
func (ledger *Ledger) Fence(_ context.Context, name string, epoch uint64) ([]agatestage.Length, error) {
	state, err := ledger.job(name, true)
	if err != nil {
		return nil, err
	}
	state.writes.Lock()
	defer state.writes.Unlock()
	if epoch < state.fence {
		return nil, agatestage.ErrFenced
	}
	if epoch > state.fence {
		if err = ledger.writeFence(name, epoch); err != nil {
			return nil, err
		}
		state.fence = epoch
	}
	return ledger.lengths(state, name)
}

func (ledger *Ledger) writeFence(name string, epoch uint64) error {
	folder := filepath.Join(ledger.folder, name)
	path := filepath.Join(folder, fenceFile)
	file, err := os.Create(path + ".new")
	if err != nil {
		return errors.Wrap(err, "write fence")
	}
	defer file.Close()
	if _, err = file.Write(binary.LittleEndian.AppendUint64(nil, epoch)); err != nil {
		return errors.Wrap(err, "write fence")
	}
	if err = file.Sync(); err != nil {
		return errors.Wrap(err, "sync fence")
	}
	if err = os.Rename(path+".new", path); err != nil {
		return errors.Wrap(err, "replace fence")
	}
	return syncFolder(folder)
}

// lengths opens all segments of a job on disk and returns their lengths.
func (ledger *Ledger) lengths(state *job, name string) (lengths []agatestage.Length, err error) {
	files, err := os.ReadDir(filepath.Join(ledger.folder, name))
	if err != nil {
		return nil, errors.Wrap(err, "list job")
	}
	for _, info := range files {
		base, ok := strings.CutSuffix(info.Name(), suffix)
		if !ok {
			continue
		}
		segment := agatestage.Segment{Job: name, Name: base}
		var file *file
		if file, err = ledger.segment(state, segment, false); err != nil {
			return nil, err
		}
		lengths = append(lengths, agatestage.Length{Segment: segment, Bytes: file.size()})
	}
	return lengths, nil
}

// Truncate implements agatestage.Ledger.
func (ledger *Ledger) Truncate(_ context.Context, segment agatestage.Segment, epoch uint64, length int64) error {
	state, err := ledger.job(segment.Job, false)
	if err != nil {
		return err
	}
	state.writes.RLock()
	defer state.writes.RUnlock()
	if epoch < state.fence {
		return agatestage.ErrFenced
	}
	var file *file
	if file, err = ledger.segment(state, segment, false); err != nil {
		return err
	}
	before := file.size()
	if err = file.truncate(length); err != nil {
		return err
	}
	ledger.addUsed(file.size() - before)
	return nil
}

// openExisting returns an existing segment for reading.
func (ledger *Ledger) openExisting(segment agatestage.Segment) (*file, error) {
	state, err := ledger.job(segment.Job, false)
	if err != nil {
		return nil, err
	}
	return ledger.segment(state, segment, false)
}

// Read implements agatestage.Ledger.
func (ledger *Ledger) Read(_ context.Context, segment agatestage.Segment, offset int64, limit int) ([]byte, error) {
	file, err := ledger.openExisting(segment)
	if err != nil {
		return nil, err
	}
	return file.read(offset, limit)
}

// Scan implements agatestage.Ledger.
func (ledger *Ledger) Scan(_ context.Context, segment agatestage.Segment, offset int64, limit int) ([]agatestage.Summary, error) {
	file, err := ledger.openExisting(segment)
	if err != nil {
		return nil, err
	}
	return file.scan(offset, limit)
}

// Remove implements agatestage.Ledger.
func (ledger *Ledger) Remove(_ context.Context, name string) error {
	state, err := ledger.job(name, false)
	if errors.Is(err, agatestage.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	state.writes.Lock()
	defer state.writes.Unlock()
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	for _, file := range state.files {
		ledger.used -= file.size()
		ledger.open--
		file.close()
	}
	delete(ledger.jobs, name)
	return errors.Wrap(os.RemoveAll(filepath.Join(ledger.folder, name)), "remove job")
}

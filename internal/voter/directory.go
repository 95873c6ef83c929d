package voter

import (
	"context"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"clementineyard/internal/cataloger"
)

const (
	// directoryFile precedes the number of a file of the directory in the data folder.
	directoryFile = "workers-"
	// batchInterval is the shortest time between two syncs of the directory. Those of the log share the disk, and each takes
	// 9 ms.
	batchInterval = time.Second
	// diskRetryInterval is the pause after a failed write. A full disk stays full for a while, and the log needs what is left.
	diskRetryInterval = 10 * time.Second
)

// directory writes the directory of workers to the voter's disk, and reads it after a start. A disk that fails or is full stops
// the writing, nothing else.
type directory struct {
	folder string
	log    *slog.Logger
	count  func(name string, delta int64)
	// write writes and syncs a batch.
	write func(folder string, b cataloger.Batch) error

	mu        sync.Mutex
	cataloger *cataloger.Cataloger
}

// openDirectory reads the directory in a data folder, and returns what is to be restored. What cannot be read is ignored.
func openDirectory(folder string, log *slog.Logger, count func(name string, delta int64)) (*directory, []cataloger.Entry) {
	var files [cataloger.Files]cataloger.File
	for i := range files {
		content, err := readDirectoryFile(folder, i)
		if err == nil {
			files[i], err = cataloger.Decode(content)
		}
		if err != nil {
			log.Warn("Voter could not read a file of its directory of workers to the end; it uses what comes before.", "file", i,
				"workers", len(files[i].Entries), "error", err)
		}
	}
	c, restored := cataloger.New(files)
	log.Info("Voter has read its directory of workers.", "folder", folder, "workers", len(restored))
	return &directory{folder: folder, log: log, count: count, write: writeDirectoryBatch, cataloger: c}, restored
}

func directoryPath(folder string, file int) string {
	return filepath.Join(folder, directoryFile+strconv.Itoa(file))
}

func readDirectoryFile(folder string, file int) ([]byte, error) {
	f, err := os.Open(directoryPath(folder, file))
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, eris.Wrap(err, "open directory of workers")
	}
	defer func() { _ = f.Close() }()
	content, err := io.ReadAll(io.LimitReader(f, cataloger.MaxFileBytes))
	if err != nil {
		return nil, eris.Wrap(err, "read directory of workers")
	}
	return content, nil
}

// writeDirectoryBatch writes and syncs a batch. The file's entry in the folder is synced by the voter's log sooner or later; a
// file that is lost without that costs time only.
func writeDirectoryBatch(folder string, b cataloger.Batch) (err error) {
	f, err := os.OpenFile(directoryPath(folder, b.File), os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return eris.Wrap(err, "open directory of workers")
	}
	defer func() {
		if closeErr := f.Close(); err == nil && closeErr != nil {
			err = eris.Wrap(closeErr, "close directory of workers")
		}
	}()
	if err := f.Truncate(b.Offset); err != nil {
		return eris.Wrap(err, "truncate directory of workers")
	}
	if _, err := f.WriteAt(b.Data, b.Offset); err != nil {
		return eris.Wrap(err, "write directory of workers")
	}
	if err := f.Sync(); err != nil {
		return eris.Wrap(err, "sync directory of workers")
	}
	return nil
}

// record takes over what was heard of workers. It never waits for the disk.
func (d *directory) record(heard []cataloger.Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range heard {
		d.cataloger.Apply(e)
	}
}

// run writes the directory until ctx is done.
func (d *directory) run(ctx context.Context) {
	wait := batchInterval
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		wait = batchInterval
		if err := d.writeBatch(); err != nil {
			d.log.Warn("Voter could not write its directory of workers; it tries again later.", "folder", d.folder, "error", err)
			d.count("directoryFailures", 1)
			wait = diskRetryInterval
		}
	}
}

// writeBatch writes what is to be written next, without holding up record.
func (d *directory) writeBatch() error {
	d.mu.Lock()
	b := d.cataloger.NextBatch()
	d.mu.Unlock()
	if len(b.Data) == 0 {
		return nil
	}
	err := d.write(d.folder, b)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.cataloger.Failed()
		return err
	}
	d.cataloger.Written()
	d.count("directorySyncs", 1)
	d.count("directoryBytes", int64(len(b.Data)))
	return nil
}

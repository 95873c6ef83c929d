package cataloger

import (
	"container/list"
	"time"

	"clementineyard/internal/registrar"
	"clementineyard/wire"
)

const (
	// Files is the number of files. One is appended to until it holds every worker and rotateBytes; then the other one is
	// begun anew. So one of them holds every worker at any time, and nothing is renamed or copied.
	Files = 2
	// MaxFileBytes bounds a file.
	MaxFileBytes = 8 << 20
	// maxBatchBytes bounds what is written in a second, and maxChangeBytes the part of it for new and changed workers: the
	// rest is for the workers that the file lacks, so that it is complete after some seconds.
	maxBatchBytes  = 1 << 20
	maxChangeBytes = 256 << 10
	// maxTableBytes bounds the records of all workers, so that a file holds them and the changes of the seven seconds in
	// which they are written. 32,000 workers may have 171 bytes each; those of the platform have about 120.
	maxTableBytes = 5_500_000
	// maxWorkers is the number of workers that are kept, twice the size of the largest planned fleet.
	maxWorkers = 32_000
	// refreshInterval is how old the stored time may get at which a worker was last heard from.
	refreshInterval = 30 * time.Second
	// silentLimit is how long before the newest entry a worker must have been silent to count as lost long ago. A file may be
	// completed over some refreshInterval, where writes fail meanwhile. A worker that was lost since costs its owner some
	// attempts to reach it.
	silentLimit = 10 * refreshInterval
)

type key struct{ id, service, failureDomain string }

func keyOf(w *wire.WorkerReport) key { return key{w.Id, w.Service, w.FailureDomain} }

// entry is what is kept of a worker. size is the size of its record, and storedAt the HeardAt of the last one written.
type entry struct {
	Entry
	size     int
	storedAt time.Time
	// pending is the entry's place among those to be written; nil if the files hold it as it is. changed is true if its
	// content has changed.
	pending *list.Element
	changed bool
	// heard is its place among all entries, longest silent first.
	heard *list.Element
}

// Cataloger is a directory of workers. It is not safe for concurrent use.
type Cataloger struct {
	entries map[key]*entry
	heard   *list.List
	// changes holds the entries whose content has changed, and missing those that the present file lacks or holds with an old
	// time, in the order in which they are written.
	changes, missing *list.List
	tableBytes       int
	// file is the index of the present file, and size its size. complete is true once it holds every worker.
	file, size int
	complete   bool
	// last holds the entries of the last batch, which Failed puts back, and lastBytes is its size.
	last      []*entry
	lastBytes int
}

// Batch is what is to be written next.
type Batch struct {
	// File is the index of the file, which is cut off at Offset before Data is written there: a former write may have left half
	// a record.
	File   int
	Offset int64
	Data   []byte
}

// New returns a directory that continues what was read from the files, and the entries of the workers that are to be restored.
func New(files [Files]File) (*Cataloger, []Entry) {
	restored, newest := merge(files)
	c := &Cataloger{entries: map[key]*entry{}, heard: list.New(), changes: list.New(), missing: list.New(), file: newest, size: files[newest].Size}
	for _, e := range restored {
		c.Apply(e)
	}
	for c.changes.Len() > 0 {
		// They are in one of the files already.
		c.await(c.changes.Front().Value.(*entry), c.missing)
	}
	for _, stored := range files[newest].Entries {
		if e := c.entries[keyOf(stored.Report)]; e != nil && registrar.EqualContent(e.Report, stored.Report) {
			c.settle(e)
			e.storedAt = stored.HeardAt
		}
	}
	c.complete = c.missing.Len() == 0
	return c, restored
}

// merge returns the newest entry of each worker, without those that had been silent for long when the newest one was written,
// and the index of the file that holds the newest one.
func merge(files [Files]File) (out []Entry, newest int) {
	merged := map[key]Entry{}
	var last time.Time
	for i, f := range files {
		for _, e := range f.Entries {
			k := keyOf(e.Report)
			if held, ok := merged[k]; !ok || registrar.IsNewer(e.Report, held.Report) || !registrar.IsNewer(held.Report, e.Report) && e.HeardAt.After(held.HeardAt) {
				merged[k] = e
			}
			if e.HeardAt.After(last) {
				last, newest = e.HeardAt, i
			}
		}
	}
	for _, e := range merged {
		if last.Sub(e.HeardAt) <= silentLimit {
			out = append(out, e)
		}
	}
	return out, newest
}

// Apply records what was heard of a worker.
func (c *Cataloger) Apply(heard Entry) {
	k := keyOf(heard.Report)
	e := c.entries[k]
	changed := e == nil || !registrar.EqualContent(e.Report, heard.Report)
	if e == nil {
		e = &entry{}
		e.heard = c.heard.PushBack(e)
		c.entries[k] = e
	}
	e.Entry = heard
	c.heard.MoveToBack(e.heard)
	switch {
	case changed:
		record, err := appendRecord(nil, heard)
		if err != nil {
			c.remove(e)
			return
		}
		c.tableBytes += len(record) - e.size
		e.size, e.changed = len(record), true
		c.await(e, c.changes)
	case e.pending == nil && heard.HeardAt.Sub(e.storedAt) >= refreshInterval:
		c.await(e, c.missing)
	}
	for len(c.entries) > maxWorkers || c.tableBytes > maxTableBytes {
		c.remove(c.heard.Front().Value.(*entry))
	}
}

// await puts an entry into one of the lists of those that are to be written.
func (c *Cataloger) await(e *entry, l *list.List) {
	c.settle(e)
	e.pending, e.changed = l.PushBack(e), l == c.changes
}

// settle takes an entry out of the list of those that are to be written.
func (c *Cataloger) settle(e *entry) {
	switch {
	case e.pending == nil:
		return
	case e.changed:
		c.changes.Remove(e.pending)
	default:
		c.missing.Remove(e.pending)
	}
	e.pending = nil
}

func (c *Cataloger) remove(e *entry) {
	c.settle(e)
	c.heard.Remove(e.heard)
	c.tableBytes -= e.size
	delete(c.entries, keyOf(e.Report))
}

// NextBatch returns what is to be written and synced next, at most once a second; its Data is empty if that is nothing. Written
// or Failed tells what has become of it.
func (c *Cataloger) NextBatch() Batch {
	c.last, c.lastBytes = nil, 0
	if c.changes.Len() == 0 && c.missing.Len() == 0 {
		return Batch{}
	}
	if c.size+maxBatchBytes > MaxFileBytes {
		c.begin()
	}
	b := Batch{File: c.file, Offset: int64(c.size)}
	if c.size == 0 {
		b.Data = []byte(header)
	}
	b.Data = c.take(b.Data, c.changes, maxChangeBytes)
	b.Data = c.take(b.Data, c.missing, maxBatchBytes)
	c.lastBytes = len(b.Data)
	c.size += c.lastBytes
	return b
}

// begin begins a file anew: the other one if the present one is complete, and otherwise the present one, as the other one is.
// Workers that have been silent for long are left out.
func (c *Cataloger) begin() {
	if c.complete {
		c.file = (c.file + 1) % Files
	}
	c.size, c.complete = 0, false
	last := c.heard.Back().Value.(*entry).HeardAt
	for e := c.heard.Front().Value.(*entry); last.Sub(e.HeardAt) > silentLimit; e = c.heard.Front().Value.(*entry) {
		c.remove(e)
	}
	for place := c.heard.Front(); place != nil; place = place.Next() {
		if e := place.Value.(*entry); e.pending == nil {
			c.await(e, c.missing)
		}
	}
}

// take appends the records of the first entries of a list, up to limit bytes in total.
func (c *Cataloger) take(data []byte, l *list.List, limit int) []byte {
	for l.Len() > 0 {
		e := l.Front().Value.(*entry)
		record, err := appendRecord(nil, e.Entry)
		if err == nil && len(data)+len(record) > limit {
			break
		}
		c.settle(e)
		data, e.storedAt = append(data, record...), e.HeardAt
		c.last = append(c.last, e)
	}
	return data
}

// Written records that the last batch is synced.
func (c *Cataloger) Written() {
	c.complete = c.complete || c.missing.Len() == 0 && c.changes.Len() == 0
}

// Failed records that the last batch may not have been written. The next one overwrites it.
func (c *Cataloger) Failed() {
	c.size -= c.lastBytes
	for _, e := range c.last {
		if c.entries[keyOf(e.Report)] == e && e.pending == nil {
			c.await(e, c.changes)
		}
	}
	c.last, c.lastBytes = nil, 0
}

// Len returns the number of workers.
func (c *Cataloger) Len() int { return len(c.entries) }

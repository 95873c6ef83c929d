package storer

import (
	"bufio"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"math"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"clementineyard/wire"
)

const (
	identityFile = "identity"
	logFile      = "log"
	snapshotFile = "snapshot"

	diskIDBytes = 16
	// maxGrowthBytes is how much a log may grow before it is to be compacted. Its entries are in memory as well.
	maxGrowthBytes = 16 << 20
	// maxBufferBytes bounds the buffer that is kept from one sync to the next.
	maxBufferBytes = 1 << 20

	// noTerm is the term of an entry that the log does not hold; no election reaches it.
	noTerm = math.MaxUint64
)

// The kinds of records in a frame of the log.
const (
	// recordBase holds the index and the term of the entry before the first one in the file.
	recordBase = byte(iota + 1)
	// recordHardState holds the term and the vote.
	recordHardState
	// recordEntry holds one entry; it replaces the entry of the same index and all that follow it.
	recordEntry
	// recordCommit holds the commit index.
	recordCommit
)

// ErrInitialised means that the data folder already holds an identity.
var ErrInitialised = eris.New("data folder already holds an identity")

// Identity identifies a voter's disk. A voter whose disk was emptied or damaged gets a new identity.
type Identity struct {
	DiskID string
	// Founder is true when the identity was created by --initialise.
	Founder bool
}

// HardState is what a voter must store before it answers: its term and its vote.
type HardState struct {
	Term uint64
	// Vote is the identity voted for in Term; empty when none.
	Vote string
}

// State is the durable state of a voter.
type State struct {
	Identity
	HardState
	CommitIndex uint64
	// Snapshot is nil before the first one.
	Snapshot *wire.ConfigSnapshot
	// BaseIndex and BaseTerm are the index and the term of the entry before Entries[0].
	BaseIndex, BaseTerm uint64
	Entries             []*wire.ConfigEntry
	// NewIdentity is true when the folder held no usable state and a new identity was created.
	NewIdentity bool
}

// Batch is what one sync makes durable. Empty fields leave the stored values as they are.
type Batch struct {
	HardState   *HardState
	Entries     []*wire.ConfigEntry
	CommitIndex uint64
}

// Storer writes to one data folder. It is not safe for concurrent use.
type Storer struct {
	dir string
	log *os.File
	buf []byte
	// grownBytes is the number of bytes in the log that Compact has not written.
	grownBytes int64
}

// Initialise creates the identity of a founder in a data folder that holds none. It returns ErrInitialised when the
// folder already holds a voter's files.
func Initialise(dir string) error {
	for _, name := range []string{identityFile, logFile, snapshotFile} {
		if _, err := os.Stat(filepath.Join(dir, name)); err == nil {
			return eris.Wrap(ErrInitialised, dir)
		}
	}
	return createIdentity(dir, true)
}

// createIdentity creates the data folder with an empty log and a new identity. The log is written first, so that an
// identity without a log is always damage.
func createIdentity(dir string, founder bool) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return eris.Wrap(err, "create data folder")
	}
	if err := syncFolder(filepath.Dir(dir), (*os.File).Sync); err != nil {
		return err
	}
	if err := replaceFile(dir, logFile, endFrame(appendPair(beginFrame(nil), recordBase, 0, 0))); err != nil {
		return err
	}
	id := make([]byte, diskIDBytes)
	if _, err := rand.Read(id); err != nil {
		return eris.Wrap(err, "create disk id")
	}
	payload := []byte{0}
	if founder {
		payload[0] = 1
	}
	return replaceFile(dir, identityFile, endFrame(append(beginFrame(nil), append(payload, hex.EncodeToString(id)...)...)))
}

// Open opens the data folder and returns its state. If the folder is empty, the voter gets a new identity and an empty
// log; if the files are damaged, they are renamed first.
func Open(dir string, log *slog.Logger) (*Storer, *State, error) {
	s, st, err := open(dir, log, (*os.File).Sync)
	fresh := errors.Is(err, fs.ErrNotExist)
	if err == nil || !fresh && !errors.Is(err, ErrDamaged) {
		return s, st, err
	}
	if errors.Is(err, ErrDamaged) {
		log.Error("Stored state is damaged; the voter restarts as a learner.", "folder", dir, "error", err)
		if err := moveAside(dir, log); err != nil {
			return nil, nil, err
		}
	}
	if err := createIdentity(dir, false); err != nil {
		return nil, nil, err
	}
	if s, st, err = open(dir, log, (*os.File).Sync); err != nil {
		return nil, nil, err
	}
	st.NewIdentity = true
	return s, st, nil
}

// moveAside renames the files of a damaged data folder, so that they are kept for inspection.
func moveAside(dir string, log *slog.Logger) error {
	suffix := fmt.Sprintf(".damaged-%d", time.Now().UnixNano())
	for _, name := range []string{identityFile, logFile, snapshotFile} {
		path := filepath.Join(dir, name)
		if err := os.Rename(path, path+suffix); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return eris.Wrap(err, "rename damaged file")
		}
		log.Warn("Voter renamed a file of its damaged data folder.", "file", path, "to", path+suffix)
	}
	return syncFolder(dir, (*os.File).Sync)
}

// open reads a data folder. It calls sync for the log and the folder before their content counts as durable.
func open(dir string, log *slog.Logger, sync func(*os.File) error) (*Storer, *State, error) {
	st := &State{}
	if err := readIdentity(dir, st); err != nil {
		return nil, nil, err
	}
	// A process that was killed may have written or renamed files without syncing them. They are read all the same, but
	// would not outlast a loss of power.
	if err := syncFolder(dir, sync); err != nil {
		return nil, nil, err
	}
	if err := readSnapshot(dir, st); err != nil {
		return nil, nil, err
	}
	path := filepath.Join(dir, logFile)
	f, err := os.OpenFile(path, os.O_RDWR, 0o644)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil, eris.Wrap(ErrDamaged, "identity without a log")
	}
	if err != nil {
		return nil, nil, eris.Wrap(err, "open log")
	}
	validBytes, err := readLog(f, st, log)
	if err != nil {
		return nil, nil, errors.Join(err, f.Close())
	}
	if err := sync(f); err != nil {
		return nil, nil, eris.Wrap(errors.Join(err, f.Close()), "sync log")
	}
	if _, err := f.Seek(validBytes, io.SeekStart); err != nil {
		return nil, nil, eris.Wrap(errors.Join(err, f.Close()), "seek log")
	}
	s := &Storer{dir: dir, log: f, grownBytes: validBytes}
	if superseded, err := reconcileSnapshot(st); err != nil || !superseded {
		return s, st, err
	}
	log.Warn("Voter replaces its log because its snapshot is newer.", "folder", dir, "index", st.Snapshot.Index)
	return s, st, s.Compact(st)
}

func readIdentity(dir string, st *State) error {
	b, err := os.ReadFile(filepath.Join(dir, identityFile))
	if errors.Is(err, fs.ErrNotExist) {
		// A log or a snapshot without an identity belongs to a disk that can no longer be identified.
		for _, name := range []string{logFile, snapshotFile} {
			if _, err := os.Stat(filepath.Join(dir, name)); err == nil {
				return eris.Wrapf(ErrDamaged, "%s without an identity", name)
			}
		}
		return fs.ErrNotExist
	}
	if err != nil {
		return eris.Wrap(err, "read identity")
	}
	payload, rest, truncated, err := nextFrame(b)
	if err != nil || truncated || len(rest) > 0 || len(payload) != 1+2*diskIDBytes {
		return eris.Wrap(ErrDamaged, "decode identity")
	}
	st.Identity = Identity{Founder: payload[0] == 1, DiskID: string(payload[1:])}
	return nil
}

func readSnapshot(dir string, st *State) error {
	b, err := os.ReadFile(filepath.Join(dir, snapshotFile))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return eris.Wrap(err, "read snapshot")
	}
	payload, rest, truncated, err := nextFrame(b)
	if err != nil || truncated || len(rest) > 0 {
		return eris.Wrap(ErrDamaged, "read snapshot frame")
	}
	st.Snapshot = &wire.ConfigSnapshot{}
	if err := proto.Unmarshal(payload, st.Snapshot); err != nil {
		return eris.Wrapf(ErrDamaged, "decode snapshot: %v", err)
	}
	return nil
}

// readLog decodes the log into st, truncates it after its last complete frame, and returns its length.
func readLog(f *os.File, st *State, log *slog.Logger) (validBytes int64, err error) {
	info, err := f.Stat()
	if err != nil {
		return 0, eris.Wrap(err, "read log")
	}
	r := frameReader{r: bufio.NewReader(f), left: info.Size()}
	for {
		payload, ok, err := r.next()
		if err != nil {
			return 0, eris.Wrapf(err, "log at byte %d", info.Size()-r.left)
		}
		if !ok {
			break
		}
		if err := decodeRecords(payload, st); err != nil {
			return 0, err
		}
		validBytes = info.Size() - r.left
	}
	if last := st.BaseIndex + uint64(len(st.Entries)); validBytes == 0 || st.CommitIndex > last {
		return 0, eris.Wrap(ErrDamaged, "log does not reach its commit index")
	}
	if validBytes < info.Size() {
		log.Warn("Voter truncates its log after the last complete frame.", "file", f.Name(), "bytes", info.Size()-validBytes)
		if err := f.Truncate(validBytes); err != nil {
			return 0, eris.Wrap(err, "truncate log")
		}
	}
	return validBytes, nil
}

// reconcileSnapshot aligns the log with the snapshot, and reports whether the log file must be replaced: a crash between
// the writes of the two files in Compact leaves a snapshot that the log does not reach.
func reconcileSnapshot(st *State) (bool, error) {
	s := st.Snapshot
	if s == nil {
		if st.BaseIndex > 0 {
			return false, eris.Wrap(ErrDamaged, "log without the snapshot before it")
		}
		return false, nil
	}
	if s.Index < st.BaseIndex {
		return false, eris.Wrap(ErrDamaged, "snapshot ends before the log begins")
	}
	st.CommitIndex = max(st.CommitIndex, s.Index)
	if st.TermAt(s.Index) == s.Term {
		return false, nil
	}
	st.BaseIndex, st.BaseTerm, st.Entries, st.CommitIndex = s.Index, s.Term, nil, s.Index
	return true, nil
}

// TermAt returns the term of the entry at index, or math.MaxUint64 when the log does not hold it.
func (st *State) TermAt(index uint64) uint64 {
	switch {
	case index == st.BaseIndex:
		return st.BaseTerm
	case index < st.BaseIndex || index > st.BaseIndex+uint64(len(st.Entries)):
		return noTerm
	}
	return st.Entries[index-st.BaseIndex-1].Term
}

func decodeRecords(p []byte, st *State) error {
	for len(p) > 0 {
		kind := p[0]
		n, w := binary.Uvarint(p[1:])
		if w <= 0 || uint64(len(p)-1-w) < n {
			return eris.Wrap(ErrDamaged, "decode record length")
		}
		body := p[1+w : 1+w+int(n)]
		p = p[1+w+int(n):]
		if err := decodeRecord(kind, body, st); err != nil {
			return err
		}
	}
	return nil
}

func decodeRecord(kind byte, body []byte, st *State) error {
	if kind == recordEntry {
		e := &wire.ConfigEntry{}
		if err := proto.Unmarshal(body, e); err != nil {
			return eris.Wrapf(ErrDamaged, "decode entry: %v", err)
		}
		if e.Index <= st.BaseIndex || e.Index > st.BaseIndex+uint64(len(st.Entries))+1 {
			return eris.Wrapf(ErrDamaged, "entry %d is out of order", e.Index)
		}
		st.Entries = append(st.Entries[:e.Index-st.BaseIndex-1], e)
		return nil
	}
	a, w := binary.Uvarint(body)
	if w <= 0 {
		return eris.Wrap(ErrDamaged, "decode record")
	}
	switch kind {
	case recordHardState:
		st.HardState = HardState{Term: a, Vote: string(body[w:])}
	case recordCommit:
		st.CommitIndex = max(st.CommitIndex, a)
	case recordBase:
		b, w2 := binary.Uvarint(body[w:])
		if w2 <= 0 {
			return eris.Wrap(ErrDamaged, "decode base record")
		}
		st.BaseIndex, st.BaseTerm, st.Entries = a, b, nil
	default:
		return eris.Wrapf(ErrDamaged, "decode record of unknown kind %d", kind)
	}
	return nil
}

// Sync makes a batch durable with one write and one fsync.
func (s *Storer) Sync(b Batch) error {
	frame, err := encodeBatch(s.buf[:0], b)
	if err != nil || len(frame) == frameHeaderBytes {
		return err
	}
	if s.buf = frame; cap(s.buf) > maxBufferBytes {
		s.buf = nil
	}
	n, err := s.log.Write(frame)
	s.grownBytes += int64(n)
	if err != nil {
		return eris.Wrap(err, "write log")
	}
	return eris.Wrap(s.log.Sync(), "sync log")
}

// NeedsCompaction reports whether the log has grown so much since Open or Compact that it is to be compacted, if the state
// allows that.
func (s *Storer) NeedsCompaction() bool { return s.grownBytes >= maxGrowthBytes }

// encodeBatch encodes a batch as one frame into the space of buf. An empty batch gives a frame without a payload.
func encodeBatch(buf []byte, b Batch) ([]byte, error) {
	frame, err := appendBatch(beginFrame(buf), b)
	if err != nil {
		return nil, err
	}
	return endFrame(frame), nil
}

func appendBatch(p []byte, b Batch) ([]byte, error) {
	if b.HardState != nil {
		body := append(binary.AppendUvarint(nil, b.HardState.Term), b.HardState.Vote...)
		p = appendRecord(p, recordHardState, body)
	}
	for _, e := range b.Entries {
		p = append(p, recordEntry)
		p = binary.AppendUvarint(p, uint64(proto.Size(e)))
		var err error
		if p, err = (proto.MarshalOptions{UseCachedSize: true}).MarshalAppend(p, e); err != nil {
			return nil, eris.Wrap(err, "encode entry")
		}
	}
	if b.CommitIndex > 0 {
		p = appendRecord(p, recordCommit, binary.AppendUvarint(nil, b.CommitIndex))
	}
	return p, nil
}

func appendRecord(p []byte, kind byte, body []byte) []byte {
	p = append(p, kind)
	p = binary.AppendUvarint(p, uint64(len(body)))
	return append(p, body...)
}

func appendPair(p []byte, kind byte, a, b uint64) []byte {
	return appendRecord(p, kind, binary.AppendUvarint(binary.AppendUvarint(nil, a), b))
}

// Compact replaces the snapshot and the log by those of st. The snapshot is written first, so that a crash between the
// two writes loses nothing: Open then reconciles the old log with the new snapshot.
func (s *Storer) Compact(st *State) error {
	snapshot, err := proto.MarshalOptions{}.MarshalAppend(beginFrame(nil), st.Snapshot)
	if err != nil {
		return eris.Wrap(err, "encode snapshot")
	}
	if err := replaceFile(s.dir, snapshotFile, endFrame(snapshot)); err != nil {
		return err
	}
	if err := writeFile(s.dir, logFile, func(w io.Writer) error { return writeLog(w, st) }); err != nil {
		return err
	}
	f, err := os.OpenFile(filepath.Join(s.dir, logFile), os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return eris.Wrap(err, "open log")
	}
	_ = s.log.Close()
	s.log, s.grownBytes = f, 0
	return nil
}

// writeLog writes the log of st in several frames, so that it need not be encoded as a whole.
func writeLog(w io.Writer, st *State) error {
	buf := endFrame(appendPair(beginFrame(nil), recordBase, st.BaseIndex, st.BaseTerm))
	if _, err := w.Write(buf); err != nil {
		return err
	}
	// The commit index precedes the entries, so that a log which does not hold all of them counts as damaged.
	batches := []Batch{{HardState: &st.HardState, CommitIndex: st.CommitIndex}}
	for i := range st.Entries {
		batches = append(batches, Batch{Entries: st.Entries[i : i+1]})
	}
	for _, b := range batches {
		var err error
		if buf, err = encodeBatch(buf[:0], b); err != nil {
			return err
		}
		if _, err := w.Write(buf); err != nil {
			return err
		}
	}
	return nil
}

// Close closes the log file.
func (s *Storer) Close() error { return s.log.Close() }

// replaceFile replaces the content of a file atomically.
func replaceFile(dir, name string, content []byte) error {
	return writeFile(dir, name, func(w io.Writer) error {
		_, err := w.Write(content)
		return err
	})
}

// writeFile replaces a file atomically: it lets write fill a new file, syncs that and renames it over the old one.
func writeFile(dir, name string, write func(io.Writer) error) error {
	path := filepath.Join(dir, name)
	f, err := os.Create(path + ".new")
	if err != nil {
		return eris.Wrap(err, "create file")
	}
	w := bufio.NewWriter(f)
	err = errors.Join(write(w), w.Flush())
	if err := errors.Join(err, f.Sync(), f.Close()); err != nil {
		return eris.Wrapf(err, "write %s", name)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return eris.Wrap(err, "replace file")
	}
	return syncFolder(dir, (*os.File).Sync)
}

func syncFolder(dir string, sync func(*os.File) error) error {
	d, err := os.Open(dir)
	if err != nil {
		return eris.Wrap(err, "open folder")
	}
	return eris.Wrap(errors.Join(sync(d), d.Close()), "sync folder")
}

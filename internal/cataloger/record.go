package cataloger

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"clementineyard/wire"
)

const (
	// header begins each file. Its number grows with each incompatible change of the format.
	header = "clementineyard workers 1\n"
	// recordHeaderBytes is the size of a record's header: the length of the payload, and the checksum of the length and the
	// payload, as 4 bytes each in little-endian order.
	recordHeaderBytes = 8
	// maxRecordBytes bounds one record. A report takes 5 KB at most.
	maxRecordBytes = 16 << 10
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrDamaged means that the rest of a file could not be decoded.
var ErrDamaged = eris.New("directory of workers is damaged")

// Entry is a report of a worker and when the worker was last heard from.
type Entry struct {
	Report  *wire.WorkerReport
	HeardAt time.Time
}

// appendRecord appends an entry to b as a record. An entry that is too large is left out.
func appendRecord(b []byte, e Entry) ([]byte, error) {
	start := len(b)
	b = append(b, make([]byte, recordHeaderBytes)...)
	b, err := proto.MarshalOptions{}.MarshalAppend(b, &wire.DirectoryRecord{Report: e.Report, HeardUnixMillis: e.HeardAt.UnixMilli()})
	payload := len(b) - start - recordHeaderBytes
	if err != nil || payload > maxRecordBytes {
		return b[:start], eris.Errorf("worker %.128q: a report of %d bytes cannot be encoded: %v", e.Report.GetId(), payload, err)
	}
	record := b[start:]
	binary.LittleEndian.PutUint32(record, uint32(payload))
	binary.LittleEndian.PutUint32(record[4:], checksum(record))
	return b, nil
}

// checksum returns the checksum of a record's length and payload.
func checksum(record []byte) uint32 {
	return crc32.Update(crc32.Checksum(record[:4], castagnoli), castagnoli, record[recordHeaderBytes:])
}

// File is what a file holds: its entries, and its size up to the first damaged record.
type File struct {
	Entries []Entry
	Size    int
}

// Decode decodes a file up to the first damaged record, and returns ErrDamaged if there is one. A file of another format has
// no entries.
func Decode(content []byte) (f File, err error) {
	if len(content) == 0 {
		return f, nil
	}
	rest, ok := bytes.CutPrefix(content, []byte(header))
	if !ok {
		return f, eris.Wrap(ErrDamaged, "header")
	}
	for f.Size = len(header); len(rest) > 0; f.Size = len(content) - len(rest) {
		if len(rest) < recordHeaderBytes {
			return f, eris.Wrap(ErrDamaged, "record header")
		}
		n := int(binary.LittleEndian.Uint32(rest))
		if n > maxRecordBytes || len(rest) < recordHeaderBytes+n || checksum(rest[:recordHeaderBytes+n]) != binary.LittleEndian.Uint32(rest[4:]) {
			return f, eris.Wrap(ErrDamaged, "record")
		}
		r := &wire.DirectoryRecord{}
		if err := proto.Unmarshal(rest[recordHeaderBytes:recordHeaderBytes+n], r); err != nil || r.Report.GetId() == "" {
			return f, eris.Wrap(ErrDamaged, "payload")
		}
		f.Entries = append(f.Entries, Entry{Report: r.Report, HeardAt: time.UnixMilli(r.HeardUnixMillis)})
		rest = rest[recordHeaderBytes+n:]
	}
	return f, nil
}

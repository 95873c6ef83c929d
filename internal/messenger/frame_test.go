package messenger

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"runtime"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"clementineyard/wire"
)

// frame returns a frame whose header gives the length of the body plus extra.
func frame(body []byte, extra int) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body)+extra)), body...)
}

func batch(t testing.TB, keys ...string) []byte {
	t.Helper()
	b := &wire.Batch{}
	for _, k := range keys {
		b.Envelopes = append(b.Envelopes, &wire.Envelope{Id: 1, Body: &wire.Envelope_Lookup{Lookup: &wire.Lookup{Key: k}}})
	}
	out, err := proto.Marshal(b)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func readAll(b []byte) (n int, err error) {
	err = readFrames(bytes.NewReader(b), func(*wire.Envelope) error {
		n++
		return nil
	})
	return n, err
}

// countWholeFrames is the reference model of readFrames: it counts the messages of the valid frames at the start of in,
// and reports whether they make up all of it.
func countWholeFrames(in []byte) (n int, whole bool) {
	for len(in) > 0 {
		if len(in) < frameHeaderBytes {
			return n, false
		}
		size := int(binary.BigEndian.Uint32(in))
		in = in[frameHeaderBytes:]
		b := &wire.Batch{}
		if size > len(in) || proto.Unmarshal(in[:size], b) != nil {
			return n, false
		}
		n += len(b.Envelopes)
		in = in[size:]
	}
	return n, true
}

// FuzzReadFrames guards against a panic on a peer's input, against messages from a damaged frame, and against a truncated
// frame that is reported as a regular end of the stream.
func FuzzReadFrames(f *testing.F) {
	whole := frame(batch(f, "a", "b"), 0)
	f.Add(whole)
	f.Add(append(bytes.Clone(whole), whole[:len(whole)-1]...))
	f.Add(frame(batch(f, "a"), 1<<20))
	f.Add(frame(nil, maxFrameBytes+1))
	f.Add(frame([]byte("garbage"), 0))
	f.Fuzz(func(t *testing.T, in []byte) {
		got, err := readAll(in)
		want, whole := countWholeFrames(in)
		if got != want {
			t.Errorf("read %d messages, want %d", got, want)
		}
		if end := errors.Is(err, io.EOF); end != whole || err == nil {
			t.Errorf("error %v, want io.EOF: %t", err, whole)
		}
	})
}

// TestHeadAllocatesLittle guards against a header alone that reserves the memory of the largest frame, since frames of
// unauthenticated peers are read by the same code, and against waiting for a frame beyond the limit.
func TestHeadAllocatesLittle(t *testing.T) {
	const most = 4 << 20
	for _, extra := range []int{maxFrameBytes - 3, maxFrameBytes, 1<<32 - 4} {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, err := readAll(frame([]byte("abc"), extra))
		if err == nil {
			t.Errorf("a frame that lacks %d bytes gave no error", extra)
		} else if tooLong := strings.Contains(err.Error(), "exceeds the limit"); tooLong != (extra+3 > maxFrameBytes) {
			t.Errorf("a frame of %d bytes with a limit of %d: %v", extra+3, maxFrameBytes, err)
		}
		runtime.ReadMemStats(&after)
		if n := after.TotalAlloc - before.TotalAlloc; n > most {
			t.Errorf("a header with a length that is %d bytes too large allocated %d bytes", extra, n)
		}
	}
}

// TestLargeFrame guards against a large frame that is truncated or assembled wrongly.
func TestLargeFrame(t *testing.T) {
	key := string(bytes.Repeat([]byte("0123456789"), 300_000))
	var got string
	err := readFrames(bytes.NewReader(frame(batch(t, key), 0)), func(e *wire.Envelope) error {
		got = e.GetLookup().GetKey()
		return nil
	})
	if !errors.Is(err, io.EOF) || got != key {
		t.Errorf("error %v, key of %d bytes, want %d", err, len(got), len(key))
	}
}

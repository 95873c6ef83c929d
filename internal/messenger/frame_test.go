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

// frame returns a frame whose head gives another length than its body has, if extra is not 0.
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

// model counts the messages of the good frames, and reports whether the input ends after one.
func model(in []byte) (n int, whole bool) {
	for len(in) > 0 {
		if len(in) < lengthBytes {
			return n, false
		}
		size := int(binary.BigEndian.Uint32(in))
		in = in[lengthBytes:]
		b := &wire.Batch{}
		if size > len(in) || proto.Unmarshal(in[:size], b) != nil {
			return n, false
		}
		n += len(b.Envelopes)
		in = in[size:]
	}
	return n, true
}

// FuzzReadFrames guards against a panic on what a peer sends, messages out of a damaged frame, and an end of the stream
// that counts as one between frames although a frame is cut.
func FuzzReadFrames(f *testing.F) {
	whole := frame(batch(f, "a", "b"), 0)
	f.Add(whole)
	f.Add(append(bytes.Clone(whole), whole[:len(whole)-1]...))
	f.Add(frame(batch(f, "a"), 1<<20))
	f.Add(frame(nil, maxFrame+1))
	f.Add(frame([]byte("garbage"), 0))
	f.Fuzz(func(t *testing.T, in []byte) {
		got, err := readAll(in)
		want, whole := model(in)
		if got != want {
			t.Errorf("%d messages, want %d", got, want)
		}
		if end := errors.Is(err, io.EOF); end != whole || err == nil {
			t.Errorf("error %v, want the end of the stream: %t", err, whole)
		}
	})
}

// TestHeadAllocatesLittle guards against a few bytes of a stranger that reserve the memory of the largest frame, as the
// frames before the token's check are read by the same code, and against a frame beyond the limit that is waited for.
func TestHeadAllocatesLittle(t *testing.T) {
	const most = 4 << 20
	for _, extra := range []int{maxFrame - 3, maxFrame, 1<<32 - 4} {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, err := readAll(frame([]byte("abc"), extra))
		if err == nil {
			t.Errorf("a frame that lacks %d bytes was read", extra)
		} else if tooLong := strings.Contains(err.Error(), "exceeds the limit"); tooLong != (extra+3 > maxFrame) {
			t.Errorf("a frame of %d bytes at a limit of %d: %v", extra+3, maxFrame, err)
		}
		runtime.ReadMemStats(&after)
		if n := after.TotalAlloc - before.TotalAlloc; n > most {
			t.Errorf("a head that announces %d bytes more allocated %d bytes", extra, n)
		}
	}
}

// TestLargeFrame guards against a large frame that is cut or put together wrongly.
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

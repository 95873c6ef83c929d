package compressor

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/rotisserie/eris"
)

// Compress returns content in compressed form.
func Compress(content []byte) ([]byte, error) {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(content); err != nil {
		return nil, eris.Wrap(err, "compress")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "compress")
	}
	return b.Bytes(), nil
}

// Decompress returns the content that Compress was given. It returns an error for anything else, and for a content of more
// than limit bytes.
func Decompress(compressed []byte, limit int) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, eris.Wrap(err, "decompress")
	}
	content, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, eris.Wrap(err, "decompress")
	}
	if len(content) > limit {
		return nil, eris.Errorf("decompress: more than %d bytes", limit)
	}
	return content, nil
}

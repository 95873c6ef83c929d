package compressor_test

import (
	"bytes"
	"fmt"
	"testing"

	"clementineyard/internal/compressor"
)

func ExampleCompress() {
	content := bytes.Repeat([]byte(`{"name":"r-3hwrr6x","host":"nony24.example","timeout":"1500ms"},`), 50)
	compressed, err := compressor.Compress(content)
	if err != nil {
		fmt.Println(err)
		return
	}
	again, err := compressor.Decompress(compressed, len(content))
	fmt.Println(len(compressed) < len(content)/10, bytes.Equal(again, content), err)
	// Output: true true <nil>
}

// TestDecompressBounds guards against a message that takes all memory, and against a damaged one that passes as content.
func TestDecompressBounds(t *testing.T) {
	compressed, err := compressor.Compress(make([]byte, 10_000))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := compressor.Decompress(compressed, 9_999); err == nil {
		t.Error("a content above the limit was accepted")
	}
	for i := range compressed {
		damaged := bytes.Clone(compressed)
		damaged[i] ^= 0xff
		if content, err := compressor.Decompress(damaged, 10_000); err == nil && !bytes.Equal(content, make([]byte, 10_000)) {
			t.Errorf("byte %d damaged: another content was accepted", i)
		}
	}
	if _, err := compressor.Decompress(compressed[:len(compressed)-1], 10_000); err == nil {
		t.Error("a content that is cut short was accepted")
	}
}

package parser

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Duration is a time.Duration that is written as a JSON string with its unit, for example "250ms".
type Duration struct{ time.Duration }

// UnmarshalJSON decodes a duration with its unit; a number without a unit is an error.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return eris.Errorf("want a duration with its unit, such as \"250ms\", got %s", b)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return eris.Errorf("want a duration with its unit, such as \"250ms\", got %q", s)
	}
	d.Duration = v
	return nil
}

// MarshalJSON encodes the duration with its unit.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.String()) }

// Bytes is a size in bytes that is written as a JSON string with its unit, for example "2GiB".
type Bytes int64

// byteUnits is in the order of parsing: "B" comes last, because every other unit ends with it.
var byteUnits = []struct {
	suffix string
	factor int64
}{
	{"KiB", 1 << 10},
	{"MiB", 1 << 20},
	{"GiB", 1 << 30},
	{"TiB", 1 << 40},
	{"B", 1},
}

// UnmarshalJSON decodes a size with its unit; a number without a unit is an error.
func (n *Bytes) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return eris.Errorf("want a size with its unit, such as \"2GiB\", got %s", b)
	}
	for _, u := range byteUnits {
		digits, ok := strings.CutSuffix(s, u.suffix)
		if !ok {
			continue
		}
		v, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || v < 0 || v > (1<<62)/u.factor {
			break
		}
		*n = Bytes(v * u.factor)
		return nil
	}
	return eris.Errorf("want a size with its unit (B, KiB, MiB, GiB, TiB), got %q", s)
}

// MarshalJSON encodes the size in the largest unit that divides it without a remainder.
func (n Bytes) MarshalJSON() ([]byte, error) {
	text := "0B"
	for _, u := range byteUnits {
		if n != 0 && int64(n)%u.factor == 0 && u.factor > 1 {
			text = strconv.FormatInt(int64(n)/u.factor, 10) + u.suffix
		}
	}
	if text == "0B" && n != 0 {
		text = strconv.FormatInt(int64(n), 10) + "B"
	}
	return json.Marshal(text)
}

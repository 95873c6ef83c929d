package recorder

import (
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/rotisserie/eris"
)

const (
	keyPartCount   = 3
	minRandomBytes = 8
	maxKeyBytes    = 128
)

// Key identifies a submission: "failureDomain.unixMillis.random".
//
// The failure domain is the submission's home: only its owner accepts the submission. The issue time bounds how long a
// record has to be kept, because a key that is older than the retention period is refused anyway.
type Key struct {
	Home   string
	Issued time.Time
	Random string
}

// NewKey returns a new key with 16 random bytes, written as 32 hexadecimal digits.
func NewKey(home string, now time.Time) Key {
	var b [16]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err) // crypto/rand.Read never returns an error on supported systems.
	}
	return Key{Home: home, Issued: now, Random: hex.EncodeToString(b[:])}
}

// ParseKey parses a key of at most 128 bytes in UTF-8: a failure domain, an issue time in Unix milliseconds without leading
// zeros and at least 8 ASCII letters or digits. It returns an error for any other text.
func ParseKey(s string) (Key, error) {
	if len(s) > maxKeyBytes || !utf8.ValidString(s) {
		return Key{}, eris.Errorf("key is longer than %d bytes or not UTF-8", maxKeyBytes)
	}
	parts := strings.Split(s, ".")
	if len(parts) != keyPartCount {
		return Key{}, eris.New("key must read failureDomain.unixMillis.random")
	}
	ms, err := strconv.ParseInt(parts[1], 10, 64)
	if err != nil || ms <= 0 || strconv.FormatInt(ms, 10) != parts[1] {
		return Key{}, eris.New("key's second part must be the issue time in Unix milliseconds")
	}
	if parts[0] == "" || len(parts[2]) < minRandomBytes || !isAlphanumeric(parts[2]) {
		return Key{}, eris.Errorf("key's random part must hold at least %d letters or digits", minRandomBytes)
	}
	return Key{Home: parts[0], Issued: time.UnixMilli(ms), Random: parts[2]}, nil
}

// String returns the text from which ParseKey returns the same key.
func (k Key) String() string {
	return k.Home + "." + strconv.FormatInt(k.Issued.UnixMilli(), 10) + "." + k.Random
}

func isAlphanumeric(s string) bool {
	for _, c := range []byte(s) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') {
			return false
		}
	}
	return true
}

package parser

import (
	"encoding/json"
	"os"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"
)

// LoadSettings reads and checks the settings file at path.
func LoadSettings(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	s := &Settings{}
	if err := decode(b, s); err != nil {
		return nil, eris.Wrapf(err, "%s", path)
	}
	s.setDefaults()
	return s, nil
}

// ParseTaskFile reads and checks one task file; name is used in errors.
func ParseTaskFile(name string, b []byte) (*TaskFile, error) {
	f := &TaskFile{}
	if err := decode(b, f); err != nil {
		return nil, eris.Wrapf(err, "%s", name)
	}
	return f, nil
}

func decode(b []byte, v any) error {
	std, err := hujson.Standardize(b)
	if err != nil {
		return eris.Wrap(err, "parse")
	}
	if err := json.Unmarshal(std, v); err != nil {
		return eris.Wrap(err, "decode")
	}
	return nil
}

package main

import (
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"

	"clementineyard/internal/requester"
)

// maxFolders bounds the folders on one command line, because flaggy accepts only declared positional values.
const maxFolders = 16

// operatorFlags holds the flags of commands that call an operators' listener.
type operatorFlags struct {
	entry, tokenFile string
	json             bool
}

func (c *operatorFlags) register(s *flaggy.Subcommand) {
	s.String(&c.entry, "e", "entry", "IP:port of an entry VM's operators' listener.")
	s.String(&c.tokenFile, "t", "token", "File with the operators' token; not needed when the listener asks for none.")
	s.Bool(&c.json, "j", "json", "Print JSON.")
}

// newRequester returns a requester for the entry VM and token that the flags name.
func (c *operatorFlags) newRequester() (*requester.Requester, error) {
	if c.entry == "" {
		return nil, eris.New("--entry must be given")
	}
	token := ""
	if c.tokenFile != "" {
		b, err := os.ReadFile(c.tokenFile)
		if err != nil {
			return nil, eris.Wrap(err, "read token file")
		}
		token = strings.TrimSpace(string(b))
	}
	return requester.New(requester.Config{Address: c.entry, Token: token, Sleep: time.Sleep}), nil
}

// folderArgs holds the positional values DIR... of a command; values that are not given are empty.
type folderArgs [maxFolders]string

func (f *folderArgs) register(s *flaggy.Subcommand, required bool) {
	for i := range f {
		s.AddPositionalValue(&f[i], "DIR", i+1, required && i == 0, "Folder with task files; up to 16 can be given.")
		s.PositionalFlags[i].Hidden = i > 0
	}
}

// paths returns the folders that were given.
func (f *folderArgs) paths() []string {
	var out []string
	for _, d := range f {
		if d != "" {
			out = append(out, d)
		}
	}
	return out
}

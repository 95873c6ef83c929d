package main

import (
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"

	"clementineyard/internal/requester"
)

// maxFolders bounds the folders of one call, because flaggy knows only positions that are declared.
const maxFolders = 16

// connection holds the flags of commands that talk to an operators' listener.
type connection struct {
	entry, tokenFile string
	json             bool
}

func (c *connection) attach(s *flaggy.Subcommand) {
	s.String(&c.entry, "e", "entry", "IP:port of an entry VM's operators' listener.")
	s.String(&c.tokenFile, "t", "token", "File with the operators' token; not needed when the listener asks for none.")
	s.Bool(&c.json, "j", "json", "Print JSON.")
}

func (c *connection) open() (*requester.Requester, error) {
	if c.entry == "" {
		return nil, eris.New("--entry must be given")
	}
	token := ""
	if c.tokenFile != "" {
		b, err := os.ReadFile(c.tokenFile)
		if err != nil {
			return nil, eris.Wrap(err, "read token")
		}
		token = strings.TrimSpace(string(b))
	}
	return requester.New(requester.Config{Entry: c.entry, Token: token, Sleep: time.Sleep}), nil
}

// folders holds the positional values DIR...
type folders [maxFolders]string

func (f *folders) attach(s *flaggy.Subcommand, required bool) {
	for i := range f {
		s.AddPositionalValue(&f[i], "DIR", i+1, required && i == 0, "Folder with task files; up to 16 can be given.")
		s.PositionalFlags[i].Hidden = i > 0
	}
}

func (f *folders) given() []string {
	var out []string
	for _, d := range f {
		if d != "" {
			out = append(out, d)
		}
	}
	return out
}

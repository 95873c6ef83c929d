package publisher

import (
	"io/fs"
	"os"
	"path/filepath"
	"slices"

	"github.com/rotisserie/eris"

	"clementineyard/internal/parser"
)

const taskFileSuffix = ".json"

// Collect reads every *.json file below the folders and checks the files together. Each must be a task file: a file
// that is passed over in silence would look published. Faults of the files are returned as parser.Errors.
func Collect(folders []string) ([]*parser.TaskFile, error) {
	var sources []parser.Source
	seen := map[string]bool{}
	for _, folder := range folders {
		paths, err := find(folder)
		if err != nil {
			return nil, err
		}
		for _, p := range paths {
			if seen[p] {
				continue
			}
			seen[p] = true
			b, err := os.ReadFile(p)
			if err != nil {
				return nil, eris.Wrap(err, "read task file")
			}
			sources = append(sources, parser.Source{Name: p, Content: b})
		}
	}
	return parser.ParseTaskFiles(sources)
}

// find lists the task files below one folder in lexical order.
func find(folder string) ([]string, error) {
	var out []string
	// The trailing separator makes WalkDir enter a folder that is given as a symbolic link.
	root := filepath.Clean(folder) + string(filepath.Separator)
	err := filepath.WalkDir(root, func(path string, e fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if !e.IsDir() && filepath.Ext(path) == taskFileSuffix {
			out = append(out, filepath.Clean(path))
		}
		return nil
	})
	if err != nil {
		return nil, eris.Wrapf(err, "collect task files of %s", folder)
	}
	if len(out) == 0 {
		return nil, eris.Errorf("no *%s files below %s", taskFileSuffix, folder)
	}
	slices.Sort(out)
	return out, nil
}

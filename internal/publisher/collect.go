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

// Collect reads every *.json file below the folders and checks the files together. Each of them must be a task file,
// because a file that is silently skipped would look published. If any file is invalid, the error is a parser.Errors.
func Collect(folders []string) ([]*parser.TaskFile, error) {
	var sources []parser.Source
	seen := map[string]bool{}
	for _, folder := range folders {
		paths, err := findTaskFiles(folder)
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

// findTaskFiles returns the paths of the *.json files below one folder in lexical order. No files are an error.
func findTaskFiles(folder string) ([]string, error) {
	var paths []string
	// With a trailing separator, WalkDir follows a root that is a symbolic link.
	root := filepath.Clean(folder) + string(filepath.Separator)
	err := filepath.WalkDir(root, func(path string, e fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if !e.IsDir() && filepath.Ext(path) == taskFileSuffix {
			paths = append(paths, filepath.Clean(path))
		}
		return nil
	})
	if err != nil {
		return nil, eris.Wrapf(err, "collect task files of %s", folder)
	}
	if len(paths) == 0 {
		return nil, eris.Errorf("no *%s files below %s", taskFileSuffix, folder)
	}
	slices.Sort(paths)
	return paths, nil
}

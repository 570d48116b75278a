package contractfile

import (
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/finding"
)

// extensions are those of the files that ReadDir reads.
var extensions = []string{".yaml", ".yml"}

// maxFile limits one file, in bytes. It leaves room for the encoding of an item
// in the platform's table.
const maxFile = 256 << 10

// ReadDir reads all documents below a directory, or the one file that path
// names, and checks each alone. Hidden directories are passed over. The error
// is not nil only when the path itself cannot be read.
func ReadDir(path string) ([]*File, finding.List, error) {
	var files []*File
	var findings finding.List
	err := filepath.WalkDir(path, func(name string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && name != path && strings.HasPrefix(entry.Name(), "."):
			return filepath.SkipDir
		case entry.IsDir() || name != path && !slices.Contains(extensions, filepath.Ext(name)):
			return nil
		}
		data, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		f, faults := Parse(name, data)
		findings = append(findings, faults...)
		if f != nil {
			files = append(files, f)
		}
		return nil
	})
	findings.Sort()
	return files, findings, errors.Wrapf(err, "read %s", path)
}

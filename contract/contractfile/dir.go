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

// fileExtensions are the extensions of the files that ReadDir reads.
var fileExtensions = []string{".yaml", ".yml"}

// maxFileBytes limits the size of one document, so that the document fits into
// one row of the platform's table after encoding.
const maxFileBytes = 256 << 10

// ReadDir reads all documents in a directory and its subdirectories, or a single
// file if path names one, and checks each document separately. Hidden
// directories are skipped. The error is non-nil only when a file or directory
// cannot be read.
func ReadDir(path string) ([]*File, finding.List, error) {
	var files []*File
	var findings finding.List
	err := filepath.WalkDir(path, func(name string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && name != path && strings.HasPrefix(entry.Name(), "."):
			return filepath.SkipDir
		case entry.IsDir() || name != path && !slices.Contains(fileExtensions, filepath.Ext(name)):
			return nil
		}
		data, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		f, found := Parse(name, data)
		findings = append(findings, found...)
		if f != nil {
			files = append(files, f)
		}
		return nil
	})
	findings.Sort()
	return files, findings, errors.Wrapf(err, "read %s", path)
}

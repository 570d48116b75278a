package daemon

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/finding/yamlfile"
)

// ReadSettings reads and checks a settings file and the credentials that it
// names; relative names start at the settings file's directory. The error is a
// finding.List with all faults when the file could be read.
func ReadSettings(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	doc, findings := yamlfile.Parse(path, data)
	if doc == nil {
		return Settings{}, findings
	}
	var s Settings
	places, findings := doc.Decode(&s, yamlfile.Options{})
	check := settingsCheck{settings: &s, places: places, dir: filepath.Dir(path)}
	check.run()
	findings = append(findings, check.findings...)
	findings.Sort()
	return s, findings.Err()
}

// readToken reads a credential from a file, without the white space around it.
func readToken(dir, path string) (string, error) {
	if !filepath.IsAbs(path) {
		path = filepath.Join(dir, path)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return "", errors.Wrap(err, "read token")
	}
	token := strings.TrimSpace(string(data))
	if token == "" {
		return "", errors.Errorf("token file %s is empty", path)
	}
	return token, nil
}

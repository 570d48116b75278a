package daemon

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/credential"
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

// readToken reads the current token of a file.
func readToken(path string) (string, error) {
	tokens, err := credential.WatchTokens(path)
	if err != nil {
		return "", err
	}
	return tokens.Load().Current(), nil
}

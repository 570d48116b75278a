package daemon

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/credential"
	"github.com/crocushinge/crocushinge/finding/yamlfile"
)

// ReadSettings reads and validates a settings file and the credential files named in
// it. Relative paths are resolved against the directory of the settings file. When
// the file could be read, the error is a finding.List with all findings.
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
	positions, findings := doc.Decode(&s, yamlfile.Options{})
	checker := settingsChecker{settings: &s, positions: positions, dir: filepath.Dir(path)}
	checker.check()
	findings = append(findings, checker.findings...)
	findings.Sort()
	return s, findings.Err()
}

// readToken returns the current token of a token file, which is its first line.
func readToken(path string) (string, error) {
	tokens, err := credential.LoadTokens(path)
	if err != nil {
		return "", err
	}
	return tokens.Load().Current(), nil
}

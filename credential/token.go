package credential

import (
	"crypto/subtle"
	"strings"

	"github.com/pkg/errors"
)

// Tokens are the tokens that authenticate one sender, in the order of their file.
// Only the first is sent, but all are accepted, so that a token can be rotated
// while some processes know only the old one or the new one.
type Tokens []string

// parseTokens returns the non-empty lines, trimmed of white space.
func parseTokens(data []byte) Tokens {
	var tokens Tokens
	for line := range strings.Lines(string(data)) {
		if token := strings.TrimSpace(line); token != "" {
			tokens = append(tokens, token)
		}
	}
	return tokens
}

// Current returns the token to send, or "" if there is none.
func (t Tokens) Current() string {
	if len(t) == 0 {
		return ""
	}
	return t[0]
}

// Accepts reports whether a token is one of t. The time that it takes does not
// depend on the contents of the tokens, so that it reveals nothing about them.
func (t Tokens) Accepts(token string) bool {
	found := 0
	for _, accepted := range t {
		found |= subtle.ConstantTimeCompare([]byte(token), []byte(accepted))
	}
	return found == 1
}

// LoadTokens loads the tokens of a file. A file without tokens is an error.
func LoadTokens(file string) (*Reloadable[Tokens], error) {
	return newReloadableFile(file, "read token", func(data []byte) (Tokens, error) {
		tokens := parseTokens(data)
		if len(tokens) == 0 {
			return nil, errors.Errorf("token file %s is empty", file)
		}
		return tokens, nil
	})
}

package credential

import (
	"crypto/subtle"
	"strings"

	"github.com/pkg/errors"
)

// Tokens are the tokens that prove one sender, in the order of their file. The
// first is sent. All are accepted, so that a token can be replaced while some
// processes know only the old one or the new one.
type Tokens []string

// parseTokens reads a token from each line that is not empty, without the white
// space around it.
func parseTokens(data []byte) Tokens {
	var tokens Tokens
	for line := range strings.Lines(string(data)) {
		if token := strings.TrimSpace(line); token != "" {
			tokens = append(tokens, token)
		}
	}
	return tokens
}

// Current returns the token to send.
func (t Tokens) Current() string {
	if len(t) == 0 {
		return ""
	}
	return t[0]
}

// Accepts reports whether a token is one of these, in a time that does not
// depend on what the tokens hold.
func (t Tokens) Accepts(token string) bool {
	found := 0
	for _, own := range t {
		found |= subtle.ConstantTimeCompare([]byte(token), []byte(own))
	}
	return found == 1
}

// WatchTokens reads the tokens of a file. It fails when there is none.
func WatchTokens(file string) (*Watched[Tokens], error) {
	return watchFile(file, "read token", func(data []byte) (Tokens, error) {
		tokens := parseTokens(data)
		if len(tokens) == 0 {
			return nil, errors.Errorf("token file %s is empty", file)
		}
		return tokens, nil
	})
}

package daemon

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/kataras/iris/v12"
	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/contract/contractfile"
	"github.com/crocushinge/crocushinge/credential"
)

// defaultOperatorName is the operator whose token is Settings.OperatorToken.
const defaultOperatorName = "operator"

// operator is a person or program that may change the configuration.
type operator struct {
	name string
	// digest is the SHA-256 of the operator's token. It is used only when there is no
	// token file.
	digest [sha256.Size]byte
	// file is the path of the token file; empty when there is no file.
	file string
	// tokens holds the tokens read from the file; nil when there is no file.
	tokens *credential.Reloadable[credential.Tokens]
}

// accepts reports whether a token belongs to the operator.
func (o operator) accepts(token string) bool {
	if o.tokens != nil {
		return o.tokens.Load().Accepts(token)
	}
	digest := sha256.Sum256([]byte(token))
	return subtle.ConstantTimeCompare(digest[:], o.digest[:]) == 1
}

// operators returns the operators declared in the settings.
func (s *Settings) operators() []operator {
	var out []operator
	if s.OperatorToken != "" {
		out = append(out, operator{name: defaultOperatorName, digest: sha256.Sum256([]byte(s.OperatorToken))})
	}
	for _, o := range s.Operators {
		if digest, err := contractfile.ParseKeyHash(o.TokenSHA256); err == nil {
			out = append(out, operator{name: o.Name, digest: digest, file: o.TokenFile})
		}
	}
	return out
}

// bearerPrefix precedes the token in the Authorization header (RFC 6750).
const bearerPrefix = "Bearer "

var (
	errNoOperatorToken    = errors.New("missing operator token; give --token-file or set CROCUSHINGE_TOKEN_FILE")
	errWrongOperatorToken = errors.New("wrong operator token")
)

// operatorContextKey is the key of the request context value that holds the
// operator's name.
const operatorContextKey = "operator"

// requireOperator rejects requests without a valid operator token.
func (d *Daemon) requireOperator(ctx iris.Context) {
	token, ok := strings.CutPrefix(ctx.GetHeader(authorizationHeader), bearerPrefix)
	if !ok || token == "" {
		d.refusedOperatorRequests.Add(1)
		respondError(ctx, http.StatusUnauthorized, errNoOperatorToken)
		return
	}
	name, ok := d.credentials.operatorByToken(token)
	if !ok {
		d.refusedOperatorRequests.Add(1)
		respondError(ctx, http.StatusUnauthorized, errWrongOperatorToken)
		return
	}
	ctx.Values().Set(operatorContextKey, name)
	ctx.Next()
}

// operatorName returns the name of the operator that sent a request.
func operatorName(ctx iris.Context) string { return ctx.Values().GetString(operatorContextKey) }

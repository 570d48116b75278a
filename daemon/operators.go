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

// firstOperator is the name of the operator of Settings.OperatorToken.
const firstOperator = "operator"

// operator is one who may change the configuration.
type operator struct {
	name   string
	digest [sha256.Size]byte
	// file names the file of the operator's tokens, or is empty.
	file string
	// tokens are those of the file; nil when there is none.
	tokens *credential.Watched[credential.Tokens]
}

// has reports whether a token is the operator's.
func (o operator) has(token string) bool {
	if o.tokens != nil {
		return o.tokens.Load().Accepts(token)
	}
	digest := sha256.Sum256([]byte(token))
	return subtle.ConstantTimeCompare(digest[:], o.digest[:]) == 1
}

// operators returns the operators of the settings.
func (s *Settings) operators() []operator {
	var out []operator
	if s.OperatorToken != "" {
		out = append(out, operator{name: firstOperator, digest: sha256.Sum256([]byte(s.OperatorToken))})
	}
	for _, o := range s.Operators {
		if digest, err := contractfile.ParseKeyHash(o.TokenSHA256); err == nil {
			out = append(out, operator{name: o.Name, digest: digest, file: o.TokenFile})
		}
	}
	return out
}

// bearer is the scheme of the authorization header (RFC 6750).
const bearer = "Bearer "

var (
	errNoOperatorToken    = errors.New("missing operator token; give --token-file or set CROCUSHINGE_TOKEN_FILE")
	errWrongOperatorToken = errors.New("wrong operator token")
)

// operatorKey is where a request's operator is kept in its context.
const operatorKey = "operator"

// requireOperator refuses requests without the token of an operator.
func (d *Daemon) requireOperator(ctx iris.Context) {
	token, ok := strings.CutPrefix(ctx.GetHeader(authorizationHeader), bearer)
	if !ok || token == "" {
		d.refusedOperators.Add(1)
		fail(ctx, http.StatusUnauthorized, errNoOperatorToken)
		return
	}
	name, ok := d.credentials.operatorWith(token)
	if !ok {
		d.refusedOperators.Add(1)
		fail(ctx, http.StatusUnauthorized, errWrongOperatorToken)
		return
	}
	ctx.Values().Set(operatorKey, name)
	ctx.Next()
}

// operatorOf returns the name of the operator who sent a request.
func operatorOf(ctx iris.Context) string { return ctx.Values().GetString(operatorKey) }

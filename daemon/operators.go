package daemon

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/kataras/iris/v12"
	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/contract/contractfile"
)

// firstOperator is the name of the operator of Settings.OperatorToken.
const firstOperator = "operator"

// operator is one who may change the configuration.
type operator struct {
	name   string
	digest [sha256.Size]byte
}

// operators returns the operators of the settings.
func (s *Settings) operators() []operator {
	var out []operator
	if s.OperatorToken != "" {
		out = append(out, operator{name: firstOperator, digest: sha256.Sum256([]byte(s.OperatorToken))})
	}
	for _, o := range s.Operators {
		if digest, err := contractfile.ParseKeyHash(o.TokenSHA256); err == nil {
			out = append(out, operator{name: o.Name, digest: digest})
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
	digest := sha256.Sum256([]byte(token))
	for _, o := range d.operators {
		if subtle.ConstantTimeCompare(digest[:], o.digest[:]) == 1 {
			ctx.Values().Set(operatorKey, o.name)
			ctx.Next()
			return
		}
	}
	d.refusedOperators.Add(1)
	fail(ctx, http.StatusUnauthorized, errWrongOperatorToken)
}

// operatorOf returns the name of the operator who sent a request.
func operatorOf(ctx iris.Context) string { return ctx.Values().GetString(operatorKey) }

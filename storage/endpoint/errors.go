package endpoint

import (
	"net/http"
	"strings"

	awshttp "github.com/aws/aws-sdk-go-v2/aws/transport/http"
	"github.com/aws/smithy-go"
	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/storage"
)

// throttleCodes are the answers by which a service rejects one call too many.
var throttleCodes = map[string]bool{
	"ProvisionedThroughputExceededException": true,
	"RequestLimitExceeded":                   true,
	"ThrottlingException":                    true,
	"SlowDown":                               true,
}

// unknownCode is what the SDK reports for an answer that it cannot parse.
const unknownCode = "UnknownError"

// ReadError maps the failure of a read.
func ReadError(err error) error {
	if isValidation(err) {
		return errors.Wrap(storage.ErrInvalid, err.Error())
	}
	return errors.Wrap(storage.ErrUnavailable, err.Error())
}

// WriteError maps the failure of a write. It is ErrUnavailable only when the
// write certainly had no effect: nothing was sent, or the service rejected it.
func WriteError(err error, sent *Sent) error {
	switch {
	case !sent.Maybe():
		return errors.Wrap(storage.ErrUnavailable, err.Error())
	case isValidation(err):
		return errors.Wrap(storage.ErrInvalid, err.Error())
	case rejected(err):
		return errors.Wrap(storage.ErrUnavailable, err.Error())
	default:
		return errors.Wrap(storage.ErrAmbiguous, err.Error())
	}
}

func isValidation(err error) bool {
	var api smithy.APIError
	return errors.As(err, &api) && (api.ErrorCode() == "ValidationException" || api.ErrorCode() == "EntityTooLarge")
}

// rejected reports whether the service itself answered that it did not carry
// the call out. A server error says nothing of the effect, nor does an answer
// without the service's error code, which may come from something in between.
func rejected(err error) bool {
	var api smithy.APIError
	var response *awshttp.ResponseError
	if !errors.As(err, &api) || !errors.As(err, &response) {
		return false
	}
	if throttleCodes[api.ErrorCode()] {
		return true
	}
	status := response.HTTPStatusCode()
	clientError := status >= http.StatusBadRequest && status < http.StatusInternalServerError
	return clientError && status != http.StatusRequestTimeout && isServiceCode(api.ErrorCode(), status)
}

// isServiceCode reports whether an error code is the service's own, rather
// than one that the SDK made up or took from the status.
func isServiceCode(code string, status int) bool {
	fromStatus := strings.ReplaceAll(http.StatusText(status), " ", "")
	return code != "" && code != unknownCode && code != fromStatus
}

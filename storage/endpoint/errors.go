package endpoint

import (
	"net/http"
	"strings"

	awshttp "github.com/aws/aws-sdk-go-v2/aws/transport/http"
	"github.com/aws/smithy-go"
	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/storage"
)

// throttleCodes are the error codes of calls that a service rejected because of
// too many calls.
var throttleCodes = map[string]bool{
	"ProvisionedThroughputExceededException": true,
	"RequestLimitExceeded":                   true,
	"ThrottlingException":                    true,
	"SlowDown":                               true,
}

// unknownCode is the code that the SDK reports for an error response that it
// cannot parse.
const unknownCode = "UnknownError"

// ReadError maps the error of a read to ErrInvalid or ErrUnavailable.
func ReadError(err error) error {
	if isInvalidCall(err) {
		return errors.Wrap(storage.ErrInvalid, err.Error())
	}
	return errors.Wrap(storage.ErrUnavailable, err.Error())
}

// WriteError maps the error of a write. The result is ErrUnavailable or
// ErrInvalid only if the write cannot have had an effect, because nothing was
// sent or the service rejected it. Otherwise it is ErrAmbiguous.
func WriteError(err error, sent *SendTracker) error {
	switch {
	case !sent.MayHaveSent():
		return errors.Wrap(storage.ErrUnavailable, err.Error())
	case isInvalidCall(err):
		return errors.Wrap(storage.ErrInvalid, err.Error())
	case rejectedByService(err):
		return errors.Wrap(storage.ErrUnavailable, err.Error())
	default:
		return errors.Wrap(storage.ErrAmbiguous, err.Error())
	}
}

// isInvalidCall reports whether the service rejected the call as invalid.
func isInvalidCall(err error) bool {
	var apiErr smithy.APIError
	return errors.As(err, &apiErr) && (apiErr.ErrorCode() == "ValidationException" || apiErr.ErrorCode() == "EntityTooLarge")
}

// rejectedByService reports whether the service itself responded that it did not
// carry out the call. It returns false when the call may have taken effect: after a
// server error, and after a response without an error code of the service, which may
// come from a proxy.
func rejectedByService(err error) bool {
	var apiErr smithy.APIError
	var responseErr *awshttp.ResponseError
	if !errors.As(err, &apiErr) || !errors.As(err, &responseErr) {
		return false
	}
	if throttleCodes[apiErr.ErrorCode()] {
		return true
	}
	status := responseErr.HTTPStatusCode()
	clientError := status >= http.StatusBadRequest && status < http.StatusInternalServerError
	return clientError && status != http.StatusRequestTimeout && isServiceCode(apiErr.ErrorCode(), status)
}

// isServiceCode reports whether an error code was sent by the service, rather
// than invented by the SDK or derived from the HTTP status.
func isServiceCode(code string, status int) bool {
	fromStatus := strings.ReplaceAll(http.StatusText(status), " ", "")
	return code != "" && code != unknownCode && code != fromStatus
}

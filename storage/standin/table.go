package standin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/crocushinge/crocushinge/storage"
	"github.com/crocushinge/crocushinge/storage/fault"
)

// Constants of the DynamoDB JSON protocol.
const (
	targetHeader         = "X-Amz-Target"
	targetPrefix         = "DynamoDB_20120810."
	tableContentType     = "application/x-amz-json-1.0"
	errorNamespace       = "com.amazonaws.dynamodb.v20120810#"
	maxTableRequestBytes = 16 << 20
)

// tableError is an error response of the DynamoDB API.
type tableError struct {
	Type    string               `json:"__type"`
	Message string               `json:"message"`
	Reasons []cancellationReason `json:"CancellationReasons,omitempty"`
}

// cancellationReason says what one item contributed to the cancellation of a
// transaction. Its code is "None" if the item was not a cause.
type cancellationReason struct {
	Code    string
	Message string `json:",omitempty"`
}

func newTableError(code, message string) *tableError {
	return &tableError{Type: errorNamespace + code, Message: message}
}

func validationError(message string) *tableError {
	return newTableError("ValidationException", message)
}

// serveTable handles one call of the DynamoDB API.
func (s *Standin) serveTable(w http.ResponseWriter, r *http.Request) {
	operation := strings.TrimPrefix(r.Header.Get(targetHeader), targetPrefix)
	call := fault.Read
	if operation == "PutItem" || operation == "TransactWriteItems" {
		call = fault.Write
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxTableRequestBytes))
	if err != nil {
		abortConnection()
	}
	handling := applyFaults(&s.Table, r, call)
	if handling == rejectThrottled {
		writeTableResponse(w, nil, newTableError("ProvisionedThroughputExceededException", "too many calls"))
		return
	}
	if !s.hasAccessKey(r) {
		writeTableResponse(w, nil, newTableError("UnrecognizedClientException", "the security token is invalid"))
		return
	}
	out, failure := s.callTable(operation, body)
	if handling == proceedWithoutResponse {
		abortConnection()
	}
	writeTableResponse(w, out, failure)
}

func writeTableResponse(w http.ResponseWriter, out any, failure *tableError) {
	w.Header().Set("Content-Type", tableContentType)
	if failure != nil {
		w.WriteHeader(http.StatusBadRequest)
		out = failure
	}
	_ = json.NewEncoder(w).Encode(out)
}

// callTable decodes and carries out one operation.
func (s *Standin) callTable(operation string, body []byte) (any, *tableError) {
	switch operation {
	case "GetItem":
		return decodeAndCall(body, s.getItem)
	case "Query":
		return decodeAndCall(body, s.query)
	case "PutItem":
		return decodeAndCall(body, s.putItem)
	case "TransactWriteItems":
		return decodeAndCall(body, s.transactWriteItems)
	default:
		return nil, newTableError("UnknownOperationException", operation)
	}
}

// decodeAndCall decodes the input of an operation and carries it out.
func decodeAndCall[In any](body []byte, call func(In) (any, *tableError)) (any, *tableError) {
	var in In
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, newTableError("SerializationException", err.Error())
	}
	return call(in)
}

// checkTableName fails unless name is the name of the table.
func (s *Standin) checkTableName(name string) *tableError {
	if name != s.cfg.Table {
		return newTableError("ResourceNotFoundException", "no such table: "+name)
	}
	return nil
}

type getItemInput struct {
	TableName      string
	Key            attributes
	ConsistentRead bool
}

type getItemOutput struct {
	Item attributes `json:",omitempty"`
}

func (s *Standin) getItem(in getItemInput) (any, *tableError) {
	if failure := s.checkTableName(in.TableName); failure != nil {
		return nil, failure
	}
	if !in.ConsistentRead {
		return nil, validationError("this stand-in supports consistent reads only")
	}
	key, failure := in.Key.key()
	if failure != nil {
		return nil, failure
	}
	item, err := s.store.Get(backgroundCtx, key)
	if errors.Is(err, storage.ErrNotFound) {
		return getItemOutput{}, nil
	}
	if err != nil {
		return nil, validationError(err.Error())
	}
	return getItemOutput{Item: itemAttributes(item)}, nil
}

type queryInput struct {
	TableName                 string
	ConsistentRead            bool
	KeyConditionExpression    string
	ExpressionAttributeValues attributes
	ExclusiveStartKey         attributes
	Limit                     int
}

type queryOutput struct {
	Items            []attributes
	Count            int
	LastEvaluatedKey attributes `json:",omitempty"`
}

func (s *Standin) query(in queryInput) (any, *tableError) {
	if failure := s.checkTableName(in.TableName); failure != nil {
		return nil, failure
	}
	after, failure := in.startAfter()
	if failure != nil {
		return nil, failure
	}
	pageSize := s.cfg.PageSize
	if in.Limit > 0 {
		pageSize = min(in.Limit, pageSize)
	}
	partition := in.ExpressionAttributeValues[":pk"].stringValue()
	items, err := s.store.Query(backgroundCtx, partition, after, pageSize)
	if err != nil {
		return nil, validationError(err.Error())
	}
	out := queryOutput{Items: []attributes{}, Count: len(items)}
	for _, item := range items {
		out.Items = append(out.Items, itemAttributes(item))
	}
	// Like the service, return a last key whenever the page is full, even if no
	// items follow.
	if len(items) == pageSize {
		out.LastEvaluatedKey = keyAttributes(items[len(items)-1].Key)
	}
	return out, nil
}

// startAfter returns the sort key after which the page starts.
func (in queryInput) startAfter() (string, *tableError) {
	if !in.ConsistentRead {
		return "", validationError("this stand-in supports consistent reads only")
	}
	after := ""
	switch in.KeyConditionExpression {
	case "pk = :pk":
	case "pk = :pk AND sk > :after":
		after = in.ExpressionAttributeValues[":after"].stringValue()
		if after == "" {
			return "", validationError("a key attribute cannot be an empty string")
		}
	default:
		return "", validationError("key condition not supported by this stand-in: " + in.KeyConditionExpression)
	}
	if in.ExclusiveStartKey != nil {
		after = max(after, in.ExclusiveStartKey["sk"].stringValue())
	}
	return after, nil
}

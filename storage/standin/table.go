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

// Parts of the DynamoDB JSON protocol.
const (
	targetHeader     = "X-Amz-Target"
	targetPrefix     = "DynamoDB_20120810."
	tableContentType = "application/x-amz-json-1.0"
	errorNamespace   = "com.amazonaws.dynamodb.v20120810#"
	maxTableRequest  = 16 << 20
)

// tableError is an error of the DynamoDB API.
type tableError struct {
	Type    string   `json:"__type"`
	Message string   `json:"message"`
	Reasons []reason `json:"CancellationReasons,omitempty"`
}

// reason tells why one item canceled a transaction.
type reason struct {
	Code    string
	Message string `json:",omitempty"`
}

func newTableError(name, message string) *tableError {
	return &tableError{Type: errorNamespace + name, Message: message}
}

func invalid(message string) *tableError { return newTableError("ValidationException", message) }

// serveTable answers one call of the DynamoDB API.
func (s *Standin) serveTable(w http.ResponseWriter, r *http.Request) {
	operation := strings.TrimPrefix(r.Header.Get(targetHeader), targetPrefix)
	call := fault.Read
	if operation == "PutItem" || operation == "TransactWriteItems" {
		call = fault.Write
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxTableRequest))
	if err != nil {
		loseAnswer()
	}
	met := meet(&s.Table, r, call)
	if met == rejectThrottled {
		answerTable(w, nil, newTableError("ProvisionedThroughputExceededException", "too many calls"))
		return
	}
	if !s.signed(r) {
		answerTable(w, nil, newTableError("UnrecognizedClientException", "the security token is invalid"))
		return
	}
	out, failure := s.tableCall(operation, body)
	if met == proceedUnanswered {
		loseAnswer()
	}
	answerTable(w, out, failure)
}

func answerTable(w http.ResponseWriter, out any, failure *tableError) {
	w.Header().Set("Content-Type", tableContentType)
	if failure != nil {
		w.WriteHeader(http.StatusBadRequest)
		out = failure
	}
	_ = json.NewEncoder(w).Encode(out)
}

func (s *Standin) tableCall(operation string, body []byte) (any, *tableError) {
	switch operation {
	case "GetItem":
		return decodeAnd(body, s.getItem)
	case "Query":
		return decodeAnd(body, s.query)
	case "PutItem":
		return decodeAnd(body, s.putItem)
	case "TransactWriteItems":
		return decodeAnd(body, s.transactWriteItems)
	default:
		return nil, newTableError("UnknownOperationException", operation)
	}
}

func decodeAnd[In any](body []byte, call func(In) (any, *tableError)) (any, *tableError) {
	var in In
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, newTableError("SerializationException", err.Error())
	}
	return call(in)
}

func (s *Standin) checkTable(name string) *tableError {
	if name != s.cfg.Table {
		return newTableError("ResourceNotFoundException", "no table "+name)
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
	if failure := s.checkTable(in.TableName); failure != nil {
		return nil, failure
	}
	if !in.ConsistentRead {
		return nil, invalid("this stand-in serves consistent reads only")
	}
	key, failure := in.Key.key()
	if failure != nil {
		return nil, failure
	}
	item, err := s.store.Get(background, key)
	if errors.Is(err, storage.ErrNotFound) {
		return getItemOutput{}, nil
	}
	if err != nil {
		return nil, invalid(err.Error())
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
	if failure := s.checkTable(in.TableName); failure != nil {
		return nil, failure
	}
	after, failure := in.after()
	if failure != nil {
		return nil, failure
	}
	page := s.cfg.Page
	if in.Limit > 0 {
		page = min(in.Limit, page)
	}
	partition := in.ExpressionAttributeValues[":pk"].text()
	items, err := s.store.Query(background, partition, after, page)
	if err != nil {
		return nil, invalid(err.Error())
	}
	out := queryOutput{Items: []attributes{}, Count: len(items)}
	for _, item := range items {
		out.Items = append(out.Items, itemAttributes(item))
	}
	// The service names a last key whenever a page is full, also when nothing
	// follows.
	if len(items) == page {
		out.LastEvaluatedKey = keyAttributes(items[len(items)-1].Key)
	}
	return out, nil
}

// after returns the sort key behind which the query starts.
func (in queryInput) after() (string, *tableError) {
	if !in.ConsistentRead {
		return "", invalid("this stand-in serves consistent reads only")
	}
	after := ""
	switch in.KeyConditionExpression {
	case "pk = :pk":
	case "pk = :pk AND sk > :after":
		after = in.ExpressionAttributeValues[":after"].text()
		if after == "" {
			return "", invalid("a key attribute cannot be an empty string")
		}
	default:
		return "", invalid("key condition not known to this stand-in: " + in.KeyConditionExpression)
	}
	if in.ExclusiveStartKey != nil {
		after = max(after, in.ExclusiveStartKey["sk"].text())
	}
	return after, nil
}

package standin

import (
	"errors"

	"github.com/crocushinge/crocushinge/storage"
)

// putInput is a PutItem call, or one Put of a TransactWriteItems call.
type putInput struct {
	TableName                 string
	Item                      attributes
	ConditionExpression       string
	ExpressionAttributeValues attributes
}

type emptyOutput struct{}

func (s *Standin) putItem(in putInput) (any, *tableError) {
	put, failure := s.parsePut(in)
	if failure != nil {
		return nil, failure
	}
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	err := s.store.Write(backgroundCtx, put)
	switch {
	case err == nil:
		return emptyOutput{}, nil
	case errors.Is(err, storage.ErrConflict):
		return nil, newTableError("ConditionalCheckFailedException", "the conditional request failed")
	default:
		return nil, validationError(err.Error())
	}
}

type transactInput struct {
	TransactItems      []struct{ Put *putInput }
	ClientRequestToken string
}

// transactWriteItems writes several items. Like the service, it carries out only one
// transaction per client request token.
func (s *Standin) transactWriteItems(in transactInput) (any, *tableError) {
	var puts []storage.Put
	for _, item := range in.TransactItems {
		if item.Put == nil {
			return nil, validationError("this stand-in supports only puts in a transaction")
		}
		put, failure := s.parsePut(*item.Put)
		if failure != nil {
			return nil, failure
		}
		puts = append(puts, put)
	}
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	if in.ClientRequestToken != "" && s.doneTokens[in.ClientRequestToken] {
		return emptyOutput{}, nil
	}
	err := s.store.Write(backgroundCtx, puts...)
	switch {
	case err == nil:
		s.doneTokens[in.ClientRequestToken] = true
		return emptyOutput{}, nil
	case errors.Is(err, storage.ErrConflict):
		return nil, s.canceledError(puts)
	default:
		return nil, validationError(err.Error())
	}
}

// canceledError returns the error of a canceled transaction, with a reason for
// each put. The caller holds writeMu.
func (s *Standin) canceledError(puts []storage.Put) *tableError {
	failure := newTableError("TransactionCanceledException", "transaction canceled, see the reasons")
	for _, put := range puts {
		reason := cancellationReason{Code: "None"}
		if s.version(put.Key) != put.IfVersion {
			reason = cancellationReason{Code: "ConditionalCheckFailed", Message: "the conditional request failed"}
		}
		failure.Reasons = append(failure.Reasons, reason)
	}
	return failure
}

// version returns the version of a stored item, or 0 if there is none.
func (s *Standin) version(key storage.Key) uint64 {
	item, err := s.store.Get(backgroundCtx, key)
	if err != nil {
		return 0
	}
	return item.Version
}

// parsePut converts a conditional put of the DynamoDB API. It supports the
// conditions and attributes that the adapter writes.
func (s *Standin) parsePut(in putInput) (storage.Put, *tableError) {
	if failure := s.checkTableName(in.TableName); failure != nil {
		return storage.Put{}, failure
	}
	key, failure := in.Item.key()
	if failure != nil {
		return storage.Put{}, failure
	}
	put := storage.Put{Key: key, Value: in.Item["value"].B}
	switch in.ConditionExpression {
	case "attribute_not_exists(pk)":
	case "version = :version":
		if put.IfVersion, failure = in.ExpressionAttributeValues[":version"].numberValue(); failure != nil {
			return storage.Put{}, failure
		}
	default:
		return storage.Put{}, validationError("condition not supported by this stand-in: " + in.ConditionExpression)
	}
	version, failure := in.Item["version"].numberValue()
	if failure != nil {
		return storage.Put{}, failure
	}
	if version != put.IfVersion+1 {
		return storage.Put{}, validationError("the written version must be one more than the version in the condition")
	}
	return put, nil
}

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
	s.writes.Lock()
	defer s.writes.Unlock()
	err := s.store.Write(background, put)
	switch {
	case err == nil:
		return emptyOutput{}, nil
	case errors.Is(err, storage.ErrConflict):
		return nil, newTableError("ConditionalCheckFailedException", "the conditional request failed")
	default:
		return nil, invalid(err.Error())
	}
}

type transactInput struct {
	TransactItems      []struct{ Put *putInput }
	ClientRequestToken string
}

// transactWriteItems carries a client request token out once only.
func (s *Standin) transactWriteItems(in transactInput) (any, *tableError) {
	var puts []storage.Put
	for _, item := range in.TransactItems {
		if item.Put == nil {
			return nil, invalid("this stand-in knows no other transaction than of puts")
		}
		put, failure := s.parsePut(*item.Put)
		if failure != nil {
			return nil, failure
		}
		puts = append(puts, put)
	}
	s.writes.Lock()
	defer s.writes.Unlock()
	if in.ClientRequestToken != "" && s.tokens[in.ClientRequestToken] {
		return emptyOutput{}, nil
	}
	err := s.store.Write(background, puts...)
	switch {
	case err == nil:
		s.tokens[in.ClientRequestToken] = true
		return emptyOutput{}, nil
	case errors.Is(err, storage.ErrConflict):
		return nil, s.canceled(puts)
	default:
		return nil, invalid(err.Error())
	}
}

// canceled names the puts whose condition fails. The caller holds writes.
func (s *Standin) canceled(puts []storage.Put) *tableError {
	failure := newTableError("TransactionCanceledException", "transaction canceled, see the reasons")
	for _, put := range puts {
		r := reason{Code: "None"}
		if s.version(put.Key) != put.IfVersion {
			r = reason{Code: "ConditionalCheckFailed", Message: "the conditional request failed"}
		}
		failure.Reasons = append(failure.Reasons, r)
	}
	return failure
}

func (s *Standin) version(key storage.Key) uint64 {
	item, err := s.store.Get(background, key)
	if err != nil {
		return 0
	}
	return item.Version
}

// parsePut translates a conditional put.
func (s *Standin) parsePut(in putInput) (storage.Put, *tableError) {
	if failure := s.checkTable(in.TableName); failure != nil {
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
		if put.IfVersion, failure = in.ExpressionAttributeValues[":version"].number(); failure != nil {
			return storage.Put{}, failure
		}
	default:
		return storage.Put{}, invalid("condition not known to this stand-in: " + in.ConditionExpression)
	}
	version, failure := in.Item["version"].number()
	if failure != nil {
		return storage.Put{}, failure
	}
	if version != put.IfVersion+1 {
		return storage.Put{}, invalid("the version written must be one more than that of the condition")
	}
	return put, nil
}

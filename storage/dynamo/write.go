package dynamo

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/internal/wait"
	"github.com/crocushinge/crocushinge/storage"
	"github.com/crocushinge/crocushinge/storage/endpoint"
)

// Codes among the reasons of a canceled transaction.
const (
	reasonCondition  = "ConditionalCheckFailed"
	reasonContention = "TransactionConflict"
)

// Retries of a transaction that met another one on the same items.
const (
	contentionAttempts = 4
	contentionDelay    = 20 * time.Millisecond
)

// errContention means that another transaction held one of the items; nothing
// was written.
var errContention = errors.New("another transaction holds an item")

// Write implements storage.Table.
func (t *Table) Write(ctx context.Context, puts ...storage.Put) error {
	if err := storage.CheckPuts(puts); err != nil {
		return err
	}
	ctx, cancel := t.cfg.Limit(ctx)
	defer cancel()
	var err error
	for attempt := range contentionAttempts {
		if err = pause(ctx, attempt); err != nil {
			break
		}
		if err = t.writeOnce(ctx, puts); !errors.Is(err, errContention) {
			return err
		}
	}
	return errors.Wrap(storage.ErrUnavailable, err.Error())
}

// pause waits a random time that grows with the attempts made.
func pause(ctx context.Context, attempt int) error {
	if attempt == 0 {
		return nil
	}
	if wait.For(ctx, rand.N(contentionDelay<<attempt)) {
		return nil
	}
	return ctx.Err()
}

func (t *Table) writeOnce(ctx context.Context, puts []storage.Put) error {
	if len(puts) == 1 {
		return t.put(ctx, puts[0])
	}
	return t.transact(ctx, puts)
}

func (t *Table) put(ctx context.Context, p storage.Put) error {
	expression, values := condition(p)
	ctx, sent := endpoint.Track(ctx)
	_, err := t.client.PutItem(ctx, &dynamodb.PutItemInput{
		TableName:                 &t.name,
		Item:                      encodeItem(p),
		ConditionExpression:       expression,
		ExpressionAttributeValues: values,
	})
	return writeError(err, sent)
}

// transact writes several items. When the answer is lost it sends the same
// transaction once more: the service carries out a client request token only
// once, so the second answer tells what became of both. A condition that fails
// at the second sending has failed for good, because versions only rise.
func (t *Table) transact(ctx context.Context, puts []storage.Put) error {
	token := uuid.NewString()
	err := t.sendTransaction(ctx, puts, token)
	if !errors.Is(err, storage.ErrAmbiguous) || ctx.Err() != nil {
		return err
	}
	second := t.sendTransaction(ctx, puts, token)
	if second == nil || errors.Is(second, storage.ErrConflict) {
		return second
	}
	return err
}

func (t *Table) sendTransaction(ctx context.Context, puts []storage.Put, token string) error {
	items := make([]types.TransactWriteItem, len(puts))
	for i, p := range puts {
		expression, values := condition(p)
		items[i].Put = &types.Put{
			TableName:                 &t.name,
			Item:                      encodeItem(p),
			ConditionExpression:       expression,
			ExpressionAttributeValues: values,
		}
	}
	ctx, sent := endpoint.Track(ctx)
	_, err := t.client.TransactWriteItems(ctx, &dynamodb.TransactWriteItemsInput{
		TransactItems:      items,
		ClientRequestToken: &token,
	})
	return writeError(err, sent)
}

// writeError maps the failure of a write.
func writeError(err error, sent *endpoint.Sent) error {
	var condition *types.ConditionalCheckFailedException
	var canceled *types.TransactionCanceledException
	var contention *types.TransactionConflictException
	var inProgress *types.TransactionInProgressException
	switch {
	case err == nil:
		return nil
	case errors.As(err, &condition):
		return errors.Wrap(storage.ErrConflict, err.Error())
	case errors.As(err, &contention):
		return errContention
	case errors.As(err, &inProgress):
		return errors.Wrap(storage.ErrAmbiguous, err.Error())
	case errors.As(err, &canceled):
		return canceledError(canceled, err)
	default:
		return endpoint.WriteError(err, sent)
	}
}

// canceledError maps a transaction that the service canceled as a whole;
// nothing was written. A failed condition among the reasons is final.
func canceledError(canceled *types.TransactionCanceledException, err error) error {
	contention := false
	for _, reason := range canceled.CancellationReasons {
		if reason.Code == nil {
			continue
		}
		switch *reason.Code {
		case reasonCondition:
			return errors.Wrap(storage.ErrConflict, err.Error())
		case reasonContention:
			contention = true
		}
	}
	if contention {
		return errContention
	}
	return errors.Wrap(storage.ErrUnavailable, err.Error())
}

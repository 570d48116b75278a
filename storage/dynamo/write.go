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

// Codes in the cancellation reasons of a transaction.
const (
	reasonCondition  = "ConditionalCheckFailed"
	reasonContention = "TransactionConflict"
)

// Retries of a write that failed because another transaction was writing one of its
// items.
const (
	maxContentionAttempts = 4
	contentionBackoff     = 20 * time.Millisecond
)

// errContention means that another transaction was writing one of the items;
// nothing was written.
var errContention = errors.New("another transaction is writing one of the items")

// Write implements storage.Table.
func (t *Table) Write(ctx context.Context, puts ...storage.Put) error {
	if err := storage.CheckPuts(puts); err != nil {
		return err
	}
	ctx, cancel := t.cfg.WithTimeout(ctx)
	defer cancel()
	var err error
	for attempt := range maxContentionAttempts {
		if err = backOff(ctx, attempt); err != nil {
			break
		}
		if err = t.writeOnce(ctx, puts); !errors.Is(err, errContention) {
			return err
		}
	}
	return errors.Wrap(storage.ErrUnavailable, err.Error())
}

// backOff waits before an attempt after the first: exponential backoff with full
// jitter.
func backOff(ctx context.Context, attempt int) error {
	if attempt == 0 {
		return nil
	}
	if wait.For(ctx, rand.N(contentionBackoff<<attempt)) {
		return nil
	}
	return ctx.Err()
}

func (t *Table) writeOnce(ctx context.Context, puts []storage.Put) error {
	if len(puts) == 1 {
		return t.putItem(ctx, puts[0])
	}
	return t.transactWriteItems(ctx, puts)
}

func (t *Table) putItem(ctx context.Context, p storage.Put) error {
	expression, values := putCondition(p)
	ctx, sent := endpoint.TrackSend(ctx)
	_, err := t.client.PutItem(ctx, &dynamodb.PutItemInput{
		TableName:                 &t.name,
		Item:                      encodeItem(p),
		ConditionExpression:       expression,
		ExpressionAttributeValues: values,
	})
	return writeError(err, sent)
}

// transactWriteItems writes several items. If the response is lost, it sends the same
// transaction again with the same client request token. The service carries out only
// one transaction per token, so the second response tells the result. If a condition
// fails in the second call, the first call can't take effect later either, because
// versions only increase.
func (t *Table) transactWriteItems(ctx context.Context, puts []storage.Put) error {
	token := uuid.NewString()
	err := t.sendTransaction(ctx, puts, token)
	if !errors.Is(err, storage.ErrAmbiguous) || ctx.Err() != nil {
		return err
	}
	retryErr := t.sendTransaction(ctx, puts, token)
	if retryErr == nil || errors.Is(retryErr, storage.ErrConflict) {
		return retryErr
	}
	return err
}

func (t *Table) sendTransaction(ctx context.Context, puts []storage.Put, token string) error {
	items := make([]types.TransactWriteItem, len(puts))
	for i, p := range puts {
		expression, values := putCondition(p)
		items[i].Put = &types.Put{
			TableName:                 &t.name,
			Item:                      encodeItem(p),
			ConditionExpression:       expression,
			ExpressionAttributeValues: values,
		}
	}
	ctx, sent := endpoint.TrackSend(ctx)
	_, err := t.client.TransactWriteItems(ctx, &dynamodb.TransactWriteItemsInput{
		TransactItems:      items,
		ClientRequestToken: &token,
	})
	return writeError(err, sent)
}

// writeError maps the error of a write.
func writeError(err error, sent *endpoint.SendTracker) error {
	var failedCondition *types.ConditionalCheckFailedException
	var canceled *types.TransactionCanceledException
	var contention *types.TransactionConflictException
	var inProgress *types.TransactionInProgressException
	switch {
	case err == nil:
		return nil
	case errors.As(err, &failedCondition):
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

// canceledError maps the error of a transaction that the service canceled;
// nothing was written. A failed condition takes precedence over contention, because
// it would also fail in a retry.
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

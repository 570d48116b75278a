// Package dynamo is the table service by the DynamoDB API.
//
// The table has the partition key "pk" and the sort key "sk", both strings.
// Each item carries a number "version" and a binary "value". A write of one
// item is a conditional PutItem; a write of several is a TransactWriteItems.
package dynamo

import (
	"context"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/storage"
	"github.com/crocushinge/crocushinge/storage/endpoint"
)

// Expressions of the queries.
const (
	keyPartition = "pk = :pk"
	keyAfter     = "pk = :pk AND sk > :after"
)

// maxAnswer is the greatest answer that the service gives, in bytes: a page of
// 1 MiB of items, whose binary values are written in base64.
const maxAnswer = 4 << 20

var _ storage.Table = (*Table)(nil)

// Table is a storage.Table by the DynamoDB API. It is safe for concurrent
// use.
type Table struct {
	cfg    endpoint.Config
	name   string
	client *dynamodb.Client
}

// New returns the table with a name. It fails when the configuration is wrong;
// it makes no call.
func New(cfg endpoint.Config, name string) (*Table, error) {
	if err := cfg.Check(); err != nil {
		return nil, errors.Wrap(err, "table service")
	}
	if name == "" {
		return nil, errors.New("table service: the table's name is missing")
	}
	keys := cfg.Credentials
	client := dynamodb.New(dynamodb.Options{
		BaseEndpoint: aws.String(cfg.URL),
		Region:       cfg.Region,
		Credentials:  credentials.NewStaticCredentialsProvider(keys.AccessKeyID, keys.SecretAccessKey, ""),
		HTTPClient:   endpoint.NewClient(maxAnswer),
		// A write that is sent again without the caller's knowledge could
		// conflict with its own first try.
		Retryer: aws.NopRetryer{},
	})
	return &Table{cfg: cfg, name: name, client: client}, nil
}

// Get implements storage.Table.
func (t *Table) Get(ctx context.Context, key storage.Key) (storage.Item, error) {
	if err := storage.CheckKey(key); err != nil {
		return storage.Item{}, err
	}
	ctx, cancel := t.cfg.Limit(ctx)
	defer cancel()
	out, err := t.client.GetItem(ctx, &dynamodb.GetItemInput{
		TableName:      &t.name,
		Key:            keyAttributes(key),
		ConsistentRead: aws.Bool(true),
	})
	if err != nil {
		return storage.Item{}, endpoint.ReadError(err)
	}
	if len(out.Item) == 0 {
		return storage.Item{}, errors.Wrapf(storage.ErrNotFound, "item %s/%s", key.Partition, key.Sort)
	}
	return decodeItem(out.Item)
}

// Query implements storage.Table.
func (t *Table) Query(ctx context.Context, partition, after string, limit int) ([]storage.Item, error) {
	if err := storage.CheckQuery(partition, limit); err != nil {
		return nil, err
	}
	ctx, cancel := t.cfg.Limit(ctx)
	defer cancel()
	in := t.queryInput(partition, after)
	var items []storage.Item
	for {
		in.Limit = aws.Int32(int32(limit - len(items)))
		out, err := t.client.Query(ctx, in)
		if err != nil {
			return nil, endpoint.ReadError(err)
		}
		for _, attributes := range out.Items {
			item, err := decodeItem(attributes)
			if err != nil {
				return nil, err
			}
			items = append(items, item)
		}
		if len(items) >= limit || len(out.LastEvaluatedKey) == 0 {
			return items, nil
		}
		in.ExclusiveStartKey = out.LastEvaluatedKey
	}
}

func (t *Table) queryInput(partition, after string) *dynamodb.QueryInput {
	in := &dynamodb.QueryInput{
		TableName:              &t.name,
		ConsistentRead:         aws.Bool(true),
		KeyConditionExpression: aws.String(keyPartition),
		ExpressionAttributeValues: map[string]types.AttributeValue{
			":pk": &types.AttributeValueMemberS{Value: partition},
		},
	}
	if after != "" {
		in.KeyConditionExpression = aws.String(keyAfter)
		in.ExpressionAttributeValues[":after"] = &types.AttributeValueMemberS{Value: after}
	}
	return in
}

// Package dynamo implements the table service with the DynamoDB API.
//
// The table has the partition key "pk" and the sort key "sk", both strings.
// Each item has the attributes "version", a number, and "value", binary. A write
// of one item is a conditional PutItem call; a write of several items is a
// TransactWriteItems call.
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

// Key condition expressions of queries.
const (
	inPartition      = "pk = :pk"
	inPartitionAfter = "pk = :pk AND sk > :after"
)

// maxResponseBytes limits the size of a response of the service. A page holds up to
// 1 MiB of items, whose binary values are longer in base64.
const maxResponseBytes = 4 << 20

var _ storage.Table = (*Table)(nil)

// Table is a storage.Table in a DynamoDB table. It is safe for concurrent use.
type Table struct {
	cfg    endpoint.Config
	name   string
	client *dynamodb.Client
}

// New returns the client of the table with the given name. It fails when the
// configuration is invalid. It makes no call to the service.
func New(cfg endpoint.Config, name string) (*Table, error) {
	if err := cfg.Check(); err != nil {
		return nil, errors.Wrap(err, "configure table service")
	}
	if name == "" {
		return nil, errors.New("table service: the table's name is missing")
	}
	signingKeys := cfg.Credentials
	client := dynamodb.New(dynamodb.Options{
		BaseEndpoint: aws.String(cfg.URL),
		Region:       cfg.Region,
		Credentials:  credentials.NewStaticCredentialsProvider(signingKeys.AccessKeyID, signingKeys.SecretAccessKey, ""),
		HTTPClient:   endpoint.NewClient(maxResponseBytes),
		// The SDK must not retry: a write that it repeats could fail on its
		// condition because the first attempt took effect.
		Retryer: aws.NopRetryer{},
	})
	return &Table{cfg: cfg, name: name, client: client}, nil
}

// Get implements storage.Table.
func (t *Table) Get(ctx context.Context, key storage.Key) (storage.Item, error) {
	if err := storage.CheckKey(key); err != nil {
		return storage.Item{}, err
	}
	ctx, cancel := t.cfg.WithTimeout(ctx)
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
	ctx, cancel := t.cfg.WithTimeout(ctx)
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
		KeyConditionExpression: aws.String(inPartition),
		ExpressionAttributeValues: map[string]types.AttributeValue{
			":pk": &types.AttributeValueMemberS{Value: partition},
		},
	}
	if after != "" {
		in.KeyConditionExpression = aws.String(inPartitionAfter)
		in.ExpressionAttributeValues[":after"] = &types.AttributeValueMemberS{Value: after}
	}
	return in
}

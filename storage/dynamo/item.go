package dynamo

import (
	"strconv"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/storage"
)

// Attributes of an item.
const (
	attributePartition = "pk"
	attributeSort      = "sk"
	attributeVersion   = "version"
	attributeValue     = "value"
)

// Conditions of a put.
const (
	conditionNew     = "attribute_not_exists(pk)"
	conditionVersion = "version = :version"
)

func keyAttributes(key storage.Key) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{
		attributePartition: &types.AttributeValueMemberS{Value: key.Partition},
		attributeSort:      &types.AttributeValueMemberS{Value: key.Sort},
	}
}

// encodeItem returns the item that a put writes.
func encodeItem(p storage.Put) map[string]types.AttributeValue {
	attributes := keyAttributes(p.Key)
	attributes[attributeVersion] = versionAttribute(p.IfVersion + 1)
	attributes[attributeValue] = &types.AttributeValueMemberB{Value: nonNil(p.Value)}
	return attributes
}

// nonNil keeps an empty value from being encoded as none.
func nonNil(value []byte) []byte {
	if value == nil {
		return []byte{}
	}
	return value
}

// condition returns the condition of a put with its values.
func condition(p storage.Put) (*string, map[string]types.AttributeValue) {
	if p.IfVersion == 0 {
		return aws.String(conditionNew), nil
	}
	return aws.String(conditionVersion), map[string]types.AttributeValue{
		":version": versionAttribute(p.IfVersion),
	}
}

func versionAttribute(version uint64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatUint(version, 10)}
}

// decodeItem fails with ErrUnavailable when the item was not written by this
// system.
func decodeItem(attributes map[string]types.AttributeValue) (storage.Item, error) {
	partition, ok1 := attributes[attributePartition].(*types.AttributeValueMemberS)
	sort, ok2 := attributes[attributeSort].(*types.AttributeValueMemberS)
	number, ok3 := attributes[attributeVersion].(*types.AttributeValueMemberN)
	value, ok4 := attributes[attributeValue].(*types.AttributeValueMemberB)
	if !ok1 || !ok2 || !ok3 || !ok4 {
		return storage.Item{}, errors.Wrap(storage.ErrUnavailable, "item lacks an attribute or has one of another type")
	}
	version, err := strconv.ParseUint(number.Value, 10, 64)
	if err != nil {
		return storage.Item{}, errors.Wrapf(storage.ErrUnavailable, "item %s/%s: %v", partition.Value, sort.Value, err)
	}
	return storage.Item{
		Key:     storage.Key{Partition: partition.Value, Sort: sort.Value},
		Version: version,
		Value:   value.Value,
	}, nil
}

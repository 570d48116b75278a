package dynamo

import (
	"strconv"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/storage"
)

// Names of the attributes of an item.
const (
	attributePartition = "pk"
	attributeSort      = "sk"
	attributeVersion   = "version"
	attributeValue     = "value"
)

// Condition expressions of a put.
const (
	conditionNotExists   = "attribute_not_exists(pk)"
	conditionSameVersion = "version = :version"
)

func keyAttributes(key storage.Key) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{
		attributePartition: &types.AttributeValueMemberS{Value: key.Partition},
		attributeSort:      &types.AttributeValueMemberS{Value: key.Sort},
	}
}

// encodeItem returns the attributes of the item that a put writes.
func encodeItem(p storage.Put) map[string]types.AttributeValue {
	attributes := keyAttributes(p.Key)
	attributes[attributeVersion] = versionAttribute(p.IfVersion + 1)
	attributes[attributeValue] = &types.AttributeValueMemberB{Value: emptyIfNil(p.Value)}
	return attributes
}

// emptyIfNil returns an empty slice for nil, which the SDK would encode as null.
func emptyIfNil(value []byte) []byte {
	if value == nil {
		return []byte{}
	}
	return value
}

// putCondition returns the condition expression of a put and the values in it.
func putCondition(p storage.Put) (*string, map[string]types.AttributeValue) {
	if p.IfVersion == 0 {
		return aws.String(conditionNotExists), nil
	}
	return aws.String(conditionSameVersion), map[string]types.AttributeValue{
		":version": versionAttribute(p.IfVersion),
	}
}

func versionAttribute(version uint64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatUint(version, 10)}
}

// decodeItem decodes the attributes of an item. It fails with ErrUnavailable when
// they are not in the form that encodeItem writes.
func decodeItem(attributes map[string]types.AttributeValue) (storage.Item, error) {
	partition, partitionOK := attributes[attributePartition].(*types.AttributeValueMemberS)
	sort, sortOK := attributes[attributeSort].(*types.AttributeValueMemberS)
	versionNumber, versionOK := attributes[attributeVersion].(*types.AttributeValueMemberN)
	value, valueOK := attributes[attributeValue].(*types.AttributeValueMemberB)
	if !partitionOK || !sortOK || !versionOK || !valueOK {
		return storage.Item{}, errors.Wrap(storage.ErrUnavailable, "item has a missing attribute or one of the wrong type")
	}
	version, err := strconv.ParseUint(versionNumber.Value, 10, 64)
	if err != nil {
		return storage.Item{}, errors.Wrapf(storage.ErrUnavailable, "item %s/%s: malformed version: %v", partition.Value, sort.Value, err)
	}
	return storage.Item{
		Key:     storage.Key{Partition: partition.Value, Sort: sort.Value},
		Version: version,
		Value:   value.Value,
	}, nil
}

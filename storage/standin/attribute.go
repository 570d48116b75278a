package standin

import (
	"context"
	"strconv"

	"github.com/crocushinge/crocushinge/storage"
)

// backgroundCtx is the context of calls to the in-memory store. These calls never
// block, so they need no cancellation.
var backgroundCtx = context.Background()

// attribute is an attribute value of the DynamoDB API: a string, a number or
// bytes.
type attribute struct {
	S *string `json:",omitempty"`
	N *string `json:",omitempty"`
	B []byte  `json:",omitzero"`
}

// stringValue returns the string of an attribute, or "" for one of another type.
func (a attribute) stringValue() string {
	if a.S == nil {
		return ""
	}
	return *a.S
}

// numberValue returns the number of an attribute. It fails for an attribute of
// another type.
func (a attribute) numberValue() (uint64, *tableError) {
	if a.N == nil {
		return 0, validationError("the attribute must be a number")
	}
	n, err := strconv.ParseUint(*a.N, 10, 64)
	if err != nil {
		return 0, validationError(err.Error())
	}
	return n, nil
}

// attributes holds the attributes of an item or a key by name.
type attributes map[string]attribute

// key returns the key that the attributes contain.
func (a attributes) key() (storage.Key, *tableError) {
	key := storage.Key{Partition: a["pk"].stringValue(), Sort: a["sk"].stringValue()}
	if err := storage.CheckKey(key); err != nil {
		return key, validationError(err.Error())
	}
	return key, nil
}

func keyAttributes(key storage.Key) attributes {
	return attributes{"pk": {S: &key.Partition}, "sk": {S: &key.Sort}}
}

func itemAttributes(item storage.Item) attributes {
	out := keyAttributes(item.Key)
	version := strconv.FormatUint(item.Version, 10)
	out["version"] = attribute{N: &version}
	out["value"] = attribute{B: append([]byte{}, item.Value...)}
	return out
}

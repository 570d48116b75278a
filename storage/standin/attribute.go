package standin

import (
	"context"
	"strconv"

	"github.com/crocushinge/crocushinge/storage"
)

// background is the context of calls to the store in memory, which end at
// once.
var background = context.Background()

// attribute is an attribute value of the DynamoDB API: a string, a number or
// bytes.
type attribute struct {
	S *string `json:",omitempty"`
	N *string `json:",omitempty"`
	B []byte  `json:",omitzero"`
}

// text returns the string of an attribute, or "".
func (a attribute) text() string {
	if a.S == nil {
		return ""
	}
	return *a.S
}

// number returns the number of an attribute.
func (a attribute) number() (uint64, *tableError) {
	if a.N == nil {
		return 0, invalid("number missing")
	}
	n, err := strconv.ParseUint(*a.N, 10, 64)
	if err != nil {
		return 0, invalid(err.Error())
	}
	return n, nil
}

// attributes are the attributes of an item or a key, by name.
type attributes map[string]attribute

// key returns the key among the attributes.
func (a attributes) key() (storage.Key, *tableError) {
	key := storage.Key{Partition: a["pk"].text(), Sort: a["sk"].text()}
	if err := storage.CheckKey(key); err != nil {
		return key, invalid(err.Error())
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

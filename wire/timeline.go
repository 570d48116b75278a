package wire

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/timeline"
	fleetv1 "github.com/crocushinge/crocushinge/wire/gen/crocushinge/fleet/v1"
)

// BatchPrefix is the prefix of the names of all timeline batches in the object
// store.
const BatchPrefix = "timeline/"

// batchNameParts is the minimum number of parts in the name of a batch. The parts are
// separated by underscores.
const batchNameParts = 5

// maxBatchBytes limits the size of a decompressed batch.
const maxBatchBytes = 64 << 20

// BatchName identifies a batch of timeline events: the times of its last and
// first event in Unix milliseconds, the host that wrote it, the host's
// incarnation, and the sequence number of the batch within the incarnation.
type BatchName struct {
	LastMillis, FirstMillis int64
	Host                    string
	Incarnation             uint64
	Number                  uint64
}

// String returns the name of the batch's object. The times have a fixed width,
// so that names sort by the time of the last event.
func (b BatchName) String() string {
	return fmt.Sprintf("%s%015d_%015d_%s_%d_%d", BatchPrefix, b.LastMillis, b.FirstMillis, b.Host, b.Incarnation, b.Number)
}

// BatchListStart returns a name that sorts before the name of every batch whose last
// event is at or after the given time, in Unix milliseconds. A listing that starts
// after this name has exactly these batches.
func BatchListStart(unixMillis int64) string {
	return fmt.Sprintf("%s%015d", BatchPrefix, max(unixMillis, 0))
}

// ParseBatchName parses a name in the form that String returns.
func ParseBatchName(name string) (BatchName, error) {
	text, ok := strings.CutPrefix(name, BatchPrefix)
	parts := strings.Split(text, "_")
	if !ok || len(parts) < batchNameParts {
		return BatchName{}, errors.Errorf("%q is not the name of a batch", name)
	}
	// The host's id may contain underscores, so the last two parts are counted
	// from the end.
	end := len(parts) - 2
	b := BatchName{Host: strings.Join(parts[2:end], "_")}
	var errs [4]error
	b.LastMillis, errs[0] = strconv.ParseInt(parts[0], 10, 64)
	b.FirstMillis, errs[1] = strconv.ParseInt(parts[1], 10, 64)
	b.Incarnation, errs[2] = strconv.ParseUint(parts[end], 10, 64)
	b.Number, errs[3] = strconv.ParseUint(parts[end+1], 10, 64)
	for _, err := range errs {
		if err != nil {
			return BatchName{}, errors.Wrapf(err, "%q is not the name of a batch", name)
		}
	}
	return b, nil
}

// EncodeBatch encodes events as JSON lines compressed with gzip.
func EncodeBatch(events []timeline.Event) ([]byte, error) {
	var out bytes.Buffer
	compressor := gzip.NewWriter(&out)
	encoder := json.NewEncoder(compressor)
	for _, e := range events {
		if err := encoder.Encode(e); err != nil {
			return nil, errors.Wrap(err, "encode batch")
		}
	}
	if err := compressor.Close(); err != nil {
		return nil, errors.Wrap(err, "encode batch")
	}
	return out.Bytes(), nil
}

// DecodeBatch decodes a batch. If a part of it is damaged, it returns the events
// before that part together with the error.
func DecodeBatch(data []byte) ([]timeline.Event, error) {
	decompressor, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "decode batch")
	}
	decoder := json.NewDecoder(bufio.NewReader(io.LimitReader(decompressor, maxBatchBytes)))
	var out []timeline.Event
	for {
		var e timeline.Event
		switch err := decoder.Decode(&e); {
		case errors.Is(err, io.EOF):
			return out, nil
		case err != nil:
			return out, errors.Wrap(err, "decode batch")
		}
		out = append(out, e)
	}
}

// EncodeEvent encodes one timeline event for a peer.
func EncodeEvent(e timeline.Event) ([]byte, error) {
	data, err := json.Marshal(e)
	return data, errors.Wrap(err, "encode event")
}

// DecodeEvent decodes one timeline event of a peer.
func DecodeEvent(data []byte) (timeline.Event, error) {
	var e timeline.Event
	err := json.Unmarshal(data, &e)
	return e, errors.Wrap(err, "decode event")
}

// FilterToProto encodes a filter for a peer. The start time is encoded as the
// last stamp before it.
func FilterToProto(f timeline.Filter) *fleetv1.TimelineRequest {
	req := &fleetv1.TimelineRequest{
		After: StampToProto(StampBefore(f)), Service: f.Service, Target: f.Target, Request: f.Request,
	}
	if !f.Until.IsZero() {
		req.Until = f.Until.UnixMilli()
	}
	return req
}

// FilterFromProto decodes a filter without its start time. The function's caller must
// select the events after the stamp req.After itself.
func FilterFromProto(req *fleetv1.TimelineRequest) timeline.Filter {
	f := timeline.Filter{Service: req.GetService(), Target: req.GetTarget(), Request: req.GetRequest()}
	if req.GetUntil() > 0 {
		f.Until = time.UnixMilli(req.GetUntil())
	}
	return f
}

// StampBefore returns the last stamp before all events that a filter selects. It is
// the zero stamp for a filter without a start time.
func StampBefore(f timeline.Filter) timeline.Stamp {
	if f.Since.IsZero() {
		return timeline.Stamp{}
	}
	return timeline.Stamp{Wall: f.Since.UnixMilli() - 1, Logical: math.MaxUint32}
}

// Timeline is the merged timeline of all hosts.
type Timeline struct {
	Events []timeline.Event `json:"events"`
	// Missing are the sources that could not be read.
	Missing []MissingSource `json:"missing,omitempty"`
	// Truncated is set when there were more events than one response may hold.
	Truncated bool `json:"truncated,omitempty"`
}

// MissingSource is a host, or the object store, whose events could not be read.
type MissingSource struct {
	Source string `json:"source"`
	Error  string `json:"error"`
}

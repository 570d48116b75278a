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

// BatchPrefix begins the names of all batches of the time line in the object
// store.
const BatchPrefix = "timeline/"

// batchParts is the number of parts of a batch's name.
const batchParts = 5

// maxBatch limits a batch once it is unpacked, in bytes.
const maxBatch = 64 << 20

// BatchName names one batch of events: its last and first event in Unix
// milliseconds, the host, its incarnation, and a number within that.
type BatchName struct {
	Last, First int64
	Host        string
	Incarnation uint64
	Number      uint64
}

// String returns the object's name. Names sort by the time of the last event.
func (b BatchName) String() string {
	return fmt.Sprintf("%s%015d_%015d_%s_%d_%d", BatchPrefix, b.Last, b.First, b.Host, b.Incarnation, b.Number)
}

// BatchesAfter returns a name that sorts before all batches whose last event
// is at the given time, in Unix milliseconds, or later.
func BatchesAfter(wall int64) string { return fmt.Sprintf("%s%015d", BatchPrefix, max(wall, 0)) }

// ParseBatchName reads a name as String writes it.
func ParseBatchName(name string) (BatchName, error) {
	text, ok := strings.CutPrefix(name, BatchPrefix)
	parts := strings.Split(text, "_")
	if !ok || len(parts) < batchParts {
		return BatchName{}, errors.Errorf("%q names no batch", name)
	}
	// A host's name may hold underscores.
	end := len(parts) - 2
	b := BatchName{Host: strings.Join(parts[2:end], "_")}
	var err [4]error
	b.Last, err[0] = strconv.ParseInt(parts[0], 10, 64)
	b.First, err[1] = strconv.ParseInt(parts[1], 10, 64)
	b.Incarnation, err[2] = strconv.ParseUint(parts[end], 10, 64)
	b.Number, err[3] = strconv.ParseUint(parts[end+1], 10, 64)
	for _, e := range err {
		if e != nil {
			return BatchName{}, errors.Wrapf(e, "%q names no batch", name)
		}
	}
	return b, nil
}

// EncodeBatch encodes events as JSON lines, compressed by gzip.
func EncodeBatch(events []timeline.Event) ([]byte, error) {
	var out bytes.Buffer
	packed := gzip.NewWriter(&out)
	encoder := json.NewEncoder(packed)
	for _, e := range events {
		if err := encoder.Encode(e); err != nil {
			return nil, errors.Wrap(err, "encode batch")
		}
	}
	if err := packed.Close(); err != nil {
		return nil, errors.Wrap(err, "encode batch")
	}
	return out.Bytes(), nil
}

// DecodeBatch decodes a batch. The events before a fault are returned with the
// error.
func DecodeBatch(data []byte) ([]timeline.Event, error) {
	packed, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "decode batch")
	}
	decoder := json.NewDecoder(bufio.NewReader(io.LimitReader(packed, maxBatch)))
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

// EncodeEvent encodes one event for a peer.
func EncodeEvent(e timeline.Event) ([]byte, error) {
	data, err := json.Marshal(e)
	return data, errors.Wrap(err, "encode event")
}

// DecodeEvent decodes one event of a peer.
func DecodeEvent(data []byte) (timeline.Event, error) {
	var e timeline.Event
	err := json.Unmarshal(data, &e)
	return e, errors.Wrap(err, "decode event")
}

// FilterToProto encodes a filter for a peer. Since becomes the stamp before it.
func FilterToProto(f timeline.Filter) *fleetv1.TimelineRequest {
	req := &fleetv1.TimelineRequest{
		After: StampToProto(After(f)), Service: f.Service, Target: f.Target, Request: f.Request,
	}
	if !f.Until.IsZero() {
		req.Until = f.Until.UnixMilli()
	}
	return req
}

// FilterFromProto decodes a filter but for the beginning, which is req.After.
func FilterFromProto(req *fleetv1.TimelineRequest) timeline.Filter {
	f := timeline.Filter{Service: req.GetService(), Target: req.GetTarget(), Request: req.GetRequest()}
	if req.GetUntil() > 0 {
		f.Until = time.UnixMilli(req.GetUntil())
	}
	return f
}

// After returns the last stamp before all that a filter selects.
func After(f timeline.Filter) timeline.Stamp {
	if f.Since.IsZero() {
		return timeline.Stamp{}
	}
	return timeline.Stamp{Wall: f.Since.UnixMilli() - 1, Logical: math.MaxUint32}
}

// Timeline is the merged time line of the fleet.
type Timeline struct {
	Events []timeline.Event `json:"events"`
	// Missing are the sources that could not be asked.
	Missing []MissingSource `json:"missing,omitempty"`
	// Truncated is set when there were more events than one answer holds.
	Truncated bool `json:"truncated,omitempty"`
}

// MissingSource is a host or the object store that could not be asked.
type MissingSource struct {
	Source string `json:"source"`
	Error  string `json:"error"`
}

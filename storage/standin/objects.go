package standin

import (
	"encoding/xml"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/crocushinge/crocushinge/storage"
	"github.com/crocushinge/crocushinge/storage/fault"
)

// objectError is an error of the S3 API.
type objectError struct {
	XMLName xml.Name `xml:"Error"`
	status  int
	Code    string
	Message string
}

func (e *objectError) write(w http.ResponseWriter) { writeXML(w, e.status, e) }

func writeXML(w http.ResponseWriter, status int, document any) {
	w.Header().Set("Content-Type", "application/xml")
	w.WriteHeader(status)
	_ = xml.NewEncoder(w).Encode(document)
}

// serveObjects handles one call of the S3 API.
func (s *Standin) serveObjects(w http.ResponseWriter, r *http.Request) {
	bucket, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	call := fault.Read
	if r.Method == http.MethodPut {
		call = fault.Write
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, storage.MaxObjectBytes))
	if err != nil {
		abortConnection()
	}
	handling := applyFaults(&s.Objects, r, call)
	switch {
	case handling == rejectThrottled:
		(&objectError{status: http.StatusServiceUnavailable, Code: "SlowDown", Message: "reduce your request rate"}).write(w)
		return
	case !s.hasAccessKey(r):
		(&objectError{status: http.StatusForbidden, Code: "InvalidAccessKeyId", Message: "unknown access key"}).write(w)
		return
	case bucket != s.cfg.Bucket:
		(&objectError{status: http.StatusNotFound, Code: "NoSuchBucket", Message: bucket}).write(w)
		return
	}
	switch {
	case r.Method == http.MethodPut && name != "":
		s.putObject(w, r, name, body, handling)
	case r.Method == http.MethodGet && name != "":
		s.getObject(w, name)
	case r.Method == http.MethodGet && r.URL.Query().Get("list-type") == "2":
		s.listObjects(w, r)
	default:
		(&objectError{status: http.StatusNotImplemented, Code: "NotImplemented", Message: r.Method}).write(w)
	}
}

func (s *Standin) putObject(w http.ResponseWriter, r *http.Request, name string, body []byte, handling callHandling) {
	if r.Header.Get("Content-Encoding") == "aws-chunked" {
		(&objectError{status: http.StatusNotImplemented, Code: "NotImplemented", Message: "aws-chunked"}).write(w)
		return
	}
	err := s.store.PutObject(backgroundCtx, name, body)
	if handling == proceedWithoutResponse {
		abortConnection()
	}
	if err != nil {
		(&objectError{status: http.StatusBadRequest, Code: "EntityTooLarge", Message: err.Error()}).write(w)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (s *Standin) getObject(w http.ResponseWriter, name string) {
	data, err := s.store.GetObject(backgroundCtx, name)
	if errors.Is(err, storage.ErrNotFound) {
		(&objectError{status: http.StatusNotFound, Code: "NoSuchKey", Message: name}).write(w)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}

// listResult is the response to a ListObjectsV2 call.
type listResult struct {
	XMLName               xml.Name `xml:"http://s3.amazonaws.com/doc/2006-03-01/ ListBucketResult"`
	Name                  string
	KeyCount              int
	IsTruncated           bool
	NextContinuationToken string `xml:",omitempty"`
	Contents              []listedObject
}

type listedObject struct{ Key string }

// listObjects serves one page of names. The continuation token is the last name of
// the previous page.
func (s *Standin) listObjects(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	pageSize := s.cfg.PageSize
	if n, err := strconv.Atoi(query.Get("max-keys")); err == nil && n > 0 {
		pageSize = min(pageSize, n)
	}
	after := max(query.Get("start-after"), query.Get("continuation-token"))
	names, err := s.store.ListObjects(backgroundCtx, query.Get("prefix"), after, pageSize+1)
	if err != nil {
		(&objectError{status: http.StatusBadRequest, Code: "InvalidArgument", Message: err.Error()}).write(w)
		return
	}
	result := listResult{Name: s.cfg.Bucket}
	if len(names) > pageSize {
		names = names[:pageSize]
		result.IsTruncated = true
		result.NextContinuationToken = names[pageSize-1]
	}
	result.KeyCount = len(names)
	for _, name := range names {
		result.Contents = append(result.Contents, listedObject{Key: name})
	}
	writeXML(w, http.StatusOK, result)
}

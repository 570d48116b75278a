// Package s3 implements the object store with the S3 API. It uses path-style
// URLs.
package s3

import (
	"bytes"
	"context"
	"io"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/aws-sdk-go-v2/service/s3/types"
	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/storage"
	"github.com/crocushinge/crocushinge/storage/endpoint"
)

// maxPageNames is the largest number of names that the service lists in one
// response.
const maxPageNames = 1000

var _ storage.Objects = (*Objects)(nil)

// Objects is a storage.Objects in an S3 bucket. It is safe for concurrent use.
type Objects struct {
	cfg    endpoint.Config
	bucket string
	client *s3.Client
}

// New returns the client of the given bucket. It fails when the configuration is
// invalid. It makes no call to the service.
func New(cfg endpoint.Config, bucket string) (*Objects, error) {
	if err := cfg.Check(); err != nil {
		return nil, errors.Wrap(err, "configure object store")
	}
	if bucket == "" {
		return nil, errors.New("object store: the bucket's name is missing")
	}
	signingKeys := cfg.Credentials
	client := s3.New(s3.Options{
		BaseEndpoint: aws.String(cfg.URL),
		Region:       cfg.Region,
		Credentials:  credentials.NewStaticCredentialsProvider(signingKeys.AccessKeyID, signingKeys.SecretAccessKey, ""),
		HTTPClient:   endpoint.NewClient(storage.MaxObjectBytes),
		UsePathStyle: true,
		Retryer:      aws.NopRetryer{},
		// The service may store objects without a checksum. The SDK would log
		// a line for each of them.
		DisableLogOutputChecksumValidationSkipped: true,
	})
	return &Objects{cfg: cfg, bucket: bucket, client: client}, nil
}

// PutObject implements storage.Objects.
func (o *Objects) PutObject(ctx context.Context, name string, data []byte) error {
	if err := storage.CheckObject(name, data); err != nil {
		return err
	}
	ctx, cancel := o.cfg.WithTimeout(ctx)
	defer cancel()
	ctx, sent := endpoint.TrackSend(ctx)
	_, err := o.client.PutObject(ctx, &s3.PutObjectInput{
		Bucket:        &o.bucket,
		Key:           &name,
		Body:          bytes.NewReader(data),
		ContentLength: aws.Int64(int64(len(data))),
	})
	if err != nil {
		return endpoint.WriteError(err, sent)
	}
	return nil
}

// GetObject implements storage.Objects.
func (o *Objects) GetObject(ctx context.Context, name string) ([]byte, error) {
	if err := storage.CheckObject(name, nil); err != nil {
		return nil, err
	}
	ctx, cancel := o.cfg.WithTimeout(ctx)
	defer cancel()
	out, err := o.client.GetObject(ctx, &s3.GetObjectInput{Bucket: &o.bucket, Key: &name})
	var missing *types.NoSuchKey
	if errors.As(err, &missing) {
		return nil, errors.Wrapf(storage.ErrNotFound, "object %s", name)
	}
	if err != nil {
		return nil, endpoint.ReadError(err)
	}
	defer out.Body.Close()
	data, err := io.ReadAll(out.Body)
	if err != nil {
		return nil, endpoint.ReadError(err)
	}
	return data, nil
}

// ListObjects implements storage.Objects.
func (o *Objects) ListObjects(ctx context.Context, prefix, after string, limit int) ([]string, error) {
	if err := storage.CheckLimit(limit); err != nil {
		return nil, err
	}
	ctx, cancel := o.cfg.WithTimeout(ctx)
	defer cancel()
	in := &s3.ListObjectsV2Input{Bucket: &o.bucket, Prefix: &prefix}
	if after != "" {
		in.StartAfter = &after
	}
	var names []string
	for {
		in.MaxKeys = aws.Int32(int32(min(limit-len(names), maxPageNames)))
		out, err := o.client.ListObjectsV2(ctx, in)
		if err != nil {
			return nil, endpoint.ReadError(err)
		}
		for _, object := range out.Contents {
			names = append(names, aws.ToString(object.Key))
		}
		if len(names) >= limit || !aws.ToBool(out.IsTruncated) {
			return names, nil
		}
		in.ContinuationToken = out.NextContinuationToken
	}
}

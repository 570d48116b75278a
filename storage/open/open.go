package open

import (
	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/storage"
	"github.com/crocushinge/crocushinge/storage/dynamo"
	"github.com/crocushinge/crocushinge/storage/endpoint"
	"github.com/crocushinge/crocushinge/storage/hostlist"
	"github.com/crocushinge/crocushinge/storage/memory"
	"github.com/crocushinge/crocushinge/storage/s3"
)

// Platform holds the services of one platform.
type Platform struct {
	Table    storage.Table
	Objects  storage.Objects
	HostList storage.HostList
}

// Open returns the platform that the settings name; they must have passed Check.
// It reads the credentials file but makes no call to the platform, so that a
// process can start while the platform is unavailable.
func Open(s Settings) (Platform, error) {
	if s.Kind != Service {
		store := memory.New()
		return Platform{Table: store, Objects: store, HostList: store}, nil
	}
	credentials, err := readCredentials(s.CredentialsFile)
	if err != nil {
		return Platform{}, err
	}
	cfg := endpoint.Config{URL: s.TableEndpoint, Region: s.Region, Credentials: credentials, Timeout: s.Timeout}
	table, err := dynamo.New(cfg, s.Table)
	if err != nil {
		return Platform{}, errors.Wrap(err, "open platform")
	}
	cfg.URL = s.ObjectEndpoint
	objects, err := s3.New(cfg, s.Bucket)
	if err != nil {
		return Platform{}, errors.Wrap(err, "open platform")
	}
	hosts, err := hostlist.New(s.HostList, s.Timeout)
	if err != nil {
		return Platform{}, errors.Wrap(err, "open platform")
	}
	return Platform{Table: table, Objects: objects, HostList: hosts}, nil
}

// Package open creates the clients of the platform that a process's settings
// name.
package open

import (
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/finding/yamlfile"
	"github.com/crocushinge/crocushinge/storage/endpoint"
)

// Kind is the kind of platform that a process uses.
type Kind string

// The kinds of platform.
const (
	// Memory is an in-memory platform inside the process, for trying the system
	// out.
	Memory Kind = "memory"
	// Service is a platform that is called over the network: a table service,
	// an object store and a host list.
	Service Kind = "service"
)

// Settings configure the platform. With kind "memory" no other field is used;
// with kind "service" all fields except the timeout are required.
type Settings struct {
	// Kind is "memory" or "service". Default: memory.
	Kind Kind `yaml:"kind"`
	// TableEndpoint is the URL of the table service, "http://ip:port".
	TableEndpoint string `yaml:"table-endpoint"`
	// Table is the name of the table.
	Table string `yaml:"table"`
	// ObjectEndpoint is the URL of the object store, "http://ip:port".
	ObjectEndpoint string `yaml:"object-endpoint"`
	// Bucket is the name of the bucket.
	Bucket string `yaml:"bucket"`
	// Region is the region for which requests are signed.
	Region string `yaml:"region"`
	// CredentialsFile is the path of a YAML file with access-key-id and
	// secret-access-key. It is read when the process starts; a relative path is
	// resolved against the directory of the settings file.
	CredentialsFile string `yaml:"credentials-file"`
	// HostList is the URL of the host list.
	HostList string `yaml:"host-list"`
	// Timeout is the timeout of one call to the platform. Default: 2s.
	Timeout time.Duration `yaml:"timeout"`
}

// SettingError is one error in the settings.
type SettingError struct {
	// Field is the name of the field in YAML.
	Field   string
	Message string
	// Fix says how to correct the error.
	Fix string
}

// Check returns all errors in the settings. It reads no file.
func (s Settings) Check() []SettingError {
	switch s.Kind {
	case "", Memory:
		return nil
	case Service:
		return s.checkService()
	default:
		return []SettingError{{Field: "kind", Message: "unknown kind " + string(s.Kind), Fix: "write memory or service"}}
	}
}

func (s Settings) checkService() []SettingError {
	var out []SettingError
	for _, f := range []struct{ field, value string }{
		{"table-endpoint", s.TableEndpoint}, {"object-endpoint", s.ObjectEndpoint}, {"host-list", s.HostList},
	} {
		if endpoint.CheckURL(f.value) != nil {
			out = append(out, SettingError{f.field, f.field + " is not a URL", "write it as http://ip:port or https://ip:port"})
		}
	}
	for _, f := range []struct{ field, value string }{
		{"table", s.Table}, {"bucket", s.Bucket}, {"region", s.Region}, {"credentials-file", s.CredentialsFile},
	} {
		if f.value == "" {
			out = append(out, SettingError{f.field, f.field + " is missing", "it is required with kind: service"})
		}
	}
	if s.Timeout < 0 {
		out = append(out, SettingError{"timeout", "timeout is negative", "write a time such as 2s"})
	}
	return out
}

// readCredentials reads a credentials file. The error lists every mistake in the
// file with its line and column.
func readCredentials(path string) (endpoint.Credentials, error) {
	var credentials endpoint.Credentials
	data, err := os.ReadFile(path)
	if err != nil {
		return credentials, errors.Wrap(err, "read platform credentials")
	}
	document, findings := yamlfile.Parse(path, data)
	if document == nil {
		return credentials, findings
	}
	positions, findings := document.Decode(&credentials, yamlfile.Options{})
	for _, f := range []struct{ field, value string }{
		{"access-key-id", credentials.AccessKeyID}, {"secret-access-key", credentials.SecretAccessKey},
	} {
		if f.value == "" {
			findings = append(findings, positions.Finding(f.field, f.field+" is missing", "add it to the credentials file"))
		}
	}
	return credentials, findings.Err()
}

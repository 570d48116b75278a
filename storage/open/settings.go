// Package open opens the platform that a process's settings name.
package open

import (
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/finding/yamlfile"
	"github.com/crocushinge/crocushinge/storage/endpoint"
)

// Kind says which platform a process uses.
type Kind string

// The kinds of platform.
const (
	// Memory is a platform inside the process, for a first run.
	Memory Kind = "memory"
	// Service is the platform's table service, object store and host list.
	Service Kind = "service"
)

// Settings says where the platform is. With the kind memory no other field is
// used; with the kind service every field but the timeout is required.
type Settings struct {
	// Kind is "memory" or "service". Default: memory.
	Kind Kind `yaml:"kind"`
	// TableEndpoint is the table service's address, "http://ip:port".
	TableEndpoint string `yaml:"table-endpoint"`
	// Table is the name of the table.
	Table string `yaml:"table"`
	// ObjectEndpoint is the object store's address, "http://ip:port".
	ObjectEndpoint string `yaml:"object-endpoint"`
	// Bucket is the name of the bucket.
	Bucket string `yaml:"bucket"`
	// Region is the region that requests are signed for.
	Region string `yaml:"region"`
	// CredentialsFile is the path of a YAML file with access-key-id and
	// secret-access-key. It is read at the start; a relative path starts at the
	// directory of the settings file.
	CredentialsFile string `yaml:"credentials-file"`
	// HostList is the URL of the host list.
	HostList string `yaml:"host-list"`
	// Timeout limits one call to the platform. Default: 2s.
	Timeout time.Duration `yaml:"timeout"`
}

// Fault is one fault of the settings.
type Fault struct {
	// Field is the field's name in YAML.
	Field   string
	Message string
	// Fix says how to mend it.
	Fix string
}

// Check returns all faults of the settings. It reads no file.
func (s Settings) Check() []Fault {
	switch s.Kind {
	case "", Memory:
		return nil
	case Service:
		return s.checkService()
	default:
		return []Fault{{Field: "kind", Message: "unknown kind " + string(s.Kind), Fix: "write memory or service"}}
	}
}

func (s Settings) checkService() []Fault {
	var out []Fault
	for _, f := range []struct{ field, value string }{
		{"table-endpoint", s.TableEndpoint}, {"object-endpoint", s.ObjectEndpoint}, {"host-list", s.HostList},
	} {
		if endpoint.CheckURL(f.value) != nil {
			out = append(out, Fault{f.field, f.field + " is no URL", "write it as http://ip:port or https://ip:port"})
		}
	}
	for _, f := range []struct{ field, value string }{
		{"table", s.Table}, {"bucket", s.Bucket}, {"region", s.Region}, {"credentials-file", s.CredentialsFile},
	} {
		if f.value == "" {
			out = append(out, Fault{f.field, f.field + " is missing", "it is required with kind: service"})
		}
	}
	if s.Timeout < 0 {
		out = append(out, Fault{"timeout", "timeout is negative", "write a time such as 2s"})
	}
	return out
}

// readCredentials reads a credentials file. The error names the file and the
// place of each fault.
func readCredentials(path string) (endpoint.Credentials, error) {
	var keys endpoint.Credentials
	data, err := os.ReadFile(path)
	if err != nil {
		return keys, errors.Wrap(err, "platform credentials")
	}
	document, findings := yamlfile.Parse(path, data)
	if document == nil {
		return keys, findings
	}
	places, findings := document.Decode(&keys, yamlfile.Options{})
	for _, f := range []struct{ field, value string }{
		{"access-key-id", keys.AccessKeyID}, {"secret-access-key", keys.SecretAccessKey},
	} {
		if f.value == "" {
			findings = append(findings, places.Finding(f.field, f.field+" is missing", "add it to the credentials file"))
		}
	}
	return keys, findings.Err()
}

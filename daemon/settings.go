package daemon

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"net"
	"os"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/finding"
	"github.com/crocushinge/crocushinge/platform/open"
	"github.com/crocushinge/crocushinge/zone"
)

// Settings is the YAML file of a daemon.
type Settings struct {
	// Host is the id of this host. Default: the fleet address.
	Host string `yaml:"host"`
	// Zone is the availability zone of this host. Required.
	Zone string `yaml:"zone"`
	// Address serves callers, "ip:port". Required.
	Address string `yaml:"address"`
	// APIAddress serves the caller directory and operators. Required.
	APIAddress string `yaml:"api-address"`
	// FleetAddress serves the other hosts. Required.
	FleetAddress string `yaml:"fleet-address"`
	// Seeds are fleet addresses of hosts to contact first. Default: none.
	Seeds []string `yaml:"seeds"`
	// Zones are the availability zones of the deployment.
	Zones []ZoneSettings `yaml:"zones"`
	// Platform says where the table, the objects and the host list are.
	Platform open.Settings `yaml:"platform"`
	// FleetToken is the credential between hosts.
	FleetToken string `yaml:"fleet-token"`
	// OperatorToken is the credential of operators.
	OperatorToken string `yaml:"operator-token"`
	// Accounts are the client accounts.
	Accounts []AccountSettings `yaml:"accounts"`
}

// ZoneSettings declares an availability zone.
type ZoneSettings struct {
	ID     string `yaml:"id"`
	Region string `yaml:"region"`
}

// AccountSettings declares a client account.
type AccountSettings struct {
	Name string `yaml:"name"`
	// KeySHA256 is the SHA-256 of the account's key in hexadecimal.
	KeySHA256 string `yaml:"key-sha256"`
}

// ReadSettings reads and checks a settings file. The error is a finding.List
// when the file could be read but has faults.
func ReadSettings(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	var s Settings
	if err := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict()).Decode(&s); err != nil {
		return Settings{}, finding.List{{File: path, Message: err.Error()}}
	}
	return s, s.Check(path).Err()
}

// Check returns the faults of the settings.
func (s *Settings) Check(path string) finding.List {
	var out finding.List
	report := func(message, fix string) {
		out = append(out, finding.Finding{File: path, Message: message, Fix: fix})
	}
	if s.Zone == "" {
		report("zone is missing", "name the availability zone of this host")
	}
	for _, a := range []struct{ name, value string }{
		{"address", s.Address}, {"api-address", s.APIAddress}, {"fleet-address", s.FleetAddress},
	} {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			report(a.name+" is not an address: "+err.Error(), "write it as ip:port")
		}
	}
	for _, f := range s.Platform.Check() {
		report("platform: "+f.Message, f.Fix)
	}
	for _, a := range s.Accounts {
		if sum, err := hex.DecodeString(a.KeySHA256); err != nil || len(sum) != sha256.Size {
			report("account "+a.Name+": key-sha256 is no SHA-256 in hexadecimal", "print one with: printf KEY | sha256sum")
		}
	}
	return out
}

func (s *Settings) zoneID() zone.ID { return zone.ID(s.Zone) }

func (s *Settings) zoneMap() *zone.Map {
	var zones []zone.Zone
	for _, z := range s.Zones {
		zones = append(zones, zone.Zone{ID: zone.ID(z.ID), Region: z.Region})
	}
	return zone.NewMap(zones, nil)
}

// knownZone returns the test for a declared zone, or nil when none is declared.
func (s *Settings) knownZone() func(zone.ID) bool {
	if len(s.Zones) == 0 {
		return nil
	}
	zones := s.zoneMap()
	return func(id zone.ID) bool {
		_, ok := zones.Zone(id)
		return ok
	}
}

func (s *Settings) accountNames() []string {
	out := make([]string, len(s.Accounts))
	for i, a := range s.Accounts {
		out[i] = a.Name
	}
	return out
}

func (s *Settings) accounts() []caller.Account {
	out := make([]caller.Account, len(s.Accounts))
	for i, a := range s.Accounts {
		out[i].Name = a.Name
		sum, _ := hex.DecodeString(a.KeySHA256)
		copy(out[i].KeyHash[:], sum)
	}
	return out
}

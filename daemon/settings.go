package daemon

import (
	"time"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/contract/contractfile"
	"github.com/crocushinge/crocushinge/storage/open"
	"github.com/crocushinge/crocushinge/zone"
)

// Settings is the YAML settings file of a daemon.
type Settings struct {
	// Host is the id of this host. Default: the fleet address.
	Host string `yaml:"host"`
	// Zone is the availability zone of this host. Required.
	Zone string `yaml:"zone"`
	// Address is where callers connect, as "ip:port". Required.
	Address string `yaml:"address"`
	// APIAddress serves the directory for callers, the operators' API and the
	// metrics. Required.
	APIAddress string `yaml:"api-address"`
	// FleetAddress is where the other hosts connect. Required.
	FleetAddress string `yaml:"fleet-address"`
	// CallerTLS, APITLS and FleetTLS name the TLS files of the three addresses. Set
	// all of them or none. Default: none, which means plain HTTP.
	CallerTLS TLSSettings `yaml:"caller-tls"`
	APITLS    TLSSettings `yaml:"api-tls"`
	FleetTLS  TLSSettings `yaml:"fleet-tls"`
	// Seeds are the fleet addresses of hosts to contact first. Default: none.
	Seeds []string `yaml:"seeds"`
	// Zones are the availability zones of the deployment. Default: none, which
	// allows any zone in contracts.
	Zones []ZoneSettings `yaml:"zones"`
	// Platform configures the metadata store, the object store and the host list.
	Platform open.Settings `yaml:"platform"`
	// FleetToken authenticates calls between hosts. Use FleetTokenFile instead,
	// except for a first run.
	FleetToken string `yaml:"fleet-token"`
	// FleetTokenFile is the path of the file with the fleet tokens, one per line.
	// The first is sent and all are accepted. The file is reloaded when it changes.
	FleetTokenFile string `yaml:"fleet-token-file"`
	// OperatorToken is the token of an operator named "operator", for a first
	// trial.
	OperatorToken string `yaml:"operator-token"`
	// Operators may change the configuration. Default: only the operator of
	// OperatorToken.
	Operators []OperatorSettings `yaml:"operators"`
	// Accounts are client accounts in addition to those in the published accounts
	// documents, for a first run. Default: none.
	Accounts []AccountSettings `yaml:"accounts"`
	// GracePeriod is the time from SIGTERM until whoever runs the host kills it. Requests then end
	// before that. Default: none, which means that a stopping host waits for the longest deadline of
	// the contracts in force.
	GracePeriod time.Duration `yaml:"grace-period"`
	// Distances are the latencies between zones. Default for a pair of zones:
	// 250us within a zone, 1.5ms within a region, 40ms between regions.
	Distances []DistanceSettings `yaml:"distances"`
}

// OperatorSettings declares an operator, with either a token file or the digest of a
// token.
type OperatorSettings struct {
	// Name is recorded in the history with each change that the operator makes.
	Name string `yaml:"name"`
	// TokenFile is the path of the file with the operator's tokens, one per line.
	// All are accepted. The file is reloaded when it changes.
	TokenFile string `yaml:"token-file"`
	// TokenSHA256 is the SHA-256 of the token in hexadecimal, as an alternative to
	// TokenFile.
	TokenSHA256 string `yaml:"token-sha256"`
}

// DistanceSettings declares the latency between two zones.
type DistanceSettings struct {
	From string `yaml:"from"`
	To   string `yaml:"to"`
	// OneWay is the one-way network latency, for example 1.5ms.
	OneWay time.Duration `yaml:"one-way"`
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
	// MoreKeySHA256 are further keys of the account.
	MoreKeySHA256 []string `yaml:"more-key-sha256"`
}

func (s *Settings) zoneID() zone.ID { return zone.ID(s.Zone) }

// zoneMap returns the declared zones and the distances between them.
func (s *Settings) zoneMap() *zone.Map {
	var zones []zone.Zone
	for _, z := range s.Zones {
		zones = append(zones, zone.Zone{ID: zone.ID(z.ID), Region: z.Region})
	}
	var distances []zone.Distance
	for _, d := range s.Distances {
		distances = append(distances, zone.Distance{A: zone.ID(d.From), B: zone.ID(d.To), OneWay: d.OneWay})
	}
	return zone.NewMap(zones, distances)
}

// knownZone returns a function that reports whether a zone is declared, or nil when
// the settings declare no zones.
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
		out[i].Keys, _ = contractfile.ParseKeys(a.KeySHA256, a.MoreKeySHA256)
	}
	return out
}

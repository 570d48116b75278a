package contractfile

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/finding"
	"github.com/crocushinge/crocushinge/finding/yamlfile"
	"github.com/crocushinge/crocushinge/zone"
)

// Defaults of the fields that a contract may omit.
const (
	defaultSlots        = 4
	defaultConnections  = 400
	defaultDeadline     = 5 * time.Second
	defaultGrace        = 30 * time.Second
	defaultInterval     = 10 * time.Second
	defaultQueueLength  = 64
	defaultQueueWait    = 500 * time.Millisecond
	defaultMaxBodyBytes = 1 << 20
)

// contractDocument is the YAML form of a contract.
type contractDocument struct {
	Service   string        `yaml:"service"`
	Kind      string        `yaml:"kind"`
	Protocol  string        `yaml:"protocol"`
	Targets   []target      `yaml:"targets"`
	Routes    []route       `yaml:"routes"`
	Floor     string        `yaml:"floor"`
	Leaving   leaving       `yaml:"leaving"`
	RateLimit rateLimit     `yaml:"rate-limit"`
	Health    health        `yaml:"health"`
	EchoesID  bool          `yaml:"echoes-id"`
	Weight    string        `yaml:"weight"`
	Queue     queue         `yaml:"queue"`
	Load      float64       `yaml:"load"`
	MaxBody   yamlfile.Size `yaml:"max-body"`
	Accounts  []string      `yaml:"accounts"`
	KeyOutage string        `yaml:"key-outage"`
}

type target struct {
	Name        string `yaml:"name"`
	Address     string `yaml:"address"`
	Zone        string `yaml:"zone"`
	Slots       int    `yaml:"slots"`
	Connections int    `yaml:"connections"`
}

type route struct {
	Path       string        `yaml:"path"`
	Authority  string        `yaml:"authority"`
	Methods    []string      `yaml:"methods"`
	Idempotent bool          `yaml:"idempotent"`
	Deadline   time.Duration `yaml:"deadline"`
}

type leaving struct {
	Header string        `yaml:"header"`
	Grace  time.Duration `yaml:"grace"`
}

type rateLimit struct {
	Header string `yaml:"header"`
}

type health struct {
	Path     string        `yaml:"path"`
	Interval time.Duration `yaml:"interval"`
}

type queue struct {
	Length int           `yaml:"length"`
	Wait   time.Duration `yaml:"wait"`
}

// SetDefaults implements yamlfile.Defaulter.
func (d *contractDocument) SetDefaults() {
	d.Protocol = string(contract.HTTP1)
	d.Weight = string(contract.WeightBalanced)
	d.KeyOutage = string(contract.KeyOutageRefuse)
	d.MaxBody = defaultMaxBodyBytes
}

// SetDefaults implements yamlfile.Defaulter.
func (t *target) SetDefaults() { t.Slots, t.Connections = defaultSlots, defaultConnections }

// SetDefaults implements yamlfile.Defaulter.
func (r *route) SetDefaults() { r.Deadline = defaultDeadline }

// SetDefaults implements yamlfile.Defaulter.
func (l *leaving) SetDefaults() { l.Grace = defaultGrace }

// SetDefaults implements yamlfile.Defaulter.
func (h *health) SetDefaults() { h.Interval = defaultInterval }

// SetDefaults implements yamlfile.Defaulter.
func (q *queue) SetDefaults() { q.Length, q.Wait = defaultQueueLength, defaultQueueWait }

func (f *File) readContract(doc *yamlfile.Document, opts yamlfile.Options) (*contract.Contract, finding.List) {
	var d contractDocument
	var findings finding.List
	f.positions, findings = doc.Decode(&d, opts)
	c := &contract.Contract{
		Service:   d.Service,
		Protocol:  contract.Protocol(d.Protocol),
		Leaving:   contract.Leaving(d.Leaving),
		RateLimit: contract.RateLimit(d.RateLimit),
		Health:    contract.Health(d.Health),
		EchoesID:  d.EchoesID,
		Weight:    contract.Weight(d.Weight),
		Queue:     contract.Queue(d.Queue),
		Load:      d.Load,
		MaxBody:   int64(d.MaxBody),
		Accounts:  d.Accounts,
		KeyOutage: contract.KeyOutagePolicy(d.KeyOutage),
	}
	for _, t := range d.Targets {
		c.Targets = append(c.Targets, contract.Target{
			Name: t.Name, Address: t.Address, Zone: zone.ID(t.Zone), Slots: t.Slots, Connections: t.Connections,
		})
	}
	for _, r := range d.Routes {
		c.Routes = append(c.Routes, contract.Route{
			Authority: r.Authority, Path: r.Path, Methods: r.Methods, Idempotent: r.Idempotent, Deadline: r.Deadline,
		})
	}
	if !f.positions.Has("floor") || f.positions.HasFinding("floor") {
		return c, findings
	}
	var err error
	if c.Floor, err = parseFloor(d.Floor); err != nil {
		findings = append(findings, f.positions.Finding("floor", "floor "+err.Error(),
			"write a number of slots such as 12, or a share such as 60%"))
	}
	return c, findings
}

// maxFloorSlots exceeds the capacity of any service.
const maxFloorSlots = 1 << 30

// parseFloor parses a number of slots ("12") or a percentage of the declared
// slots ("60%").
func parseFloor(s string) (contract.Floor, error) {
	number, percent := strings.CutSuffix(s, "%")
	n, err := strconv.Atoi(number)
	if err != nil || n < 0 || n > maxFloorSlots || (percent && n > 100) {
		return contract.Floor{}, errors.Errorf("%q is neither a number of slots nor a share up to 100%%", s)
	}
	if percent {
		return contract.Floor{Percent: n}, nil
	}
	return contract.Floor{Slots: n}, nil
}

// accountsDocument is the YAML form of an accounts document.
type accountsDocument struct {
	Kind     string    `yaml:"kind"`
	Name     string    `yaml:"name"`
	Accounts []account `yaml:"accounts"`
}

type account struct {
	Name      string `yaml:"name"`
	KeySHA256 string `yaml:"key-sha256"`
	// MoreKeySHA256 are further keys, so that a key can be replaced without an interruption.
	MoreKeySHA256 []string `yaml:"more-key-sha256"`
}

func (f *File) readAccounts(doc *yamlfile.Document, opts yamlfile.Options) (*contract.Accounts, finding.List) {
	var d accountsDocument
	var findings finding.List
	f.positions, findings = doc.Decode(&d, opts)
	accounts := &contract.Accounts{Name: d.Name}
	for i, a := range d.Accounts {
		keys, invalid := ParseKeys(a.KeySHA256, a.MoreKeySHA256)
		for _, problem := range invalid {
			path := "accounts[" + strconv.Itoa(i) + "]." + problem.Path
			if !f.positions.HasFinding(path) {
				findings = append(findings, f.positions.Finding(path, problem.Field+" of account "+a.Name+" "+ErrMalformedKeyHash.Error(),
					"print one with: printf KEY | sha256sum"))
			}
		}
		accounts.Accounts = append(accounts.Accounts, caller.Account{Name: a.Name, Keys: keys})
	}
	return accounts, findings
}

// MalformedKey is a key of an account that is not a SHA-256 in hexadecimal.
type MalformedKey struct {
	// Field is the name of the field, and Path its path within the account.
	Field, Path string
}

// ParseKeys parses the keys of an account: the first, and further ones. The digest of a malformed
// key is zero.
func ParseKeys(first string, more []string) (keys []caller.KeyDigest, malformed []MalformedKey) {
	add := func(text, field, path string) {
		digest, err := ParseKeyHash(text)
		if err != nil {
			malformed = append(malformed, MalformedKey{Field: field, Path: path})
		}
		keys = append(keys, digest)
	}
	add(first, "key-sha256", "key-sha256")
	for i, text := range more {
		add(text, "more-key-sha256", "more-key-sha256["+strconv.Itoa(i)+"]")
	}
	return keys, malformed
}

// ErrMalformedKeyHash is returned for a string that is not a SHA-256 in
// hexadecimal. In a finding, its text follows the name of the field.
var ErrMalformedKeyHash = errors.New("is not a SHA-256 in hexadecimal")

// ParseKeyHash parses the hexadecimal SHA-256 of a key or token. It fails with
// ErrMalformedKeyHash.
func ParseKeyHash(s string) (hash [sha256.Size]byte, err error) {
	sum, err := hex.DecodeString(s)
	if err != nil || len(sum) != sha256.Size {
		return hash, ErrMalformedKeyHash
	}
	copy(hash[:], sum)
	return hash, nil
}

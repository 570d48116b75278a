// Package contractfile reads contracts from YAML files.
package contractfile

import (
	"bytes"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/finding"
	"github.com/crocushinge/crocushinge/zone"
)

// Defaults of the fields that a contract may leave out.
const (
	defaultSlots       = 4
	defaultConnections = 400
	defaultDeadline    = 5 * time.Second
	defaultGrace       = 30 * time.Second
	defaultInterval    = 10 * time.Second
	defaultQueueLength = 64
	defaultQueueWait   = 500 * time.Millisecond
	defaultMaxBody     = 1 << 20
)

// document mirrors the YAML file of one contract.
type document struct {
	Service   string   `yaml:"service"`
	Protocol  string   `yaml:"protocol"`
	Targets   []target `yaml:"targets"`
	Routes    []route  `yaml:"routes"`
	Floor     string   `yaml:"floor"`
	Leaving   leaving  `yaml:"leaving"`
	Health    health   `yaml:"health"`
	Weight    string   `yaml:"weight"`
	Queue     queue    `yaml:"queue"`
	Load      float64  `yaml:"load"`
	MaxBody   int64    `yaml:"max-body"`
	Accounts  []string `yaml:"accounts"`
	KeyOutage string   `yaml:"key-outage"`
}

type target struct {
	Name        string `yaml:"name"`
	Address     string `yaml:"address"`
	Zone        string `yaml:"zone"`
	Slots       int    `yaml:"slots"`
	Connections int    `yaml:"connections"`
}

type route struct {
	Authority  string        `yaml:"authority"`
	Path       string        `yaml:"path"`
	Methods    []string      `yaml:"methods"`
	Idempotent bool          `yaml:"idempotent"`
	Deadline   time.Duration `yaml:"deadline"`
}

type leaving struct {
	Header string        `yaml:"header"`
	Grace  time.Duration `yaml:"grace"`
}

type health struct {
	Path     string        `yaml:"path"`
	Interval time.Duration `yaml:"interval"`
}

type queue struct {
	Length int           `yaml:"length"`
	Wait   time.Duration `yaml:"wait"`
}

// Parse reads one contract. All findings are returned together; the contract
// is nil when there are any.
func Parse(file string, data []byte) (*contract.Contract, finding.List) {
	var doc document
	dec := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict())
	if err := dec.Decode(&doc); err != nil && !errors.Is(err, io.EOF) {
		return nil, finding.List{syntaxFinding(file, err)}
	}
	c, findings := doc.contract(file)
	if len(findings) > 0 {
		return nil, findings
	}
	return c, nil
}

func syntaxFinding(file string, err error) finding.Finding {
	f := finding.Finding{File: file, Message: err.Error()}
	var yamlErr yaml.Error
	if errors.As(err, &yamlErr) {
		f.Message = yamlErr.GetMessage()
		if tk := yamlErr.GetToken(); tk != nil {
			f.Line, f.Column = tk.Position.Line, tk.Position.Column
		}
	}
	return f
}

func (d *document) contract(file string) (*contract.Contract, finding.List) {
	var findings finding.List
	report := func(message, fix string) {
		findings = append(findings, finding.Finding{File: file, Message: message, Fix: fix})
	}
	if d.Service == "" {
		report("service is missing", "add a line such as: service: catalogue")
	}
	if len(d.Targets) == 0 {
		report("targets is empty", "declare at least one target")
	}
	floor, err := parseFloor(d.Floor)
	if err != nil {
		report("floor: "+err.Error(), "write a number of slots such as 12, or a share such as 60%")
	}
	c := &contract.Contract{
		Service:   d.Service,
		Protocol:  contract.Protocol(orDefault(d.Protocol, string(contract.HTTP1))),
		Floor:     floor,
		Leaving:   contract.Leaving{Header: d.Leaving.Header, Grace: orDefault(d.Leaving.Grace, defaultGrace)},
		Health:    contract.Health{Path: d.Health.Path, Interval: orDefault(d.Health.Interval, defaultInterval)},
		Weight:    contract.Weight(orDefault(d.Weight, string(contract.WeightBalanced))),
		Queue:     contract.Queue{Length: orDefault(d.Queue.Length, defaultQueueLength), Wait: orDefault(d.Queue.Wait, defaultQueueWait)},
		Load:      d.Load,
		MaxBody:   orDefault(d.MaxBody, defaultMaxBody),
		Accounts:  d.Accounts,
		KeyOutage: contract.KeyOutage(orDefault(d.KeyOutage, string(contract.KeyOutageRefuse))),
	}
	for _, t := range d.Targets {
		c.Targets = append(c.Targets, contract.Target{
			Name:        t.Name,
			Address:     t.Address,
			Zone:        zone.ID(t.Zone),
			Slots:       orDefault(t.Slots, defaultSlots),
			Connections: orDefault(t.Connections, defaultConnections),
		})
	}
	for _, r := range d.Routes {
		c.Routes = append(c.Routes, contract.Route{
			Authority:  r.Authority,
			Path:       r.Path,
			Methods:    r.Methods,
			Idempotent: r.Idempotent,
			Deadline:   orDefault(r.Deadline, defaultDeadline),
		})
	}
	if floor.MinSlots(c.Slots()) > c.Slots() {
		report("floor is above the capacity of all targets", "lower the floor or add targets")
	}
	return c, findings
}

// parseFloor reads "12" (slots) or "60%" (of the declared slots).
func parseFloor(s string) (contract.Floor, error) {
	number, percent := strings.CutSuffix(s, "%")
	n, err := strconv.Atoi(number)
	if err != nil || n < 0 || (percent && n > 100) {
		return contract.Floor{}, errors.Errorf("%q is neither a number of slots nor a share", s)
	}
	if percent {
		return contract.Floor{Percent: n}, nil
	}
	return contract.Floor{Slots: n}, nil
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

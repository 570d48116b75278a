package daemon

import (
	"crypto/sha256"
	"encoding/hex"
	"net/netip"
	"path/filepath"
	"strconv"
	"time"

	"github.com/crocushinge/crocushinge/contract/contractfile"
	"github.com/crocushinge/crocushinge/finding"
	"github.com/crocushinge/crocushinge/finding/yamlfile"
)

// maxZoneDistance bounds the latency between two zones.
const maxZoneDistance = 10 * time.Second

// settingsCheck collects the faults of a settings file and fills in the
// credentials that it names by file.
type settingsCheck struct {
	settings *Settings
	places   *yamlfile.Places
	// dir is where relative file names start.
	dir      string
	findings finding.List
}

// report adds a finding unless the value could not be decoded.
func (c *settingsCheck) report(path, message, fix string) {
	if c.places.Faulty(path) {
		return
	}
	c.findings = append(c.findings, c.places.Finding(path, message, fix))
}

// absolute makes the name of a file start at the settings file's directory.
func (c *settingsCheck) absolute(path *string) {
	if *path != "" && !filepath.IsAbs(*path) {
		*path = filepath.Join(c.dir, *path)
	}
}

func (c *settingsCheck) run() {
	s := c.settings
	c.address("address", s.Address)
	c.address("api-address", s.APIAddress)
	c.address("fleet-address", s.FleetAddress)
	for i, seed := range s.Seeds {
		c.address(element("seeds", i, ""), seed)
	}
	c.tls()
	c.zones()
	c.platform()
	c.token("fleet-token", &s.FleetToken, &s.FleetTokenFile)
	c.operators()
	c.accounts()
}

func element(list string, i int, field string) string {
	path := list + "[" + strconv.Itoa(i) + "]"
	if field == "" {
		return path
	}
	return path + "." + field
}

func (c *settingsCheck) address(path, value string) {
	if value == "" {
		c.report(path, path+" is missing", "add it as ip:port, for example 10.0.0.5:8080")
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.report(path, path+" \""+value+"\" is not an address", "write it as ip:port, for example 10.0.0.5:8080")
	}
}

func (c *settingsCheck) zones() {
	s := c.settings
	declared := make(map[string]bool, len(s.Zones))
	for i, z := range s.Zones {
		if z.ID == "" {
			c.report(element("zones", i, "id"), "the zone has no id", "add a field such as id: lima-a")
		}
		if declared[z.ID] {
			c.report(element("zones", i, "id"), "zone "+z.ID+" is declared twice", "keep one of the two")
		}
		declared[z.ID] = true
	}
	if s.Zone == "" {
		c.report("zone", "zone is missing", "name the availability zone of this host")
	}
	c.zone("zone", s.Zone, declared)
	for i, d := range s.Distances {
		c.zone(element("distances", i, "from"), d.From, declared)
		c.zone(element("distances", i, "to"), d.To, declared)
		if d.OneWay <= 0 || d.OneWay > maxZoneDistance {
			c.report(element("distances", i, "one-way"), "one-way is "+d.OneWay.String(), "write a time from 1us to 10s")
		}
	}
}

// zone reports a zone that is not declared, when any is.
func (c *settingsCheck) zone(path, id string, declared map[string]bool) {
	if id != "" && len(declared) > 0 && !declared[id] {
		c.report(path, "zone "+id+" is not among zones", "declare it there or correct the name")
	}
}

func (c *settingsCheck) platform() {
	p := &c.settings.Platform
	c.absolute(&p.CredentialsFile)
	for _, f := range p.Check() {
		c.report("platform."+f.Field, "platform: "+f.Message, f.Fix)
	}
}

// token fills in a token from its file and reports one that is missing.
func (c *settingsCheck) token(path string, token, file *string) {
	switch {
	case *file != "" && *token != "":
		c.report(path, path+" and "+path+"-file are both given", "keep one of the two")
	case *file != "":
		var err error
		c.absolute(file)
		if *token, err = readToken(*file); err != nil {
			c.report(path+"-file", err.Error(), "write the token into that file")
		}
	case *token == "":
		c.report(path, path+" is missing or empty", "add "+path+"-file with the name of a file that holds it")
	}
}

func (c *settingsCheck) operators() {
	s := c.settings
	if s.OperatorToken == "" && c.places.Has("operator-token") {
		c.report("operator-token", "operator-token is empty", "write a token, or delete the line")
	}
	if s.OperatorToken == "" && len(s.Operators) == 0 {
		c.report("operators", "no operator is declared", "add operators: [{name: ana, token-file: ana.token}]")
	}
	names := make(map[string]bool)
	for i := range s.Operators {
		o := &s.Operators[i]
		if o.Name == "" || names[o.Name] {
			c.report(element("operators", i, "name"), "the operator's name is missing or taken", "give each operator a name")
		}
		names[o.Name] = true
		c.operatorToken(i, o)
	}
}

// operatorToken fills in the digest of an operator's token.
func (c *settingsCheck) operatorToken(i int, o *OperatorSettings) {
	if (o.TokenFile == "") == (o.TokenSHA256 == "") {
		c.report(element("operators", i, "token-file"), "operator "+o.Name+" needs one of token-file and token-sha256", "give one of them")
		return
	}
	if o.TokenFile == "" {
		if _, err := contractfile.ParseKeyHash(o.TokenSHA256); err != nil {
			c.report(element("operators", i, "token-sha256"), "token-sha256 of operator "+o.Name+" "+err.Error(), "print one with: printf TOKEN | sha256sum")
		}
		return
	}
	c.absolute(&o.TokenFile)
	token, err := readToken(o.TokenFile)
	if err != nil {
		c.report(element("operators", i, "token-file"), err.Error(), "write the token into that file")
		return
	}
	digest := sha256.Sum256([]byte(token))
	o.TokenSHA256 = hex.EncodeToString(digest[:])
}

func (c *settingsCheck) accounts() {
	for i, a := range c.settings.Accounts {
		if a.Name == "" {
			c.report(element("accounts", i, "name"), "the account has no name", "add a field such as name: bookshop")
		}
		if _, err := contractfile.ParseKeyHash(a.KeySHA256); err != nil {
			c.report(element("accounts", i, "key-sha256"), "key-sha256 of account "+a.Name+" "+err.Error(), "print one with: printf KEY | sha256sum")
		}
	}
}

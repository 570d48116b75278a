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

// maxZoneDistance is the maximum one-way latency between two zones.
const maxZoneDistance = 10 * time.Second

// settingsChecker validates a settings file and reads the tokens from the files
// named in it.
type settingsChecker struct {
	settings  *Settings
	positions *yamlfile.Positions
	// dir is the base directory of relative paths.
	dir      string
	findings finding.List
}

// addFinding adds a finding about the value at a path. It adds none when the value
// could not be decoded, because there is already a finding about that.
func (c *settingsChecker) addFinding(path, message, fix string) {
	if c.positions.HasFinding(path) {
		return
	}
	c.findings = append(c.findings, c.positions.Finding(path, message, fix))
}

// makeAbsolute resolves a relative path against the directory of the settings file.
func (c *settingsChecker) makeAbsolute(path *string) {
	if *path != "" && !filepath.IsAbs(*path) {
		*path = filepath.Join(c.dir, *path)
	}
}

func (c *settingsChecker) check() {
	s := c.settings
	c.checkAddress("address", s.Address)
	c.checkAddress("api-address", s.APIAddress)
	c.checkAddress("fleet-address", s.FleetAddress)
	for i, seed := range s.Seeds {
		c.checkAddress(listElementPath("seeds", i, ""), seed)
	}
	c.checkTLS()
	c.checkZones()
	c.checkPlatform()
	c.checkToken("fleet-token", &s.FleetToken, &s.FleetTokenFile)
	c.checkOperators()
	c.checkAccounts()
	c.checkGracePeriod()
}

// minGracePeriod is the shortest grace period. A host needs a part of a second to end its connections.
const minGracePeriod = time.Second

func (c *settingsChecker) checkGracePeriod() {
	if grace := c.settings.GracePeriod; grace != 0 && grace < minGracePeriod {
		c.addFinding("grace-period", "grace-period "+grace.String()+" is too short to stop", "write at least "+minGracePeriod.String()+", or leave it out")
	}
}

// listElementPath returns the path of a list element, or of one of its fields when
// field isn't empty.
func listElementPath(list string, i int, field string) string {
	path := list + "[" + strconv.Itoa(i) + "]"
	if field == "" {
		return path
	}
	return path + "." + field
}

func (c *settingsChecker) checkAddress(path, value string) {
	if value == "" {
		c.addFinding(path, path+" is missing", "add it as ip:port, for example 10.0.0.5:8080")
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.addFinding(path, path+" \""+value+"\" is not an address", "write it as ip:port, for example 10.0.0.5:8080")
	}
}

// checkZones validates the zones, the zone of this host and the distances.
func (c *settingsChecker) checkZones() {
	s := c.settings
	declared := make(map[string]bool, len(s.Zones))
	for i, z := range s.Zones {
		if z.ID == "" {
			c.addFinding(listElementPath("zones", i, "id"), "the zone has no id", "add a field such as id: lima-a")
		}
		if declared[z.ID] {
			c.addFinding(listElementPath("zones", i, "id"), "zone "+z.ID+" is declared twice", "keep one of the two")
		}
		declared[z.ID] = true
	}
	if s.Zone == "" {
		c.addFinding("zone", "zone is missing", "name the availability zone of this host")
	}
	c.checkZone("zone", s.Zone, declared)
	for i, d := range s.Distances {
		c.checkZone(listElementPath("distances", i, "from"), d.From, declared)
		c.checkZone(listElementPath("distances", i, "to"), d.To, declared)
		if d.OneWay <= 0 || d.OneWay > maxZoneDistance {
			c.addFinding(listElementPath("distances", i, "one-way"), "one-way is "+d.OneWay.String(), "write a time from 1us to 10s")
		}
	}
}

// checkZone adds a finding for a zone that is not declared. When the settings declare
// no zones, any zone is valid.
func (c *settingsChecker) checkZone(path, id string, declared map[string]bool) {
	if id != "" && len(declared) > 0 && !declared[id] {
		c.addFinding(path, "zone "+id+" is not among zones", "declare it there or correct the name")
	}
}

func (c *settingsChecker) checkPlatform() {
	p := &c.settings.Platform
	c.makeAbsolute(&p.CredentialsFile)
	for _, f := range p.Check() {
		c.addFinding("platform."+f.Field, "platform: "+f.Message, f.Fix)
	}
}

// checkToken reads a token from its file, if a file is named. It adds a finding when
// the token and the file are both given or both missing.
func (c *settingsChecker) checkToken(path string, token, file *string) {
	switch {
	case *file != "" && *token != "":
		c.addFinding(path, path+" and "+path+"-file are both given", "keep one of the two")
	case *file != "":
		var err error
		c.makeAbsolute(file)
		if *token, err = readToken(*file); err != nil {
			c.addFinding(path+"-file", err.Error(), "write the token into that file")
		}
	case *token == "":
		c.addFinding(path, path+" is missing or empty", "add "+path+"-file with the name of a file that holds it")
	}
}

func (c *settingsChecker) checkOperators() {
	s := c.settings
	if s.OperatorToken == "" && c.positions.Has("operator-token") {
		c.addFinding("operator-token", "operator-token is empty", "write a token, or delete the line")
	}
	if s.OperatorToken == "" && len(s.Operators) == 0 {
		c.addFinding("operators", "no operator is declared", "add operators: [{name: ana, token-file: ana.token}]")
	}
	names := make(map[string]bool)
	for i := range s.Operators {
		o := &s.Operators[i]
		if o.Name == "" || names[o.Name] {
			c.addFinding(listElementPath("operators", i, "name"), "the operator's name is missing or taken", "give each operator a name")
		}
		names[o.Name] = true
		c.checkOperatorToken(i, o)
	}
}

// checkOperatorToken validates the token settings of an operator. When the operator
// has a token file, it sets TokenSHA256 to the digest of the current token.
func (c *settingsChecker) checkOperatorToken(i int, o *OperatorSettings) {
	if (o.TokenFile == "") == (o.TokenSHA256 == "") {
		c.addFinding(listElementPath("operators", i, "token-file"), "operator "+o.Name+" needs one of token-file and token-sha256", "give one of them")
		return
	}
	if o.TokenFile == "" {
		if _, err := contractfile.ParseKeyHash(o.TokenSHA256); err != nil {
			c.addFinding(listElementPath("operators", i, "token-sha256"), "token-sha256 of operator "+o.Name+" "+err.Error(), "print one with: printf TOKEN | sha256sum")
		}
		return
	}
	c.makeAbsolute(&o.TokenFile)
	token, err := readToken(o.TokenFile)
	if err != nil {
		c.addFinding(listElementPath("operators", i, "token-file"), err.Error(), "write the token into that file")
		return
	}
	digest := sha256.Sum256([]byte(token))
	o.TokenSHA256 = hex.EncodeToString(digest[:])
}

func (c *settingsChecker) checkAccounts() {
	for i, a := range c.settings.Accounts {
		if a.Name == "" {
			c.addFinding(listElementPath("accounts", i, "name"), "the account has no name", "add a field such as name: bookshop")
		}
		_, malformed := contractfile.ParseKeys(a.KeySHA256, a.MoreKeySHA256)
		for _, key := range malformed {
			c.addFinding(listElementPath("accounts", i, key.Path), key.Field+" of account "+a.Name+" "+contractfile.ErrMalformedKeyHash.Error(), "print one with: printf KEY | sha256sum")
		}
	}
}

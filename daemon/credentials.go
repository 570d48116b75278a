package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/crocushinge/crocushinge/credential"
)

// credentialRefreshInterval is the time between two checks of the credential files
// for changes.
const credentialRefreshInterval = 10 * time.Second

// credentials holds the credentials that this host presents and those it accepts.
// One goroutine reloads their files; all others use the values in force.
type credentials struct {
	log zerolog.Logger
	// fleetTokens are the tokens for calls between hosts.
	fleetTokens *credential.Reloadable[credential.Tokens]
	// tlsKeys are indexed by server; nil for a server without TLS.
	tlsKeys   [serverCount]*credential.Reloadable[*credential.Keys]
	operators []operator
	sources   []*credentialSource
	// replacements counts the credentials that were replaced after their files
	// changed. rejectedReads counts the reads that found invalid credential files,
	// whose contents were ignored.
	replacements, rejectedReads atomic.Int64
	// oldTokenCalls counts calls by hosts with an accepted fleet token other than
	// the first in the file.
	oldTokenCalls atomic.Int64
	// failedHandshakes counts connections whose TLS handshake failed.
	failedHandshakes atomic.Int64
}

// credentialSource is a credential that is reloaded from its files.
type credentialSource struct {
	name    string
	refresh func() (bool, error)
	// lastFault is the error of the last read; empty when the files were valid. A
	// repeated error isn't logged again.
	lastFault string
}

// newCredentials reads the credential files named in the settings.
func newCredentials(s *Settings, log zerolog.Logger) (*credentials, error) {
	c := &credentials{log: log, operators: s.operators()}
	if err := c.readTokens(s); err != nil {
		return nil, err
	}
	for server, section := range s.tlsSections() {
		if !section.files.isSet() {
			continue
		}
		keys, err := section.loadKeys()
		if err != nil {
			return nil, errors.Wrap(err, section.name)
		}
		c.tlsKeys[server] = keys
		c.addSource(section.name, keys.Reload)
	}
	return c, nil
}

func (c *credentials) readTokens(s *Settings) error {
	c.fleetTokens = credential.Static(credential.Tokens{s.FleetToken})
	if s.FleetTokenFile != "" {
		tokens, err := credential.LoadTokens(s.FleetTokenFile)
		if err != nil {
			return err
		}
		c.fleetTokens = tokens
		c.addSource("fleet-token", tokens.Reload)
	}
	for i := range c.operators {
		o := &c.operators[i]
		if o.file == "" {
			continue
		}
		tokens, err := credential.LoadTokens(o.file)
		if err != nil {
			return err
		}
		o.tokens = tokens
		c.addSource("operator "+o.name, tokens.Reload)
	}
	return nil
}

func (c *credentials) addSource(name string, refresh func() (bool, error)) {
	c.sources = append(c.sources, &credentialSource{name: name, refresh: refresh})
}

// run reloads the files at regular intervals until ctx ends.
func (c *credentials) run(ctx context.Context) {
	runEvery(ctx, credentialRefreshInterval, c.refresh)
}

// refresh reloads all files and logs what changed.
func (c *credentials) refresh() {
	for _, s := range c.sources {
		replaced, err := s.refresh()
		fault := ""
		if err != nil {
			c.rejectedReads.Add(1)
			fault = err.Error()
		}
		switch {
		case replaced:
			c.replacements.Add(1)
			c.log.Info().Str("credential", s.name).Msg("credential replaced")
		case fault != "" && fault != s.lastFault:
			c.log.Error().Str("credential", s.name).Str("fault", fault).Msg("invalid credential files; the previous credential stays in force")
		case fault == "" && s.lastFault != "":
			c.log.Info().Str("credential", s.name).Msg("credential files valid again")
		}
		s.lastFault = fault
	}
}

// operatorByToken returns the name of the operator that a token belongs to.
func (c *credentials) operatorByToken(token string) (string, bool) {
	for _, o := range c.operators {
		if o.accepts(token) {
			return o.name, true
		}
	}
	return "", false
}

// acceptsFleetToken reports whether a token is an accepted fleet token.
func (c *credentials) acceptsFleetToken(token string) bool {
	tokens := c.fleetTokens.Load()
	if !tokens.Accepts(token) {
		return false
	}
	if token != tokens.Current() {
		c.oldTokenCalls.Add(1)
	}
	return true
}

// secondsUntilExpiry returns the remaining lifetime of a server's certificate. The
// server must have TLS.
func (c *credentials) secondsUntilExpiry(server int) int64 {
	return int64(time.Until(c.tlsKeys[server].Load().Expires()) / time.Second)
}

package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/crocushinge/crocushinge/credential"
)

// credentialInterval is the time between two looks at the files of credentials.
const credentialInterval = 10 * time.Second

// credentials are what this host proves itself by and what it accepts. One
// goroutine reads their files again; all others use what is in force.
type credentials struct {
	log   zerolog.Logger
	fleet *credential.Watched[credential.Tokens]
	// keys are the TLS keys of the servers; nil for one without TLS.
	keys      [serverCount]*credential.Watched[*credential.Keys]
	operators []operator
	sources   []*credentialSource
	// replaced counts credentials that were replaced, and faults the readings
	// of files at fault.
	replaced, faults atomic.Int64
	// oldTokens counts calls of hosts by a fleet token other than the first.
	oldTokens atomic.Int64
	// refusedHandshakes counts connections that ended in the TLS handshake.
	refusedHandshakes atomic.Int64
}

// credentialSource is one credential that is read again from its files.
type credentialSource struct {
	name    string
	refresh func() (bool, error)
	// fault is what was last logged against the files; empty when they are
	// good.
	fault string
}

// newCredentials reads the credentials that the settings name by file.
func newCredentials(s *Settings, log zerolog.Logger) (*credentials, error) {
	c := &credentials{log: log, operators: s.operators()}
	if err := c.readTokens(s); err != nil {
		return nil, err
	}
	for server, section := range s.tlsSections() {
		if !section.files.given() {
			continue
		}
		keys, err := section.watch()
		if err != nil {
			return nil, errors.Wrap(err, section.name)
		}
		c.keys[server] = keys
		c.watch(section.name, keys.Refresh)
	}
	return c, nil
}

func (c *credentials) readTokens(s *Settings) error {
	c.fleet = credential.Fixed(credential.Tokens{s.FleetToken})
	if s.FleetTokenFile != "" {
		tokens, err := credential.WatchTokens(s.FleetTokenFile)
		if err != nil {
			return err
		}
		c.fleet = tokens
		c.watch("fleet-token", tokens.Refresh)
	}
	for i := range c.operators {
		o := &c.operators[i]
		if o.file == "" {
			continue
		}
		tokens, err := credential.WatchTokens(o.file)
		if err != nil {
			return err
		}
		o.tokens = tokens
		c.watch("operator "+o.name, tokens.Refresh)
	}
	return nil
}

func (c *credentials) watch(name string, refresh func() (bool, error)) {
	c.sources = append(c.sources, &credentialSource{name: name, refresh: refresh})
}

// run reads the files again until ctx ends.
func (c *credentials) run(ctx context.Context) {
	every(ctx, credentialInterval, c.refresh)
}

// refresh reads all files again and logs what changed.
func (c *credentials) refresh() {
	for _, s := range c.sources {
		replaced, err := s.refresh()
		fault := ""
		if err != nil {
			c.faults.Add(1)
			fault = err.Error()
		}
		switch {
		case replaced:
			c.replaced.Add(1)
			c.log.Info().Str("credential", s.name).Msg("credential replaced")
		case fault != "" && fault != s.fault:
			c.log.Error().Str("credential", s.name).Str("fault", fault).Msg("credential files at fault; the earlier ones stay in force")
		case fault == "" && s.fault != "":
			c.log.Info().Str("credential", s.name).Msg("credential files good again")
		}
		s.fault = fault
	}
}

// operatorWith returns the name of the operator who has a token.
func (c *credentials) operatorWith(token string) (string, bool) {
	for _, o := range c.operators {
		if o.has(token) {
			return o.name, true
		}
	}
	return "", false
}

// acceptsPeer reports whether a token is the fleet's.
func (c *credentials) acceptsPeer(token string) bool {
	tokens := c.fleet.Load()
	if !tokens.Accepts(token) {
		return false
	}
	if token != tokens.Current() {
		c.oldTokens.Add(1)
	}
	return true
}

// secondsLeft returns the time until the certificate of a server expires, in
// seconds.
func (c *credentials) secondsLeft(server int) int64 {
	return int64(time.Until(c.keys[server].Load().Expires()) / time.Second)
}

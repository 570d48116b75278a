package client_test

import (
	"net/http"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/client"
	"github.com/crocushinge/crocushinge/credential/credentialtest"
	"github.com/crocushinge/crocushinge/daemon"
	"github.com/crocushinge/crocushinge/fleettest"
)

// A client that uses TLS must send nothing to a host whose certificate its CAs did
// not sign, and must reload a changed CA file.
func TestClientVerifiesHostsAndReloadsCAs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ca, files := credentialtest.NewCA(t), credentialtest.FilesIn(t.TempDir())
		files.Write(t, ca.Issue(), ca.PEM)
		network := fleettest.NewMemory(1)
		fleet := fleettest.New(fleettest.Config{Network: network, Log: zerolog.Nop(), Settings: func(s *daemon.Settings) {
			tls := daemon.TLSSettings{CertificateFile: files.Certificate, KeyFile: files.Key, CAFile: files.CA}
			s.CallerTLS, s.APITLS, s.FleetTLS = tls, tls, tls
		}})
		target, err := fleettest.StartTarget(network, "t0")
		is.NoErr(err)
		is.NoErr(fleet.Start("h0"))
		time.Sleep(5 * time.Second)
		_, err = fleet.Publish(t.Context(), "h0", "p", "prices", fleettest.Contract("prices", target), 0)
		is.NoErr(err)
		time.Sleep(5 * time.Second)

		callerCAs := t.TempDir() + "/ca.pem"
		is.NoErr(os.WriteFile(callerCAs, credentialtest.NewCA(t).PEM, 0o600))
		c, err := client.New(client.Config{
			Seeds: []string{fleet.Host("h0").Self().APIAddress}, Service: "prices", AccountKey: fleettest.Key,
			CAFile: callerCAs, Dial: network.At("shop").DialContext,
		})
		is.NoErr(err)
		order := client.Request{Method: http.MethodPost, Path: "/prices/orders/1"}
		resp, err := c.Do(t.Context(), order)
		is.True(err != nil) // it trusts no host
		is.Equal(resp.Result, caller.NotRun)

		is.NoErr(os.WriteFile(callerCAs, ca.PEM, 0o600))
		time.Sleep(10 * time.Second)
		resp, err = c.Do(t.Context(), order)
		is.NoErr(err)
		is.Equal(resp.Result, caller.Completed)
		is.Equal(len(target.Runs()), 1)

		is.NoErr(fleet.Close())
		is.NoErr(target.Close())
		time.Sleep(2 * time.Minute)
	})
}

// A given transport cannot be combined with a CA file, and a missing CA file is an
// error.
func TestInvalidTransportSettings(t *testing.T) {
	is := is.New(t)
	_, err := client.New(client.Config{Seeds: []string{"a:1"}, Service: "s", Transport: &http.Transport{}, CAFile: "ca.pem"})
	is.True(err != nil)
	_, err = client.New(client.Config{Seeds: []string{"a:1"}, Service: "s", CAFile: t.TempDir() + "/none.pem"})
	is.True(err != nil)
}

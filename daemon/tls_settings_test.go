package daemon

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/credential/credentialtest"
)

const tlsTokens = "fleet-token: x\noperator-token: y\n"

// writeKeyFiles creates a directory with the TLS files of an address.
func writeKeyFiles(t *testing.T, dir string, c credentialtest.Certificate, ca []byte) {
	t.Helper()
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	credentialtest.FilesIn(dir).Write(t, c, ca)
}

// tlsSettingsLine returns a TLS section that names the files in a directory.
func tlsSettingsLine(section, dir string) string {
	return section + ": {certificate-file: " + dir + "/host.pem, key-file: " + dir + "/host.key, ca-file: " + dir + "/ca.pem}\n"
}

func TestSettingsReportEveryTLSFindingWithItsPosition(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	ca := credentialtest.NewCA(t)
	expired := credentialtest.WithValidity(time.Unix(0, 0), time.Unix(3600, 0))
	writeKeyFiles(t, filepath.Join(dir, "caller"), credentialtest.Certificate{PEM: ca.Issue(expired).PEM, Key: ca.Issue().Key}, []byte("x"))
	writeKeyFiles(t, filepath.Join(dir, "fleet"), ca.Issue(credentialtest.ServerOnly, credentialtest.WithIP("10.0.0.9")), ca.PEM)
	is.NoErr(os.Chmod(filepath.Join(dir, "caller/host.key"), 0o644))
	_, err := ReadSettings(writeSettings(t, dir, validSettings+tlsTokens+
		tlsSettingsLine("caller-tls", "caller")+
		"api-tls: {certificate-file: none.pem}\n"+
		tlsSettingsLine("fleet-tls", "fleet")))
	is.True(err != nil)
	got := strings.ReplaceAll(err.Error(), dir+"/", "")
	wanted := []string{
		"host.yaml:9:32: certificate file caller/host.pem expired at 1970-01-01T01:00:00Z (have it renewed)",
		"host.yaml:9:59: key file caller/host.key does not fit the certificate",
		"host.yaml:9:59: key file caller/host.key is open to every user of the machine (run chmod 600 caller/host.key)",
		"host.yaml:9:85: CA file caller/ca.pem holds no certificate",
		"host.yaml:10:29: certificate-file: open none.pem",
		"host.yaml:10:10: key-file of api-tls is missing (name the file in PEM)",
		"host.yaml:11:31: certificate file fleet/host.pem does not name 127.0.0.1",
		"host.yaml:11:31: certificate file fleet/host.pem would be refused by the other hosts",
	}
	for _, want := range wanted {
		if !strings.Contains(got, want) {
			t.Errorf("no finding %q in:\n%s", want, got)
		}
	}
	is.Equal(strings.Count(got, "\n")+1, len(wanted))
}

// When only some addresses have TLS, the settings are invalid: an address without TLS
// would carry tokens in cleartext.
func TestTLSIsForAllAddressesOrNone(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	ca := credentialtest.NewCA(t)
	writeKeyFiles(t, filepath.Join(dir, "k"), ca.Issue(), ca.PEM)
	sections := []string{"caller-tls", "api-tls", "fleet-tls"}
	all := ""
	for _, section := range sections {
		all += tlsSettingsLine(section, "k")
	}
	s, err := ReadSettings(writeSettings(t, dir, validSettings+tlsTokens+all))
	is.NoErr(err)
	is.Equal(s.FleetTLS.CAFile, filepath.Join(dir, "k/ca.pem"))
	for _, section := range sections {
		without := strings.ReplaceAll(all, tlsSettingsLine(section, "k"), "")
		_, err := ReadSettings(writeSettings(t, dir, validSettings+tlsTokens+without))
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), section+" is missing while another address has TLS"))
	}
	_, err = ReadSettings(writeSettings(t, dir, validSettings+tlsTokens+"api-tls: {}\n"))
	is.True(err != nil) // an empty section doesn't mean plain HTTP
}

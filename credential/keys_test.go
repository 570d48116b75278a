package credential_test

import (
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/credential"
	"github.com/crocushinge/crocushinge/credential/credentialtest"
)

var loopback = netip.MustParseAddr("127.0.0.1")

func loadKeys(f credentialtest.Files) (*credential.Reloadable[*credential.Keys], error) {
	return credential.LoadKeys(
		credential.KeyFiles{Certificate: f.Certificate, Key: f.Key, CA: f.CA},
		credential.KeyOptions{Address: loopback, Mutual: true})
}

// Each fault of the files is reported once, with the setting that it belongs to.
func TestFaultsOfKeyFiles(t *testing.T) {
	ca, other := credentialtest.NewCA(t), credentialtest.NewCA(t)
	now := time.Now()
	for name, test := range map[string]struct {
		breakFiles func(is *is.I, f credentialtest.Files)
		want       string
	}{
		"no certificate file": {func(is *is.I, f credentialtest.Files) { is.NoErr(os.Remove(f.Certificate)) }, "certificate-file: certificate-file: open"},
		"no key file":         {func(is *is.I, f credentialtest.Files) { is.NoErr(os.Remove(f.Key)) }, "key-file: key-file: open"},
		"no CA file":          {func(is *is.I, f credentialtest.Files) { is.NoErr(os.Remove(f.CA)) }, "ca-file: ca-file: open"},
		"key of another certificate": {func(_ *is.I, f credentialtest.Files) {
			f.Write(t, credentialtest.Certificate{Key: ca.Issue().Key}, nil)
		}, "key-file: key file " + "KEY does not fit the certificate"},
		"empty CA file":       {func(is *is.I, f credentialtest.Files) { is.NoErr(os.Truncate(f.CA, 0)) }, "ca-file: CA file CA holds no certificate"},
		"not PEM":             {func(_ *is.I, f credentialtest.Files) { f.Write(t, credentialtest.Certificate{PEM: []byte("x")}, nil) }, "certificate-file: certificate file CERT holds no certificate"},
		"key readable by all": {func(is *is.I, f credentialtest.Files) { is.NoErr(os.Chmod(f.Key, 0o644)) }, "key-file: key file KEY is open to every user"},
		"expired":             {issue(t, ca, credentialtest.WithValidity(now.Add(-2*time.Hour), now.Add(-time.Hour))), "certificate-file: certificate file CERT expired at"},
		"not yet valid":       {issue(t, ca, credentialtest.WithValidity(now.Add(time.Hour), now.Add(2*time.Hour))), "certificate-file: certificate file CERT is not valid before"},
		"other host":          {issue(t, ca, credentialtest.WithIP("10.0.0.9")), "certificate-file: certificate file CERT does not name 127.0.0.1"},
		"other CA":            {issue(t, other), "certificate-file: certificate file CERT would be refused by the other hosts: x509: certificate signed by unknown authority"},
		"not for clients":     {issue(t, ca, credentialtest.ServerOnly), "certificate-file: certificate file CERT would be refused by the other hosts: x509: certificate specifies an incompatible key usage"},
		"valid":               {issue(t, ca), ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := credentialtest.FilesIn(t.TempDir())
			f.Write(t, ca.Issue(), ca.PEM)
			test.breakFiles(is, f)
			_, err := loadKeys(f)
			var faults credential.Faults
			is.Equal(errors.As(err, &faults), test.want != "")
			got := ""
			for _, fault := range faults {
				got += fault.Field + ": " + fault.Message
			}
			got = strings.NewReplacer(f.Certificate, "CERT", f.Key, "KEY", f.CA, "CA").Replace(got)
			is.True(len(faults) <= 1) // one fault is reported once
			is.True(strings.HasPrefix(got, test.want))
		})
	}
}

// issue returns a function that replaces the certificate and its key.
func issue(t *testing.T, ca *credentialtest.CA, changes ...credentialtest.Option) func(*is.I, credentialtest.Files) {
	return func(_ *is.I, f credentialtest.Files) { f.Write(t, ca.Issue(changes...), nil) }
}

// Faults of several files are reported together.
func TestFaultsOfKeyFilesAreReportedTogether(t *testing.T) {
	is := is.New(t)
	ca := credentialtest.NewCA(t)
	f := credentialtest.FilesIn(t.TempDir())
	f.Write(t, ca.Issue(credentialtest.WithIP("10.0.0.9"), credentialtest.WithValidity(time.Unix(0, 0), time.Unix(1, 0))), []byte("x"))
	is.NoErr(os.Chmod(f.Key, 0o604))
	_, err := loadKeys(f)
	var faults credential.Faults
	is.True(errors.As(err, &faults))
	is.Equal(len(faults), 4) // key file mode, CA file, IP address and expiry
}

// Refresh replaces the keys only if the new files have no faults; otherwise the old
// keys stay in use.
func TestRefreshReplacesKeysOnlyByValidOnes(t *testing.T) {
	is := is.New(t)
	ca := credentialtest.NewCA(t)
	f := credentialtest.FilesIn(t.TempDir())
	f.Write(t, ca.Issue(), ca.PEM)
	keys, err := loadKeys(f)
	is.NoErr(err)
	first := keys.Load()

	replaced, err := keys.Reload()
	is.NoErr(err)
	is.True(!replaced) // nothing changed

	f.Write(t, credentialtest.Certificate{PEM: ca.Issue().PEM}, nil) // the old key
	for range 2 {
		replaced, err = keys.Reload()
		is.True(err != nil)
		is.True(!replaced)
		is.Equal(keys.Load(), first)
	}

	until := time.Now().Add(time.Hour).Truncate(time.Second).UTC()
	f.Write(t, ca.Issue(credentialtest.WithValidity(time.Now().Add(-time.Hour), until)), nil)
	replaced, err = keys.Reload()
	is.NoErr(err)
	is.True(replaced)
	is.Equal(keys.Load().Expires(), until)

	is.NoErr(os.Remove(f.Key))
	_, err = keys.Reload()
	is.True(err != nil)
	is.Equal(keys.Load().Expires(), until)
}

// If the CA expires before the certificate, the expiry of the CA counts, unless
// another CA that is valid longer signed the certificate too.
func TestExpiryIncludesTheCA(t *testing.T) {
	is := is.New(t)
	ca := credentialtest.NewCA(t)
	f := credentialtest.FilesIn(t.TempDir())
	f.Write(t, ca.Issue(credentialtest.WithValidity(time.Now(), time.Now().Add(1000*credentialtest.Lifetime))), ca.PEM)
	keys, err := loadKeys(f)
	is.NoErr(err)
	is.True(keys.Load().Expires().Before(time.Now().Add(11 * credentialtest.Lifetime)))
}

func TestTokensOfAFile(t *testing.T) {
	is := is.New(t)
	file := t.TempDir() + "/token"
	write := func(text string) { is.NoErr(os.WriteFile(file, []byte(text), 0o600)) }
	write(" new \n\nold\n")
	tokens, err := credential.LoadTokens(file)
	is.NoErr(err)
	is.Equal(tokens.Load().Current(), "new")
	for token, accepted := range map[string]bool{"new": true, "old": true, "": false, "ne": false, "new \n\nold": false} {
		is.Equal(tokens.Load().Accepts(token), accepted)
	}
	write("\n")
	_, err = tokens.Reload()
	is.True(err != nil)
	is.True(tokens.Load().Accepts("old")) // an empty file does not replace the tokens
	write("new")
	replaced, err := tokens.Reload()
	is.NoErr(err)
	is.True(replaced)
	is.True(!tokens.Load().Accepts("old"))
	is.Equal(credential.Tokens(nil).Current(), "")
	is.True(!credential.Tokens(nil).Accepts(""))
}

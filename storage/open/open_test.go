package open

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// serviceSettings returns valid settings of kind service with a credentials file
// of the given content. Nothing listens at its addresses.
func serviceSettings(t *testing.T, credentials string) Settings {
	t.Helper()
	path := filepath.Join(t.TempDir(), "credentials.yaml")
	if err := os.WriteFile(path, []byte(credentials), 0o600); err != nil {
		t.Fatal(err)
	}
	return Settings{
		Kind: Service, TableEndpoint: "http://127.0.0.1:1", Table: "t", ObjectEndpoint: "http://127.0.0.1:1",
		Bucket: "b", Region: "r", CredentialsFile: path, HostList: "http://127.0.0.1:1/host-list",
	}
}

func TestOpenMakesNoCall(t *testing.T) {
	is := is.New(t)
	s := serviceSettings(t, "access-key-id: a\nsecret-access-key: s\n")
	is.Equal(len(s.Check()), 0)
	p, err := Open(s)
	is.NoErr(err)
	is.True(p.Table != nil && p.Objects != nil && p.HostList != nil)
	p, err = Open(Settings{})
	is.NoErr(err)
	is.True(p.Table != nil)
}

func TestCheckReportsEveryError(t *testing.T) {
	is := is.New(t)
	var fields []string
	for _, f := range (Settings{Kind: Service, TableEndpoint: "127.0.0.1:1", Timeout: -1}).Check() {
		fields = append(fields, f.Field)
		is.True(f.Message != "" && f.Fix != "")
	}
	is.Equal(strings.Join(fields, " "),
		"table-endpoint object-endpoint host-list table bucket region credentials-file timeout")
	is.Equal(Settings{Kind: "other"}.Check()[0].Field, "kind")
}

func TestCredentialsErrorsNameFileAndPosition(t *testing.T) {
	for document, want := range map[string]string{
		"access-key-id: a\n":                "secret-access-key is missing",
		"access-key-id: a\nsecret-key: s\n": "credentials.yaml:2:1",
		"":                                  "the file is empty",
		"access-key-id: [\n":                "credentials.yaml:",
		"access-key-id: a\nsecret-access-key: s\ntoken: more\n": "credentials.yaml:3:1",
	} {
		is := is.New(t)
		_, err := Open(serviceSettings(t, document))
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), want))
	}
	is := is.New(t)
	s := serviceSettings(t, "")
	s.CredentialsFile = "missing.yaml"
	_, err := Open(s)
	is.True(strings.Contains(err.Error(), "missing.yaml"))
}

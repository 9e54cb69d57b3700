package brsettings

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const valid = `{
  "vm": "vm-1", "domain": "montevideo-a",
  "callers": {"address": "127.0.0.1:7300", "tls": {"certificate": "vm.pem", "key": "vm.key"}, "limits": {"headerBytes": 2048}},
  "peers": {"address": "127.0.0.1:7400", "tls": {"certificate": "vm.pem", "key": "vm.key", "clientCA": "vms.pem"}},
  "operators": {"address": "127.0.0.1:7500", "plain": true, "openAdministration": true},
  "platform": {"table": "http://10.0.0.9:2379", "objects": "http://10.0.0.9:9000/b", "vms": "http://10.0.0.9:8500/vms"},
  "drain": {"lookups": "3s"}
}`

func TestParseSettings(t *testing.T) {
	settings, err := Parse([]byte(valid))
	require.NoError(t, err)
	require.Equal(t, "vm-1", settings.VM())
	require.Equal(t, "vms.pem", settings.Peers().TLS().ClientCA())
	require.Equal(t, 2048, settings.Callers().Limits().HeaderBytes())
	require.Equal(t, defaultConnections, settings.Callers().Limits().Connections())
	require.Equal(t, 3*time.Second, settings.Drain().Lookups())
	require.True(t, settings.Operators().Administration().Open())
}

func TestAllErrorsAreReportedAtOnceWithTheirPaths(t *testing.T) {
	_, err := Parse([]byte(`{
	  "vm": 7, "domain": "a b", "domain": "c",
	  "callers": {"address": "localhost:7300", "plain": "yes", "color": {"deep": 1}},
	  "peers": {"address": "127.0.0.1:0", "tls": {"certificate": "c", "secret": "s"}},
	  "operators": {"address": "127.0.0.1:7500", "plain": true, "tls": {}, "administratorTokenHash": "12", "limits": {"requests": 0, "headerBytes": 1.5, "idleTimeout": "-1s"}},
	  "platform": null,
	  "Drain": {}
	}`))
	require.True(t, IsErrInvalid(err))
	want := []string{
		"Drain: is unknown",
		"callers.address: must be an IP address with a port",
		"callers.color: is unknown",
		"callers.plain: must be true or false",
		"callers.tls: is missing; plain TCP must be enabled explicitly by plain: true",
		"domain: is duplicated",
		"operators.administratorTokenHash: must be a SHA-256 in 64 hexadecimal digits",
		"operators.limits.headerBytes: must be an integer from 1024 to 1048576",
		"operators.limits.idleTimeout: must be a duration from 10ms to 1h0m0s",
		"operators.limits.requests: must be an integer from 1 to 1048576",
		"operators.tls: must be omitted if plain is true",
		"peers.address: must be an IP address with a port",
		"peers.tls.clientCA: is missing",
		"peers.tls.key: is missing",
		"peers.tls.secret: is unknown",
		"platform: must be an object",
		"platform.objects: is missing",
		"platform.table: is missing",
		"platform.vms: is missing",
		"vm: must be a string",
	}
	require.Equal(t, want, strings.Split(err.Error(), "\n"))
}

func TestAccessToAdministrationMustBeExplicit(t *testing.T) {
	missing := strings.Replace(valid, `, "openAdministration": true`, "", 1)
	_, err := Parse([]byte(missing))
	require.ErrorContains(t, err, "operators.administratorTokenHash: must be set, unless openAdministration is true; not both")

	hash := strings.Repeat("0a", 32)
	settings, err := Parse([]byte(strings.Replace(valid, `"openAdministration": true`, `"administratorTokenHash": "`+hash+`"`, 1)))
	require.NoError(t, err)
	require.False(t, settings.Operators().Administration().Open())
	require.Equal(t, byte(0x0a), settings.Operators().Administration().TokenHash()[31])
}

func TestFrontsNeedDistinctAddresses(t *testing.T) {
	_, err := Parse([]byte(strings.Replace(valid, "7400", "7300", 1)))
	require.ErrorContains(t, err, "peers.address: must differ from callers.address")
}

func TestInputMustBeOneObject(t *testing.T) {
	for _, text := range []string{"", "null", "[]", "7", valid + "{}", valid[:len(valid)-2], strings.Repeat("[", 10_000)} {
		_, err := Parse([]byte(text))
		require.Error(t, err, text)
	}
}

// The operators' documentation must list every setting.
func TestDocumentationListsEverySetting(t *testing.T) {
	page, err := os.ReadFile("../../../docs/operators/settings.md")
	require.NoError(t, err)
	r := &reader{}
	parseSettings(r.section("", object{}))
	require.Greater(t, len(r.paths), 20)
	for _, path := range r.paths {
		front, rest, _ := strings.Cut(path, ".")
		if front == "callers" || front == "peers" || front == "operators" {
			common := strings.Contains(string(page), "`*."+rest+"`")
			require.True(t, common || strings.Contains(string(page), "`"+path+"`"), path)
			continue
		}
		require.Contains(t, string(page), "`"+path+"`")
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(`{"vm":{"a":[1,null,{"b":"\ud800"}]},"vm":1e999}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		settings, err := Parse(data)
		if err != nil {
			return
		}
		require.NotEmpty(t, settings.VM())
		require.NotEmpty(t, settings.Operators().Address())
	})
}

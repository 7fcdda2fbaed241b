package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const valid = `[instance]
name = entry-1
zone = zone-a
region = region-1
[listen]
callers = 127.0.0.1:7100
operators = 127.0.0.1:7101
peers = 127.0.0.1:7102
[platform]
store = http://127.0.0.1:7010
instances = http://127.0.0.1:7011
[keys]
peer-key = peer-key-of-16-bytes
operator-key = operator-key-of-16;#bytes
`

// TestParse guards against invalid settings that are accepted, and against faults that reveal a secret key.
func TestParse(t *testing.T) {
	cases := map[string]struct {
		before, after string
		want          []string
	}{
		"valid":             {"", "", nil},
		"unknown key":       {"zone = zone-a", "zone = zone-a\nzones = b", []string{"[instance] zones = b: unknown key"}},
		"unknown section":   {"[keys]", "[limits]\na = 1\n[keys]", []string{"[limits]: unknown section"}},
		"host name":         {"127.0.0.1:7100", "localhost:7100", []string{"callers = localhost:7100: not an address; allowed: IP:port"}},
		"one address twice": {"127.0.0.1:7101", "127.0.0.1:7100", []string{"the address of another listener"}},
		"store":             {"http://127.0.0.1:7010", "127.0.0.1:7010", []string{"store = 127.0.0.1:7010: not a URL"}},
		"short key":         {"peer-key-of-16-bytes", "short", []string{"[keys] peer-key: the key has 5 characters; allowed: 16 to 256"}},
		"key misspelt":      {"[keys]", "[keys]\npeer_key = secret-value", []string{"f: [keys] peer_key: unknown key"}},
		"key without name":  {"[keys]", "[keys]\nsecret-value", []string{"f: line 13: the line is not readable"}},
		"same keys":         {"operator-key-of-16;#bytes", "peer-key-of-16-bytes", []string{"operator-key: the same as peer-key"}},
		"part of tls":       {"[keys]", "[tls]\ncertificate = a.pem\n[keys]", []string{"1 of 3 files are set"}},
		"several":           {"[platform]", "[shutdown]\nbalancer-lag = 1h\n[log]\nlevel = x\n[platform]\ntimeout = 1", []string{"timeout = 1: not a duration", "balancer-lag = 1h: out of range", "level = x: not a whole number"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			parsed, faults := Parse("f", strings.Replace(valid, tc.before, tc.after, 1))
			is.Equal(len(faults), len(tc.want)) // all expected faults and no others
			for i, want := range tc.want {
				if !strings.Contains(faults[i].String(), want) || strings.Contains(faults[i].String(), "secret-value") {
					t.Errorf("fault %q does not contain %q, or contains the secret value", faults[i], want)
				}
			}
			if tc.want == nil {
				is.Equal(parsed.PlatformTimeout, time.Second)
				is.Equal(parsed.BalancerDelay, 5*time.Second)
				is.Equal(parsed.OperatorKey, "operator-key-of-16;#bytes")
			}
		})
	}
}

// TestExamples guards against example settings files that Parse rejects.
func TestExamples(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("../../examples/*/settings-*.ini")
	is.NoErr(err)
	is.Equal(len(files), 8)
	for _, file := range files {
		text, err := os.ReadFile(file)
		is.NoErr(err)
		_, faults := Parse(file, string(text))
		is.NoErr(faults.Err())
	}
}

// FuzzParse guards against a panic, and against accepting settings without the values that a process requires.
func FuzzParse(f *testing.F) {
	f.Add(valid)
	f.Add("[keys]\npeer-key = a-key-that-occurs-twice\npeer-key = a-key-that-occurs-twice\n")
	f.Fuzz(func(t *testing.T, text string) {
		parsed, faults := Parse("f", text)
		if len(faults) == 0 && (len(parsed.PeerKey) < minKeyBytes || parsed.StoreURL == "" || parsed.PlatformTimeout <= 0) {
			t.Fatalf("accepted %+v", parsed)
		}
	})
}

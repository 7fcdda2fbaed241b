// Package settings parses the INI settings file of one entry instance.
//
// Settings is a plain value that is not changed after Parse has returned it. Parse applies defaults, checks every key
// and reports all faults together. It opens no file itself, and the faults that it reports never contain keys or
// certificates.
package settings

import (
	"fmt"
	"net/url"
	"time"

	"github.com/medlarlatch/medlarlatch/internal/document"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// Settings are the settings that a process reads at its start.
type Settings struct {
	Instance fleet.InstanceID
	Zone     fleet.ZoneID
	Region   fleet.RegionID
	// Seed makes the random decisions of the process reproducible; 0 means a new random seed at each start.
	Seed uint64

	// CallerAddress, OperatorAddress and PeerAddress are the addresses (IP:port) of the listeners for callers,
	// operators and peers.
	CallerAddress, OperatorAddress, PeerAddress string

	// StoreURL and InstanceListURL are the base URLs of the platform's store and instance list; PlatformTimeout bounds
	// each call to either.
	StoreURL, InstanceListURL string
	PlatformTimeout           time.Duration

	// PeerKey authenticates entry instances to each other and is the same for all of them; OperatorKey authorises
	// requests to the operators' endpoints.
	PeerKey, OperatorKey string

	// CertificateFile, PrivateKeyFile and AuthorityFile are the paths of PEM files. All three are empty without TLS
	// between peers.
	CertificateFile, PrivateKeyFile, AuthorityFile string

	// BalancerDelay is the time for which the load balancer may continue to send requests to a leaving instance.
	BalancerDelay time.Duration
	// LogLevel is the verbosity of klog.
	LogLevel int
}

// minKeyBytes is the minimum length of a key: 16 characters of base64 carry 96 bits.
const minKeyBytes = 16

// knownKeys are the allowed keys of each section.
var knownKeys = map[string][]string{
	"instance": {"name", "zone", "region", "seed"},
	"listen":   {"callers", "operators", "peers"},
	"platform": {"store", "instances", "timeout"},
	"keys":     {"peer-key", "operator-key"},
	"tls":      {"certificate", "private-key", "authority"},
	"shutdown": {"balancer-lag"},
	"log":      {"level"},
}

const allowedSections = "[instance], [listen], [platform], [keys], [tls], [shutdown], [log]"

// Parse parses the text of a settings file; file is the name that the faults show. If there are faults, the returned
// settings are zero.
func Parse(file, text string) (Settings, document.Faults) {
	reader := document.NewReader(file, text)
	if len(text) > document.MaxBytes {
		return Settings{}, reader.Faults()
	}
	var s Settings
	s.readInstance(reader)
	s.readPlatform(reader)
	s.readSecrets(reader)
	if shutdown := reader.Section("shutdown"); shutdown.Present("balancer-lag") {
		s.BalancerDelay = shutdown.Duration("balancer-lag", 0, 5*time.Minute)
	} else {
		s.BalancerDelay = 5 * time.Second
	}
	if log := reader.Section("log"); log.Present("level") {
		s.LogLevel = log.Integer("level", 0, 10)
	}
	for _, section := range reader.Sections() {
		keys, ok := knownKeys[section.Name]
		if !ok {
			reader.AddFault(section.Name, "", "", "unknown section", allowedSections)
			continue
		}
		section.ReportUnknown(keys...)
	}
	if faults := reader.Faults(); len(faults) > 0 {
		return Settings{}, redactSecrets(faults)
	}
	return s, nil
}

// redactSecrets removes the values that may be secrets: those in the section [keys], and those of lines and keys
// outside any section.
func redactSecrets(faults document.Faults) document.Faults {
	for i := range faults {
		if faults[i].Section == "keys" || faults[i].Section == "" {
			faults[i].Value = ""
		}
	}
	return faults
}

func (s *Settings) readInstance(reader *document.Reader) {
	instance := reader.Section("instance")
	s.Instance = fleet.InstanceID(instance.RequiredName("name"))
	s.Zone = fleet.ZoneID(instance.RequiredName("zone"))
	s.Region = fleet.RegionID(instance.RequiredName("region"))
	if instance.Present("seed") {
		s.Seed = uint64(instance.Integer("seed", 0, 1<<62))
	}
	listen := reader.Section("listen")
	s.CallerAddress = listen.Address("callers")
	s.OperatorAddress = listen.Address("operators")
	s.PeerAddress = listen.Address("peers")
	if s.CallerAddress != "" && (s.CallerAddress == s.OperatorAddress || s.CallerAddress == s.PeerAddress) {
		listen.AddFault("callers", "the address of another listener", "an address of its own")
	}
	if s.OperatorAddress != "" && s.OperatorAddress == s.PeerAddress {
		listen.AddFault("operators", "the address of another listener", "an address of its own")
	}
}

func (s *Settings) readPlatform(reader *document.Reader) {
	platform := reader.Section("platform")
	s.StoreURL = readURL(platform, "store")
	s.InstanceListURL = readURL(platform, "instances")
	s.PlatformTimeout = time.Second
	if platform.Present("timeout") {
		s.PlatformTimeout = platform.Duration("timeout", 10*time.Millisecond, 30*time.Second)
	}
}

func readURL(section *document.Section, key string) string {
	const allowed = "a URL with http or https and a host, such as http://10.0.0.2:2400"
	text := section.OptionalText(key)
	parsed, err := url.Parse(text)
	switch {
	case !section.Present(key):
		section.AddFault(key, "the key is missing", allowed)
	case err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https":
		section.AddFault(key, "not a URL of the platform", allowed)
	case parsed.RawQuery != "" || parsed.Fragment != "" || parsed.User != nil:
		section.AddFault(key, "a URL with a query, a fragment or a user", allowed)
	}
	return text
}

func (s *Settings) readSecrets(reader *document.Reader) {
	keys := reader.Section("keys")
	s.PeerKey = readSecret(reader, keys, "peer-key")
	s.OperatorKey = readSecret(reader, keys, "operator-key")
	if s.PeerKey != "" && s.PeerKey == s.OperatorKey {
		reader.AddFault("keys", "operator-key", "", "the same as peer-key", "a key of its own")
	}
	tls := reader.Section("tls")
	s.CertificateFile, s.PrivateKeyFile, s.AuthorityFile = tls.OptionalText("certificate"), tls.OptionalText("private-key"), tls.OptionalText("authority")
	set := 0
	for _, file := range []string{s.CertificateFile, s.PrivateKeyFile, s.AuthorityFile} {
		if file != "" {
			set++
		}
	}
	if set != 0 && set != 3 {
		reader.AddFault("tls", "", "", fmt.Sprintf("%d of 3 files are set", set), "certificate, private-key and authority, or none")
	}
}

func readSecret(reader *document.Reader, section *document.Section, key string) string {
	secret := section.OptionalText(key)
	if len(secret) < minKeyBytes || len(secret) > 256 {
		reader.AddFault(section.Name, key, "", fmt.Sprintf("the key has %d characters", len(secret)), fmt.Sprintf("%d to 256 characters", minKeyBytes))
	}
	return secret
}

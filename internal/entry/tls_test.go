package entry

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/catalogue"
	"github.com/medlarlatch/medlarlatch/internal/fleet"
	"github.com/medlarlatch/medlarlatch/internal/settings"
)

// testAuthority is a certificate authority that signs the certificates of the tests.
type testAuthority struct {
	t    *testing.T
	key  *ecdsa.PrivateKey
	self *x509.Certificate
	file string
}

func newTestAuthority(t *testing.T) *testAuthority {
	t.Helper()
	a := &testAuthority{t: t, file: filepath.Join(t.TempDir(), "authority.pem")}
	check := is.New(t)
	var err error
	a.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	check.NoErr(err)
	a.self = &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority of the test"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	a.write(a.file, "CERTIFICATE", a.sign(a.self, &a.key.PublicKey))
	return a
}

func (a *testAuthority) sign(certificate *x509.Certificate, key *ecdsa.PublicKey) []byte {
	signed, err := x509.CreateCertificate(rand.Reader, certificate, a.self, key, a.key)
	is.New(a.t).NoErr(err)
	return signed
}

func (a *testAuthority) write(file, kind string, bytes []byte) {
	is.New(a.t).NoErr(os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: bytes}), 0o600))
}

// tlsSettings returns a function that configures an instance with a certificate for loopback, signed by this authority
// and valid until the given time, and with the authority that the instance trusts.
func (a *testAuthority) tlsSettings(until time.Time, trusted *testAuthority) func(*settings.Settings) {
	check := is.New(a.t)
	directory := a.t.TempDir()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	check.NoErr(err)
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	check.NoErr(err)
	certificate, private := filepath.Join(directory, "certificate.pem"), filepath.Join(directory, "key.pem")
	a.write(private, "PRIVATE KEY", encoded)
	a.write(certificate, "CERTIFICATE", a.sign(&x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "entry instance of the test"}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: until, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, &key.PublicKey))
	return func(s *settings.Settings) {
		s.CertificateFile, s.PrivateKeyFile, s.AuthorityFile = certificate, private, trusted.file
	}
}

// reaches reports whether the instance considers the peer reachable.
func (i *Instance) reaches(id fleet.InstanceID) bool {
	return i.members.reachability.Load().Contact(id).Reachable
}

// TestTLSBetweenInstances guards against TLS settings that are not applied to the connections between peers, and
// against a peer that is accepted by its peer key without a valid certificate.
func TestTLSBetweenInstances(t *testing.T) {
	check := is.New(t)
	d := newDeployment(t)
	d.configure(func(c catalogue.Catalogue) catalogue.Catalogue { return c })
	ours, others := newTestAuthority(t), newTestAuthority(t)
	later := time.Now().Add(time.Hour)
	first := d.startEntry(t, "entry-1", "zone-a", ours.tlsSettings(later, ours))
	second := d.startEntry(t, "entry-2", "zone-a", ours.tlsSettings(later, ours))
	refused := map[fleet.InstanceID]*Instance{
		"entry-3": d.startEntry(t, "entry-3", "zone-a", func(*settings.Settings) {}),                        // no TLS
		"entry-4": d.startEntry(t, "entry-4", "zone-a", others.tlsSettings(later, ours)),                    // another authority
		"entry-5": d.startEntry(t, "entry-5", "zone-a", ours.tlsSettings(time.Now().Add(-time.Hour), ours)), // expired
	}
	eventually(t, "peers with certificates reach each other", func() bool { return first.reaches("entry-2") && second.reaches("entry-1") })
	for id, instance := range refused {
		eventually(t, string(id)+" has tried", func() bool { return instance.node.Counts().FailedDials >= 2 })
	}
	// A newly listed instance counts as reachable until its heartbeats have failed.
	eventually(t, "refused instances are unreachable", func() bool {
		for id, instance := range refused {
			if first.reaches(id) || second.reaches(id) || instance.reaches("entry-1") || instance.reaches("entry-2") {
				return false
			}
		}
		return true
	})
	check.True(first.reaches("entry-2") && second.reaches("entry-1"))

	// Without a certificate of its own, a client that trusts the authority gets no answer.
	pool := x509.NewCertPool()
	text, err := os.ReadFile(ours.file)
	check.NoErr(err)
	check.True(pool.AppendCertsFromPEM(text))
	connection, err := tls.Dial("tcp", first.settings.PeerAddress, &tls.Config{RootCAs: pool, ServerName: "127.0.0.1"})
	if err == nil {
		defer func() { _ = connection.Close() }()
		check.NoErr(connection.SetDeadline(time.Now().Add(30 * time.Second)))
		_, err = connection.Read(make([]byte, 1))
	}
	check.True(err != nil)
	t.Log(err)
}

// TestTLSFiles guards against an instance that starts without TLS because its certificate files are unusable.
func TestTLSFiles(t *testing.T) {
	ours, others := newTestAuthority(t), newTestAuthority(t)
	text := filepath.Join(t.TempDir(), "text")
	is.New(t).NoErr(os.WriteFile(text, []byte("no certificate"), 0o600))
	applyValid := ours.tlsSettings(time.Now().Add(time.Hour), ours)
	other := settings.Settings{}
	others.tlsSettings(time.Now().Add(time.Hour), ours)(&other)
	cases := map[string]func(*settings.Settings){
		"no such certificate":          func(s *settings.Settings) { s.CertificateFile += ".missing" },
		"certificate is text":          func(s *settings.Settings) { s.CertificateFile = text },
		"key of another certificate":   func(s *settings.Settings) { s.PrivateKeyFile = other.PrivateKeyFile },
		"no such authority":            func(s *settings.Settings) { s.AuthorityFile += ".missing" },
		"authority has no certificate": func(s *settings.Settings) { s.AuthorityFile = text },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			s := settings.Settings{Instance: "entry-1", Zone: "zone-a", PeerKey: "a peer key of the tests"}
			applyValid(&s)
			change(&s)
			_, err := New(s)
			is.New(t).True(err != nil)
		})
	}
}

package entry

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"net/http"
	"os"

	"github.com/rotisserie/eris"

	"github.com/medlarlatch/medlarlatch/internal/settings"
)

// listeners are the sockets for callers, operators and peers.
type listeners struct {
	callers, operators, peers net.Listener
}

// listen opens all listeners, or none if one of them fails.
func (i *Instance) listen() (listeners, error) {
	var opened []net.Listener
	var err error
	open := func(address string) net.Listener {
		if err != nil {
			return nil
		}
		var listener net.Listener
		if listener, err = net.Listen("tcp", address); err == nil {
			opened = append(opened, listener)
		}
		return listener
	}
	all := listeners{callers: open(i.settings.CallerAddress), operators: open(i.settings.OperatorAddress), peers: open(i.settings.PeerAddress)}
	if err != nil {
		for _, listener := range opened {
			_ = listener.Close()
		}
		return listeners{}, eris.Wrap(err, "open listeners")
	}
	return all, nil
}

// ignoreClosed returns nil for an error that reports a server or listener closed on purpose, and err otherwise.
func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// loadTLS returns the TLS configuration for incoming and outgoing connections between peers. It is nil if no
// certificate is configured.
func loadTLS(s settings.Settings) (*tls.Config, error) {
	if s.CertificateFile == "" {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(s.CertificateFile, s.PrivateKeyFile)
	if err != nil {
		return nil, eris.Wrap(err, "load TLS certificate and private key")
	}
	text, err := os.ReadFile(s.AuthorityFile)
	if err != nil {
		return nil, eris.Wrap(err, "read TLS authority")
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(text) {
		return nil, eris.Errorf("TLS authority: no PEM certificate in %s", s.AuthorityFile)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{certificate}, RootCAs: authorities, ClientCAs: authorities,
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	}, nil
}

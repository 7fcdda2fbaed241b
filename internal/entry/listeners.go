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

type listeners struct {
	callers, operators, peers net.Listener
}

// listen opens all listeners or none.
func (i *Instance) listen() (listeners, error) {
	var opened []net.Listener
	var err error
	open := func(address string) net.Listener {
		if err != nil {
			return nil
		}
		var listening net.Listener
		if listening, err = net.Listen("tcp", address); err == nil {
			opened = append(opened, listening)
		}
		return listening
	}
	all := listeners{callers: open(i.settings.Callers), operators: open(i.settings.Operators), peers: open(i.settings.Peers)}
	if err != nil {
		for _, listening := range opened {
			_ = listening.Close()
		}
		return listeners{}, eris.Wrap(err, "listen")
	}
	return all, nil
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// loadTLS returns the configuration for both directions between peers; nil without certificates.
func loadTLS(s settings.Settings) (*tls.Config, error) {
	if s.Certificate == "" {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(s.Certificate, s.PrivateKey)
	if err != nil {
		return nil, eris.Wrap(err, "certificate")
	}
	text, err := os.ReadFile(s.Authority)
	if err != nil {
		return nil, eris.Wrap(err, "authority")
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(text) {
		return nil, eris.New("authority: no certificate in the file")
	}
	return &tls.Config{
		Certificates: []tls.Certificate{certificate}, RootCAs: authorities, ClientCAs: authorities,
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	}, nil
}

// Package tlsfiles makes TLS configurations from PEM files and reads the files
// again when they change, so that certificates are replaced without a restart.
package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/state/settings"
)

// lookInterval is the least time between two looks at the files.
const lookInterval = time.Second

// keyPair is a certificate that follows its files.
type keyPair struct {
	certFile, keyFile string

	mu      sync.Mutex
	cert    *tls.Certificate
	changed time.Time
	looked  time.Time
}

func (k *keyPair) get() (*tls.Certificate, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.cert != nil && time.Since(k.looked) < lookInterval {
		return k.cert, nil
	}
	k.looked = time.Now()
	info, err := os.Stat(k.certFile)
	if err != nil {
		return k.keep(fmt.Errorf("certificate: %w", err))
	}
	if k.cert != nil && info.ModTime().Equal(k.changed) {
		return k.cert, nil
	}
	cert, err := tls.LoadX509KeyPair(k.certFile, k.keyFile)
	if err != nil {
		return k.keep(fmt.Errorf("certificate: %w", err))
	}
	k.cert = &cert
	k.changed = info.ModTime()
	return k.cert, nil
}

// keep goes on with the known certificate while the files are being replaced.
func (k *keyPair) keep(err error) (*tls.Certificate, error) {
	if k.cert != nil {
		return k.cert, nil
	}
	return nil, err
}

// Server returns the configuration of a listener that asks for no certificate
// of its peer, or nil when TLS is off.
func Server(t settings.TLS) (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil
	}
	pair := &keyPair{certFile: t.Cert, keyFile: t.Key}
	if _, err := pair.get(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return pair.get() },
	}, nil
}

// Mutual returns a configuration for both sides of connections between
// entries, or nil when TLS is off. Each side must show a certificate of the
// authority; names are not checked, as peers are known by IP numbers.
func Mutual(t settings.TLS) (*tls.Config, error) {
	conf, err := Server(t)
	if conf == nil || err != nil {
		return nil, err
	}
	pem, err := os.ReadFile(t.Authority)
	if err != nil {
		return nil, fmt.Errorf("authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.New("authority: no certificate in the file")
	}
	pair := &keyPair{certFile: t.Cert, keyFile: t.Key}
	conf.ClientAuth = tls.RequireAndVerifyClientCert
	conf.ClientCAs = pool
	conf.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return pair.get() }
	// Names are not compared, but the chain is verified below.
	conf.InsecureSkipVerify = true
	conf.VerifyConnection = func(state tls.ConnectionState) error { return verify(state, pool) }
	return conf, nil
}

func verify(state tls.ConnectionState, pool *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer shows no certificate")
	}
	opts := x509.VerifyOptions{
		Roots:         pool,
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	}
	for _, c := range state.PeerCertificates[1:] {
		opts.Intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(opts)
	return err
}

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

// checkInterval is the least time between two looks at the files.
const checkInterval = time.Second

// certReloader is a certificate that follows its files.
type certReloader struct {
	certFile, keyFile string

	mu        sync.Mutex
	cert      *tls.Certificate
	modTime   time.Time
	checkedAt time.Time
}

func (r *certReloader) certificate() (*tls.Certificate, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cert != nil && time.Since(r.checkedAt) < checkInterval {
		return r.cert, nil
	}
	r.checkedAt = time.Now()
	info, err := os.Stat(r.certFile)
	if err != nil {
		return r.cachedOr(fmt.Errorf("certificate: %w", err))
	}
	if r.cert != nil && info.ModTime().Equal(r.modTime) {
		return r.cert, nil
	}
	cert, err := tls.LoadX509KeyPair(r.certFile, r.keyFile)
	if err != nil {
		return r.cachedOr(fmt.Errorf("certificate: %w", err))
	}
	r.cert = &cert
	r.modTime = info.ModTime()
	return r.cert, nil
}

// keep goes on with the known certificate while the files are being replaced.
func (r *certReloader) cachedOr(err error) (*tls.Certificate, error) {
	if r.cert != nil {
		return r.cert, nil
	}
	return nil, err
}

// Server returns the configuration of a listener that asks for no certificate
// of its peer, or nil when TLS is off.
func Server(t settings.TLS) (*tls.Config, error) {
	if !t.On() {
		return nil, nil
	}
	reloader := &certReloader{certFile: t.Cert, keyFile: t.Key}
	if _, err := reloader.certificate(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return reloader.certificate() },
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
	reloader := &certReloader{certFile: t.Cert, keyFile: t.Key}
	conf.ClientAuth = tls.RequireAndVerifyClientCert
	conf.ClientCAs = pool
	conf.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return reloader.certificate() }
	// Names are not compared, but the chain is verified below.
	conf.InsecureSkipVerify = true
	conf.VerifyConnection = func(state tls.ConnectionState) error { return verifyChain(state, pool) }
	return conf, nil
}

func verifyChain(state tls.ConnectionState, pool *x509.CertPool) error {
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

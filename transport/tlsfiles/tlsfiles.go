// Package tlsfiles builds TLS configurations from PEM files. Certificates are reloaded when their
// files change, so that they can be replaced without a restart.
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

// checkInterval is the minimum time between checks for changed files.
const checkInterval = time.Second

// certReloader provides a certificate and reloads it when its file changes.
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

// cachedOr returns the loaded certificate, or err if there is none. The files cannot be read, for
// example, while they are being replaced.
func (r *certReloader) cachedOr(err error) (*tls.Certificate, error) {
	if r.cert != nil {
		return r.cert, nil
	}
	return nil, err
}

// Server returns the configuration of a listener that requests no client certificates, or nil if
// TLS is off.
func Server(t settings.TLS) (*tls.Config, error) {
	if !t.Enabled() {
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

// Mutual returns the configuration for both ends of connections between entries, or nil if TLS is
// off. Each side must present a certificate issued by the authority. Names are not checked, because
// peers are known by IP address.
func Mutual(t settings.TLS) (*tls.Config, error) {
	conf, err := Server(t)
	if conf == nil || err != nil {
		return nil, err
	}
	pem, err := os.ReadFile(t.Authority)
	if err != nil {
		return nil, fmt.Errorf("read certificate authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.New("certificate authority file contains no certificate")
	}
	reloader := &certReloader{certFile: t.Cert, keyFile: t.Key}
	conf.ClientAuth = tls.RequireAndVerifyClientCert
	conf.ClientCAs = pool
	conf.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return reloader.certificate() }
	// Skips the check of names. VerifyConnection still verifies the chain.
	conf.InsecureSkipVerify = true
	conf.VerifyConnection = func(state tls.ConnectionState) error { return verifyChain(state, pool) }
	return conf, nil
}

func verifyChain(state tls.ConnectionState, pool *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer presented no certificate")
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

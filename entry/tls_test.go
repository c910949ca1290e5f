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
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/protocol/header"
	"github.com/rockcroft/rockcroft/state/settings"
	"github.com/rockcroft/rockcroft/transport/peers"
)

// testCA is a certificate authority for tests.
type testCA struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newTestCA(t *testing.T) *testCA {
	a := &testCA{t: t, dir: t.TempDir()}
	a.cert, a.key = a.sign("ca", &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "ca"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	})
	return a
}

// sign signs a certificate for a new key and writes both to NAME.crt and NAME.key.
func (a *testCA) sign(name string, c *x509.Certificate) (*x509.Certificate, *ecdsa.PrivateKey) {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	parent, signer := a.cert, a.key
	if parent == nil {
		parent, signer = c, key
	}
	der, err := x509.CreateCertificate(rand.Reader, c, parent, &key.PublicKey, signer)
	if err != nil {
		a.t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	a.write(name+".crt", "CERTIFICATE", der)
	a.write(name+".key", "EC PRIVATE KEY", keyDER)
	parsed, err := x509.ParseCertificate(der)
	if err != nil {
		a.t.Fatal(err)
	}
	return parsed, key
}

func (a *testCA) write(name, kind string, der []byte) {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(filepath.Join(a.dir, name), data, 0o600); err != nil {
		a.t.Fatal(err)
	}
}

// issue writes a certificate for the loopback address and returns the TLS settings
// that use it.
func (a *testCA) issue(name string, serial int64) settings.TLS {
	a.sign(name, &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.ParseIP("127.0.0.1")},
	})
	return settings.TLS{
		Cert: filepath.Join(a.dir, name+".crt"), Key: filepath.Join(a.dir, name+".key"),
		Authority: filepath.Join(a.dir, "ca.crt"),
	}
}

// TestPeersRequireACertificate checks that with TLS between entries two cells serve
// requests, and that the peer listener refuses clients without a certificate or with
// one from another authority.
func TestPeersRequireACertificate(t *testing.T) {
	ca := newTestCA(t)
	cluster := newTestCluster(t)
	cluster.editSettings = func(s *settings.Entry) { s.PeerTLS = ca.issue(s.ID, 2) }
	cluster.addEntry("entry-a", "a")
	cluster.addEntry("entry-b", "b")
	cluster.addUpstream("up-a", "a", nil)
	cluster.addUpstream("up-b", "b", nil)
	cluster.awaitVoters("a", 1)
	cluster.awaitVoters("b", 1)
	cluster.awaitDone(cluster.createAndConfirm(cluster.serviceSpec("svc", true)))
	cluster.awaitServed("svc")

	otherCA := newTestCA(t)
	foreign := otherCA.issue("foreign", 3)
	pair, err := tls.LoadX509KeyPair(foreign.Cert, foreign.Key)
	if err != nil {
		t.Fatal(err)
	}
	for name, conf := range map[string]*tls.Config{
		"no certificate":      {InsecureSkipVerify: true},
		"another authority's": {InsecureSkipVerify: true, Certificates: []tls.Certificate{pair}},
	} {
		client := &http.Client{Transport: &http.Transport{TLSClientConfig: conf}}
		_, addr, _ := cluster.entries[0].Addresses()
		req, err := http.NewRequest(http.MethodPost, "https://"+addr+peers.ForwardPrefix+"/svc/op", nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set(header.Key, "key-1")
		req.Header.Set(header.Hops, "1")
		resp, err := client.Do(req)
		if err == nil {
			_ = resp.Body.Close()
			t.Errorf("%s: answered %d", name, resp.StatusCode)
		}
	}
}

// TestCertificatesAreReloaded checks that a running entry uses a certificate that
// replaces the one on disk.
func TestCertificatesAreReloaded(t *testing.T) {
	ca := newTestCA(t)
	cluster := newTestCluster(t)
	cluster.editSettings = func(s *settings.Entry) { s.CallerTLS = ca.issue("callers", 2) }
	e := cluster.addEntry("entry", "a")
	serial := func() int64 {
		conn, err := tls.Dial("tcp", e.callers, &tls.Config{InsecureSkipVerify: true})
		if err != nil {
			return 0
		}
		defer func() { _ = conn.Close() }()
		return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
	}
	if got := serial(); got != 2 {
		t.Fatalf("serial %d", got)
	}
	ca.issue("callers", 9)
	later := time.Now().Add(time.Minute)
	if err := os.Chtimes(filepath.Join(ca.dir, "callers.crt"), later, later); err != nil {
		t.Fatal(err)
	}
	cluster.eventually("the new certificate", func() error {
		if got := serial(); got != 9 {
			return os.ErrNotExist
		}
		return nil
	})
}

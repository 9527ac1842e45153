package entry

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"testing"
	"time"

	"goldcrestpath/service"
)

// testCA issues certificates for 127.0.0.1.
type testCA struct {
	t    *testing.T
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	pool *x509.CertPool
}

func newTestCA(t *testing.T) *testCA {
	ca := &testCA{t: t, pool: x509.NewCertPool()}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	ca.cert, ca.key = ca.sign(template)
	ca.pool.AddCert(ca.cert)
	return ca
}

// sign signs with the authority's key, or self-signs the authority itself.
func (ca *testCA) sign(template *x509.Certificate) (*x509.Certificate, *ecdsa.PrivateKey) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		ca.t.Fatal(err)
	}
	parent, signer := ca.cert, ca.key
	if parent == nil {
		parent, signer = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		ca.t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		ca.t.Fatal(err)
	}
	return cert, key
}

// config returns settings of a VM whose certificate comes from ca and which trusts the authority of others.
func (ca *testCA) config(trusted *x509.CertPool) *tls.Config {
	cert, key := ca.sign(&x509.Certificate{
		SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	})
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{cert.Raw}, PrivateKey: key}},
		RootCAs:      trusted, ClientCAs: trusted,
	}
}

// Guards against a VM that accepts calls from clients without a certificate of the operators' authority.
func TestMutualTLS(t *testing.T) {
	ca, other := newTestCA(t), newTestCA(t)
	place := Place{Name: "jm-b/1", DataCentre: "jm-b"}
	server, err := NewNode(Config{Place: place.Name, DataCentre: place.DataCentre, Listen: "127.0.0.1:0", Incarnation: 1, TLS: ca.config(ca.pool)}, WithLocal(fakeLocal{}))
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	place.Address = server.Address()
	for _, tt := range []struct {
		name   string
		tls    *tls.Config
		served bool
	}{
		{"same authority", ca.config(ca.pool), true},
		{"certificate of another authority", other.config(ca.pool), false},
		{"no TLS", nil, false},
	} {
		client, err := NewNode(Config{Place: "jm-a/1", DataCentre: "jm-a", Listen: "127.0.0.1:0", Incarnation: 1, TLS: tt.tls})
		if err != nil {
			t.Fatal(err)
		}
		client.SetFleet([]Place{place}, nil, nil)
		_, err = client.Call(t.Context(), "jm-b", &service.Request{ID: "r1", Method: "GET"})
		if served := err == nil; served != tt.served {
			t.Errorf("%s: served %v, want %v (%v)", tt.name, served, tt.served, err)
		}
		client.Close()
	}
	if _, err := NewNode(Config{Place: "jm-a/1", DataCentre: "jm-a", Listen: "127.0.0.1:0", TLS: &tls.Config{RootCAs: ca.pool}}); err == nil {
		t.Error("accepted settings without a certificate")
	}
}

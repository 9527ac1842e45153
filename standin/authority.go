package standin

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
)

// certificateLifetime exceeds the duration of any test or demo.
const certificateLifetime = 24 * time.Hour

// Authority is a stand-in for the operators' certificate authority.
type Authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

// NewAuthority returns an authority with a new key and a self-signed certificate.
func NewAuthority() (*Authority, error) {
	a := &Authority{}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "stand-in authority"}, NotAfter: time.Now().Add(certificateLifetime),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	var err error
	a.cert, a.key, err = a.sign(template)
	return a, err
}

// Pool returns a certificate pool that trusts the authority.
func (a *Authority) Pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return pool
}

// Write issues a certificate for 127.0.0.1 and writes it, its key and the authority's certificate to the directory dir as
// certificate.pem, key.pem and authority.pem.
func (a *Authority) Write(dir string) error {
	cert, key, err := a.sign(&x509.Certificate{
		SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(certificateLifetime), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return err
	}
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return errors.Wrap(err, "encode key")
	}
	for _, f := range []struct {
		name, kind string
		der        []byte
	}{
		{"certificate.pem", "CERTIFICATE", cert.Raw}, {"key.pem", "PRIVATE KEY", der}, {"authority.pem", "CERTIFICATE", a.cert.Raw},
	} {
		data := pem.EncodeToMemory(&pem.Block{Type: f.kind, Bytes: f.der})
		if err := os.WriteFile(filepath.Join(dir, f.name), data, 0o600); err != nil {
			return errors.Wrap(err, "write certificate")
		}
	}
	return nil
}

// sign generates a key and issues a certificate for it from template. The authority signs it, or the new key itself while the
// authority has no certificate yet.
func (a *Authority) sign(template *x509.Certificate) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, errors.Wrap(err, "generate key")
	}
	parent, signer := a.cert, a.key
	if parent == nil {
		parent, signer = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return nil, nil, errors.Wrap(err, "sign certificate")
	}
	cert, err := x509.ParseCertificate(der)
	return cert, key, errors.Wrap(err, "sign certificate")
}

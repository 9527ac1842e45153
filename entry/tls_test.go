package entry

import (
	"crypto/tls"
	"path/filepath"
	"testing"

	"goldcrestpath/service"
	"goldcrestpath/standin"
)

// tlsConfig returns the TLS settings of a VM whose certificate was issued by one authority and which trusts another.
func tlsConfig(t *testing.T, issuer, trusted *standin.Authority) *tls.Config {
	t.Helper()
	dir := t.TempDir()
	if err := issuer.Write(dir); err != nil {
		t.Fatal(err)
	}
	cert, err := tls.LoadX509KeyPair(filepath.Join(dir, "certificate.pem"), filepath.Join(dir, "key.pem"))
	if err != nil {
		t.Fatal(err)
	}
	return &tls.Config{Certificates: []tls.Certificate{cert}, RootCAs: trusted.Pool(), ClientCAs: trusted.Pool()}
}

func newAuthority(t *testing.T) *standin.Authority {
	t.Helper()
	a, err := standin.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// Guards against a VM that accepts calls from clients without a certificate of a trusted authority, or that starts with
// incomplete TLS settings.
func TestMutualTLS(t *testing.T) {
	ca, other := newAuthority(t), newAuthority(t)
	vm := VM{Name: "jm-b/1", DataCentre: "jm-b"}
	server, err := NewNode(Config{VMName: vm.Name, DataCentre: vm.DataCentre, Listen: "127.0.0.1:0", Incarnation: 1, TLS: tlsConfig(t, ca, ca)}, WithForwardHandler(fakeForwardHandler{}))
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	vm.Address = server.Address()
	for _, tt := range []struct {
		name   string
		tls    *tls.Config
		served bool
	}{
		{"same authority", tlsConfig(t, ca, ca), true},
		{"certificate of another authority", tlsConfig(t, other, ca), false},
		{"no TLS", nil, false},
	} {
		client, err := NewNode(Config{VMName: "jm-a/1", DataCentre: "jm-a", Listen: "127.0.0.1:0", Incarnation: 1, TLS: tt.tls})
		if err != nil {
			t.Fatal(err)
		}
		client.SetFleet([]VM{vm}, nil, nil)
		_, err = client.Call(t.Context(), "jm-b", &service.Request{ID: "r1", Method: "GET"})
		if served := err == nil; served != tt.served {
			t.Errorf("%s: served %v, want %v (%v)", tt.name, served, tt.served, err)
		}
		client.Close()
	}
	if _, err := NewNode(Config{VMName: "jm-a/1", DataCentre: "jm-a", Listen: "127.0.0.1:0", TLS: &tls.Config{RootCAs: ca.Pool()}}); err == nil {
		t.Error("accepted settings without a certificate")
	}
}

package vm_test

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/http"
	"path/filepath"
	"slices"
	"testing"

	"goldcrestpath/operator"
	"goldcrestpath/standin"
	"goldcrestpath/vm"
)

// tlsVM starts a VM in data centre a whose three listeners use TLS.
func tlsVM(t *testing.T, ca *standin.Authority, name, peer, contact, api, log string) *vm.VM {
	t.Helper()
	dir := t.TempDir()
	if err := ca.Write(dir); err != nil {
		t.Fatal(err)
	}
	const files = "tlsCertificate = certificate.pem\ntlsKey = key.pem\n"
	text := fmt.Sprintf("[vm]\nplace = %s\ndataCentre = a\nstopDelay = 10ms\n[caller]\nlisten = %s\n"+files+
		"[peer]\nlisten = %s\ncontacts = %s\ntlsAuthority = authority.pem\n"+files+
		"[operator]\nlisten = %s\ntokenFile = token\n"+files+"[platform]\nlog = %s\n", name, freeAddress(t), peer, contact, api, log)
	return launch(t, dir, text)
}

// dialPeer opens a TLS connection to a peer listener and reads from it, because with TLS 1.3 the client learns only
// on the first read that the server has rejected its certificate.
func dialPeer(address string, trusted *x509.CertPool, certificates ...tls.Certificate) error {
	c, err := tls.Dial("tcp", address, &tls.Config{RootCAs: trusted, Certificates: certificates, NextProtos: []string{"h2"}})
	if err != nil {
		return err
	}
	defer c.Close()
	_, err = c.Read(make([]byte, 1))
	return err
}

// TestTLS guards against listeners that accept connections without TLS, clients that trust any server certificate,
// and VMs that accept a peer without a certificate of their authority.
func TestTLS(t *testing.T) {
	var cas [2]*standin.Authority
	var certificates [2]tls.Certificate
	for i := range cas {
		var err error
		if cas[i], err = standin.NewAuthority(); err != nil {
			t.Fatal(err)
		}
		dir := t.TempDir()
		if err := cas[i].Write(dir); err != nil {
			t.Fatal(err)
		}
		if certificates[i], err = tls.LoadX509KeyPair(filepath.Join(dir, "certificate.pem"), filepath.Join(dir, "key.pem")); err != nil {
			t.Fatal(err)
		}
	}
	ca, other := cas[0], cas[1]
	log, err := standin.NewLog("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(log.Close)
	peers, apis := []string{freeAddress(t), freeAddress(t)}, []string{freeAddress(t), freeAddress(t)}
	v := tlsVM(t, ca, "a/1", peers[0], peers[1], apis[0], log.Address())
	tlsVM(t, ca, "a/2", peers[1], peers[0], apis[1], log.Address())

	client := operator.NewClient(apis[0], operatorToken, operator.WithTLS(&tls.Config{RootCAs: ca.Pool()}))
	fleet := fmt.Sprintf("[dataCentre a]\nregion = r\n[vm a/1]\ndataCentre = a\naddress = %s\n[vm a/2]\ndataCentre = a\naddress = %s\n", peers[0], peers[1])
	waitFor(t, "publication", func() bool { _, err := client.Publish(t.Context(), "fleet", 0, []byte(fleet)); return err == nil })
	waitFor(t, "second VM in the view of the first", func() bool {
		s, err := client.Status(t.Context())
		return err == nil && slices.ContainsFunc(s.Members, func(m operator.MemberStatus) bool {
			return m.VMName == "a/2" && m.State == "alive"
		})
	})
	status := func(opts ...operator.ClientOption) func() error {
		return func() error {
			_, err := operator.NewClient(apis[0], operatorToken, opts...).Status(t.Context())
			return err
		}
	}
	health := func(scheme string, trusted *x509.CertPool) func() error {
		return func() error {
			transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: trusted}, DisableKeepAlives: true}
			resp, err := (&http.Client{Transport: transport}).Get(scheme + "://" + v.CallerAddress() + "/healthz")
			if err != nil {
				return err
			}
			resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				return fmt.Errorf("status %s", resp.Status)
			}
			return nil
		}
	}
	for _, tt := range []struct {
		name   string
		call   func() error
		served bool
	}{
		{"operators over TLS", status(operator.WithTLS(&tls.Config{RootCAs: ca.Pool()})), true},
		{"operators who trust another authority", status(operator.WithTLS(&tls.Config{RootCAs: other.Pool()})), false},
		{"operators without TLS", status(), false},
		{"caller over TLS", health("https", ca.Pool()), true},
		{"caller who trusts another authority", health("https", other.Pool()), false},
		{"caller without TLS", health("http", nil), false},
		{"peer with a certificate of the authority", func() error { return dialPeer(peers[0], ca.Pool(), certificates[0]) }, true},
		{"peer with a certificate of another authority", func() error { return dialPeer(peers[0], ca.Pool(), certificates[1]) }, false},
		{"peer without a certificate", func() error { return dialPeer(peers[0], ca.Pool()) }, false},
	} {
		if err := tt.call(); (err == nil) != tt.served {
			t.Errorf("%s: served %v, want %v (%v)", tt.name, err == nil, tt.served, err)
		}
	}
}

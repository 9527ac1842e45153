package operator

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"goldcrestpath/customer"
	"goldcrestpath/engine"
)

// Defaults of the settings.
const (
	defaultStopDelay      = 5 * time.Second
	defaultBodyLimit      = 16 << 20 // a prompt of 1,000,000 tokens has about 5 MB
	defaultClaimRetention = time.Hour
)

// minTokenLength is the shortest operators' token that is accepted.
const minTokenLength = 16

// Settings belong to one VM.
type Settings struct {
	file           string
	place          string
	dataCentre     string
	instance       string
	stopDelay      time.Duration
	callerListen   string
	bodyLimit      int
	callerTLS      tlsFiles
	peerListen     string
	peerContacts   []string
	peerTLS        tlsFiles
	operatorListen string
	tokenFile      string
	operatorTLS    tlsFiles
	log            string
	vmList         string
	weightStore    string
	claimRetention time.Duration
	logFormat      string
	logLevel       string
	policy         engine.Policy
}

var policies = map[string]engine.Policy{
	"affinity":         engine.PolicyAffinity,
	"roundRobin":       engine.PolicyRoundRobin,
	"leastOutstanding": engine.PolicyLeastOutstanding,
}

type tlsFiles struct{ certificate, key, authority string }

// LoadSettings reads a settings file. An error about its content is of type customer.Problems. The files that it names are
// not opened.
func LoadSettings(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, customer.Problems{{File: file, Allowed: "a readable file: " + err.Error()}}
	}
	return ParseSettings(file, data)
}

// ParseSettings reads settings from memory. The error is of type customer.Problems.
func ParseSettings(file string, data []byte) (*Settings, error) {
	f := parseINI(file, data)
	s := &Settings{file: file}

	vm := f.section("vm")
	s.place = vm.ident("place", true)
	s.dataCentre = vm.ident("dataCentre", true)
	s.instance = vm.ident("instance", false)
	s.stopDelay = vm.duration("stopDelay", 0, time.Hour, defaultStopDelay)

	caller := f.section("caller")
	s.callerListen = caller.address("listen", true)
	s.bodyLimit = caller.count("bodyLimit", 1<<10, 1<<30, false, defaultBodyLimit)
	s.callerTLS = caller.tls(false)

	peer := f.section("peer")
	s.peerListen = peer.address("listen", true)
	s.peerContacts = peer.addresses("contacts")
	s.peerTLS = peer.tls(true)

	operator := f.section("operator")
	s.operatorListen = operator.address("listen", false)
	s.tokenFile = operator.path("tokenFile", s.operatorListen != "")
	s.operatorTLS = operator.tls(false)

	platform := f.section("platform")
	s.log = platform.address("log", true)
	s.vmList = platform.address("vmList", false)
	s.weightStore = platform.address("weightStore", false)
	s.claimRetention = platform.duration("claimRetention", time.Second, 30*24*time.Hour, defaultClaimRetention)

	logging := f.section("log")
	s.logFormat = logging.choice("format", "text", "json")
	s.logLevel = logging.choice("level", "info", "debug", "warn", "error")

	routing := f.section("routing")
	s.policy = policies[routing.choice("policy", "affinity", "roundRobin", "leastOutstanding")]

	known := []*iniSection{vm, caller, peer, operator, platform, logging, routing}
	names := make([]string, len(known))
	for i, section := range known {
		section.done()
		names[i] = section.name
	}
	f.onlySections(names)
	if err := f.err(); err != nil {
		return nil, err
	}
	return s, nil
}

// onlySections reports the sections that are not among names.
func (f *iniFile) onlySections(names []string) {
	allowed := "the sections [" + strings.Join(names, "], [") + "]"
	for _, s := range f.sections {
		found := false
		for _, name := range names {
			found = found || s.name == name
		}
		if !found {
			f.problem(s.name, "", "", allowed)
		}
	}
}

// tls reads the keys of TLS, which stand together or not at all.
func (s *iniSection) tls(authority bool) tlsFiles {
	t := tlsFiles{certificate: s.path("tlsCertificate", false), key: s.path("tlsKey", false)}
	if authority {
		t.authority = s.path("tlsAuthority", false)
	}
	given := t.certificate != "" || t.key != "" || t.authority != ""
	if given && t.certificate == "" {
		s.problem("tlsCertificate", "a file path where other TLS keys are set")
	}
	if given && t.key == "" {
		s.problem("tlsKey", "a file path where other TLS keys are set")
	}
	if given && authority && t.authority == "" {
		s.problem("tlsAuthority", "a file path where other TLS keys are set")
	}
	return t
}

// Place returns the VM's place, such as jm-a/1.
func (s *Settings) Place() string { return s.place }

// DataCentre returns the VM's data centre.
func (s *Settings) DataCentre() string { return s.dataCentre }

// Instance returns the name that the platform's VM list gives this VM, or "".
func (s *Settings) Instance() string { return s.instance }

// StopDelay returns how long the callers' listener stays open after readiness is off, for the load balancer.
func (s *Settings) StopDelay() time.Duration { return s.stopDelay }

// CallerListen returns the address for callers.
func (s *Settings) CallerListen() string { return s.callerListen }

// BodyLimit returns the longest request body of a caller in bytes.
func (s *Settings) BodyLimit() int { return s.bodyLimit }

// PeerListen returns the address for other entry VMs.
func (s *Settings) PeerListen() string { return s.peerListen }

// PeerContacts returns addresses of entry VMs to begin with.
func (s *Settings) PeerContacts() []string { return s.peerContacts }

// OperatorListen returns the address for operators, or "" where the API is off.
func (s *Settings) OperatorListen() string { return s.operatorListen }

// LogAddress returns the address of the platform's log.
func (s *Settings) LogAddress() string { return s.log }

// VMListAddress returns the address of the VM list, or "".
func (s *Settings) VMListAddress() string { return s.vmList }

// WeightStoreAddress returns the address of the weight store, or "".
func (s *Settings) WeightStoreAddress() string { return s.weightStore }

// ClaimRetention returns how long an idempotency key is held.
func (s *Settings) ClaimRetention() time.Duration { return s.claimRetention }

// LogFormat returns text or json.
func (s *Settings) LogFormat() string { return s.logFormat }

// LogLevel returns debug, info, warn or error.
func (s *Settings) LogLevel() string { return s.logLevel }

// Policy returns the routing policy.
func (s *Settings) Policy() engine.Policy { return s.policy }

// Token reads the operators' token from its file.
func (s *Settings) Token() (string, error) {
	data, err := os.ReadFile(s.resolve(s.tokenFile))
	if err != nil {
		return "", errors.Wrap(err, "read operators' token")
	}
	token := strings.TrimSpace(string(data))
	if len(token) < minTokenLength {
		return "", errors.Errorf("%s: the token has %d characters; at least %d are needed", s.tokenFile, len(token), minTokenLength)
	}
	return token, nil
}

// CallerTLS reads the callers' certificate. The result is nil where TLS is off.
func (s *Settings) CallerTLS() (*tls.Config, error) { return s.tlsConfig(s.callerTLS) }

// PeerTLS reads the certificate and the authority for connections between entry VMs, in which both sides show a
// certificate. The result is nil where TLS is off.
func (s *Settings) PeerTLS() (*tls.Config, error) { return s.tlsConfig(s.peerTLS) }

// OperatorTLS reads the certificate of the operators' API. The result is nil where TLS is off.
func (s *Settings) OperatorTLS() (*tls.Config, error) { return s.tlsConfig(s.operatorTLS) }

func (s *Settings) tlsConfig(t tlsFiles) (*tls.Config, error) {
	if t.certificate == "" {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(s.resolve(t.certificate), s.resolve(t.key))
	if err != nil {
		return nil, errors.Wrap(err, "load certificate")
	}
	cfg := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{certificate}}
	if t.authority == "" {
		return cfg, nil
	}
	pool, err := LoadAuthority(s.resolve(t.authority))
	if err != nil {
		return nil, err
	}
	cfg.RootCAs, cfg.ClientCAs, cfg.ClientAuth = pool, pool, tls.RequireAndVerifyClientCert
	return cfg, nil
}

// LoadAuthority reads the certificates of an authority in PEM form.
func LoadAuthority(file string) (*x509.CertPool, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "load authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errors.Errorf("load authority: %s holds no PEM certificate", file)
	}
	return pool, nil
}

// resolve takes relative paths from the directory of the settings file.
func (s *Settings) resolve(path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(s.file), path)
}

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

// Defaults of optional settings.
const (
	defaultStopDelay      = 5 * time.Second
	defaultBodyLimit      = 16 << 20 // bytes; a prompt of 1,000,000 tokens has about 5 MB
	defaultClaimRetention = time.Hour
)

// minTokenLength is the minimum length of the operators' token in bytes.
const minTokenLength = 16

// Settings are the settings of one VM.
type Settings struct {
	file               string
	vmName             string
	dataCentre         string
	instance           string
	stopDelay          time.Duration
	callerListen       string
	bodyLimit          int
	callerTLS          tlsFiles
	peerListen         string
	peerContacts       []string
	peerTLS            tlsFiles
	operatorListen     string
	tokenFile          string
	operatorTLS        tlsFiles
	logAddress         string
	vmListAddress      string
	weightStoreAddress string
	claimRetention     time.Duration
	logFormat          string
	logLevel           string
	policy             engine.SelectionPolicy
}

// policies are the routing policies by their names in the settings file.
var policies = map[string]engine.SelectionPolicy{
	"affinity":         engine.PolicyAffinity,
	"roundRobin":       engine.PolicyRoundRobin,
	"leastOutstanding": engine.PolicyLeastOutstanding,
}

// tlsFiles are the paths of PEM files. They are empty if TLS is off.
type tlsFiles struct{ certificate, key, authority string }

// LoadSettings reads a settings file. It does not open the files that the settings refer to. The error is of type
// customer.Problems.
func LoadSettings(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, customer.Problems{{File: file, Allowed: "a readable file: " + err.Error()}}
	}
	return ParseSettings(file, data)
}

// ParseSettings parses the content of a settings file. The error is of type customer.Problems.
func ParseSettings(file string, data []byte) (*Settings, error) {
	f := parseINI(file, data)
	s := &Settings{file: file}

	vm := f.section("vm")
	s.vmName = vm.ident("place", true)
	s.dataCentre = vm.ident("dataCentre", true)
	s.instance = vm.ident("instance", false)
	s.stopDelay = vm.duration("stopDelay", 0, time.Hour, defaultStopDelay)

	caller := f.section("caller")
	s.callerListen = caller.address("listen", true)
	s.bodyLimit = caller.integer("bodyLimit", 1<<10, 1<<30, false, defaultBodyLimit)
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
	s.logAddress = platform.address("log", true)
	s.vmListAddress = platform.address("vmList", false)
	s.weightStoreAddress = platform.address("weightStore", false)
	s.claimRetention = platform.duration("claimRetention", time.Second, 30*24*time.Hour, defaultClaimRetention)

	logging := f.section("log")
	s.logFormat = logging.choice("format", "text", "json")
	s.logLevel = logging.choice("level", "info", "debug", "warn", "error")

	routing := f.section("routing")
	s.policy = policies[routing.choice("policy", "affinity", "roundRobin", "leastOutstanding")]

	sections := []*iniSection{vm, caller, peer, operator, platform, logging, routing}
	names := make([]string, len(sections))
	for i, section := range sections {
		section.reportUnknownKeys()
		names[i] = section.name
	}
	f.reportUnknownSections(names)
	if err := f.err(); err != nil {
		return nil, err
	}
	return s, nil
}

// reportUnknownSections adds a problem for each section that is not among names.
func (f *iniFile) reportUnknownSections(names []string) {
	allowed := "the sections [" + strings.Join(names, "], [") + "]"
	for _, s := range f.sections {
		found := false
		for _, name := range names {
			found = found || s.name == name
		}
		if !found {
			f.addProblem(s.name, "", "", allowed)
		}
	}
}

// tls reads the keys for TLS. Either all of them or none have to be set. tlsAuthority is one of them only if authority is true.
func (s *iniSection) tls(authority bool) tlsFiles {
	t := tlsFiles{certificate: s.path("tlsCertificate", false), key: s.path("tlsKey", false)}
	if authority {
		t.authority = s.path("tlsAuthority", false)
	}
	given := t.certificate != "" || t.key != "" || t.authority != ""
	if given && t.certificate == "" {
		s.addProblem("tlsCertificate", "a file path where other TLS keys are set")
	}
	if given && t.key == "" {
		s.addProblem("tlsKey", "a file path where other TLS keys are set")
	}
	if given && authority && t.authority == "" {
		s.addProblem("tlsAuthority", "a file path where other TLS keys are set")
	}
	return t
}

// VMName returns the VM's fixed name in its data centre, such as jm-a/1.
func (s *Settings) VMName() string { return s.vmName }

// DataCentre returns the VM's data centre.
func (s *Settings) DataCentre() string { return s.dataCentre }

// Instance returns the name of this VM in the platform's VM list, or "" if it is not set.
func (s *Settings) Instance() string { return s.instance }

// StopDelay returns how long the listener for callers stays open after the VM has reported that it is not ready, so that the
// load balancer can stop sending connections.
func (s *Settings) StopDelay() time.Duration { return s.stopDelay }

// CallerListen returns the address at which requests of callers are accepted.
func (s *Settings) CallerListen() string { return s.callerListen }

// BodyLimit returns the maximum size in bytes of a caller's request body.
func (s *Settings) BodyLimit() int { return s.bodyLimit }

// PeerListen returns the address at which connections of other entry VMs are accepted.
func (s *Settings) PeerListen() string { return s.peerListen }

// PeerContacts returns the addresses of entry VMs that this VM contacts first to find the others.
func (s *Settings) PeerContacts() []string { return s.peerContacts }

// OperatorListen returns the address of the operators' API, or "" if the API is off.
func (s *Settings) OperatorListen() string { return s.operatorListen }

// LogAddress returns the address of the platform's log.
func (s *Settings) LogAddress() string { return s.logAddress }

// VMListAddress returns the address of the platform's VM list, or "" if it is not set.
func (s *Settings) VMListAddress() string { return s.vmListAddress }

// WeightStoreAddress returns the address of the platform's weight store, or "" if it is not set.
func (s *Settings) WeightStoreAddress() string { return s.weightStoreAddress }

// ClaimRetention returns how long the claim of an idempotency key is retained.
func (s *Settings) ClaimRetention() time.Duration { return s.claimRetention }

// LogFormat returns the format of the log, text or json.
func (s *Settings) LogFormat() string { return s.logFormat }

// LogLevel returns the lowest level that is logged: debug, info, warn or error.
func (s *Settings) LogLevel() string { return s.logLevel }

// Policy returns the policy by which engines are selected.
func (s *Settings) Policy() engine.SelectionPolicy { return s.policy }

// Token reads the operators' token from its file.
func (s *Settings) Token() (string, error) {
	data, err := os.ReadFile(s.resolvePath(s.tokenFile))
	if err != nil {
		return "", errors.Wrap(err, "read operators' token")
	}
	token := strings.TrimSpace(string(data))
	if len(token) < minTokenLength {
		return "", errors.Errorf("%s: the token has %d characters; at least %d are needed", s.tokenFile, len(token), minTokenLength)
	}
	return token, nil
}

// CallerTLS loads the certificate of the listener for callers. The result is nil if TLS is off.
func (s *Settings) CallerTLS() (*tls.Config, error) { return s.tlsConfig(s.callerTLS) }

// PeerTLS loads the certificate and the certificate authority for mutual TLS between entry VMs. The result is nil if TLS is
// off.
func (s *Settings) PeerTLS() (*tls.Config, error) { return s.tlsConfig(s.peerTLS) }

// OperatorTLS loads the certificate of the operators' API. The result is nil if TLS is off.
func (s *Settings) OperatorTLS() (*tls.Config, error) { return s.tlsConfig(s.operatorTLS) }

// tlsConfig loads the PEM files of t. With a certificate authority, a listener requires and verifies client certificates.
func (s *Settings) tlsConfig(t tlsFiles) (*tls.Config, error) {
	if t.certificate == "" {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(s.resolvePath(t.certificate), s.resolvePath(t.key))
	if err != nil {
		return nil, errors.Wrap(err, "load certificate")
	}
	cfg := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{certificate}}
	if t.authority == "" {
		return cfg, nil
	}
	pool, err := LoadCertPool(s.resolvePath(t.authority))
	if err != nil {
		return nil, err
	}
	cfg.RootCAs, cfg.ClientCAs, cfg.ClientAuth = pool, pool, tls.RequireAndVerifyClientCert
	return cfg, nil
}

// LoadCertPool loads the PEM certificates of a certificate authority.
func LoadCertPool(file string) (*x509.CertPool, error) {
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

// resolvePath interprets a relative path as relative to the directory of the settings file.
func (s *Settings) resolvePath(path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(s.file), path)
}

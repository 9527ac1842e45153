package operator

import (
	"net/netip"
	"os"
	"strconv"
	"time"

	"goldcrestpath/customer"
)

// GatewaySettings are the settings of one VM in a deployment whose platform provides the routes and endpoints.
type GatewaySettings struct {
	name, dataCentre, storeAddress     string
	metricsListen                      string
	callerListen, readyListen          string
	peerAddress                        string
	peerPort                           int
	memoryMiB                          int
	linkMbps                           float64
	configurationDelay                 time.Duration
	drainDelay                         time.Duration
	stopGrace                          time.Duration
	retryRatio, retryAllowance         float64
	retryWindow                        time.Duration
	maxReservation, reservationRelease time.Duration
	coldFactor, coldAllowance          float64
	descriptors                        int
	contracts                          []string
	fairShares                         bool
	learnPaces, weighDataCentres       bool
	spareSlots                         int
}

// gatewaySections are the sections of a gateway's settings file. Only such a file has the first one.
var gatewaySections = []string{"gateway", "caller", "peer", "limits", "sharing", "placement"}

// Bounds of the number of file descriptors.
const (
	MinDescriptors = 64
	MaxDescriptors = 1 << 20
)

// maxSpareSlots bounds the setting spareSlots.
const maxSpareSlots = 1024

// Defaults of the settings that the platform may leave out, and the upper bound of all durations.
const (
	defaultConfigurationDelay = 2 * time.Second
	defaultDrainDelay         = 2 * time.Second
	defaultStopGrace          = 8 * time.Second
	defaultRetryWindow        = 10 * time.Second
	defaultMaxReservation     = 20 * time.Second
	defaultReservationRelease = 4 * time.Second
	defaultDescriptors        = 1024
	maxDurationSetting        = time.Hour
)

// GatewayOption replaces a setting of the file.
type GatewayOption func(*GatewaySettings)

// WithDescriptors replaces the number of file descriptors that the process may have open.
func WithDescriptors(n int) GatewayOption { return func(s *GatewaySettings) { s.descriptors = n } }

// WithContracts replaces the names of the platform's contracts that are in force.
func WithContracts(names []string) GatewayOption {
	return func(s *GatewaySettings) { s.contracts = names }
}

// LoadGatewaySettings reads a gateway's settings file. The error is of type customer.Problems.
func LoadGatewaySettings(file string, opts ...GatewayOption) (*GatewaySettings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, customer.Problems{{File: file, Allowed: "a readable file: " + err.Error()}}
	}
	return ParseGatewaySettings(file, data, opts...)
}

// ParseGatewaySettings parses the content of a gateway's settings file. The error is of type customer.Problems.
func ParseGatewaySettings(file string, data []byte, opts ...GatewayOption) (*GatewaySettings, error) {
	f := parseINI(file, data)
	s := &GatewaySettings{}

	gateway := f.section("gateway")
	s.name = gateway.ident("name", true)
	s.dataCentre = gateway.ident("dataCentre", true)
	s.storeAddress = gateway.address("store", true)
	s.metricsListen = gateway.address("metricsListen", false)

	caller := f.section("caller")
	s.callerListen = caller.address("listen", true)
	s.readyListen = caller.address("readyListen", true)

	peer := f.section("peer")
	s.peerAddress = parseKey(peer, "address", "an IP address", true, "", func(v string) (string, bool) {
		_, err := netip.ParseAddr(v)
		return v, err == nil
	})
	s.peerPort = parseKey(peer, "ports", "the first and the last free port, separated by a comma", true, 0, parseFirstPort)

	limits := f.section("limits")
	s.memoryMiB = limits.integer("memory", 16, 1<<20, false, 256)
	s.linkMbps = limits.nonNegative("linkRate", 1000)
	s.configurationDelay = limits.duration("configurationDelay", 100*time.Millisecond, maxDurationSetting, defaultConfigurationDelay)
	s.drainDelay = limits.duration("drainDelay", 100*time.Millisecond, maxDurationSetting, defaultDrainDelay)
	s.stopGrace = limits.duration("stopGrace", time.Second, maxDurationSetting, defaultStopGrace)
	s.retryRatio = limits.nonNegative("retryRatio", 0.2)
	s.retryAllowance = limits.nonNegative("retryExtra", 10)
	s.retryWindow = limits.duration("retryWindow", time.Second, maxDurationSetting, defaultRetryWindow)
	s.maxReservation = limits.duration("reservation", time.Second, maxDurationSetting, defaultMaxReservation)
	s.reservationRelease = limits.duration("reservationFree", time.Second, maxDurationSetting, defaultReservationRelease)
	s.coldFactor = limits.nonNegative("coldFactor", 1)
	s.coldAllowance = limits.nonNegative("coldExtra", 0)

	s.descriptors = limits.integer("descriptors", MinDescriptors, MaxDescriptors, false, defaultDescriptors)

	sharing := f.section("sharing")
	s.fairShares = sharing.flag("fairShares")
	if list, ok := sharing.value("contracts"); ok {
		s.contracts = splitList(list)
	}

	placement := f.section("placement")
	s.learnPaces = placement.flag("learnPaces")
	s.weighDataCentres = placement.flag("weighDataCentres")
	s.spareSlots = placement.integer("spareSlots", 1, maxSpareSlots, false, 0)

	for _, section := range []*iniSection{gateway, caller, peer, limits, sharing, placement} {
		section.reportUnknownKeys()
	}
	f.reportUnknownSections(gatewaySections)
	if err := f.err(); err != nil {
		return nil, err
	}
	for _, opt := range opts {
		opt(s)
	}
	return s, nil
}

// parseFirstPort returns the first port of a range "first, last". The last port is not checked.
func parseFirstPort(v string) (int, bool) {
	ports := splitList(v)
	first, err := strconv.Atoi(ports[0])
	return first, err == nil && first > 0 && first < 1<<16 && len(ports) == 2
}

// nonNegative reads an optional number of at least 0.
func (s *iniSection) nonNegative(key string, defaultValue float64) float64 {
	return parseKey(s, key, "a number of at least 0", false, defaultValue, func(v string) (float64, bool) {
		n, err := strconv.ParseFloat(v, 64)
		return n, err == nil && n >= 0 && n < 1e12
	})
}

// Name returns the VM's name.
func (s *GatewaySettings) Name() string { return s.name }

// DataCentre returns the VM's data centre.
func (s *GatewaySettings) DataCentre() string { return s.dataCentre }

// StoreAddress returns the IP address and port of the platform's store.
func (s *GatewaySettings) StoreAddress() string { return s.storeAddress }

// MetricsListen returns the address at which metrics are served, or "" if they are not served.
func (s *GatewaySettings) MetricsListen() string { return s.metricsListen }

// CallerListen returns the address at which requests of callers are accepted.
func (s *GatewaySettings) CallerListen() string { return s.callerListen }

// ReadyListen returns the address at which the load balancer queries the readiness of the VM.
func (s *GatewaySettings) ReadyListen() string { return s.readyListen }

// PeerAddress returns the VM's own IP address.
func (s *GatewaySettings) PeerAddress() string { return s.peerAddress }

// PeerPort returns the port for messages between VMs. It is the same on all VMs of a deployment.
func (s *GatewaySettings) PeerPort() int { return s.peerPort }

// MemoryMiB returns the memory that the VM's process may use, in MiB.
func (s *GatewaySettings) MemoryMiB() int { return s.memoryMiB }

// LinkMbps returns the rate of the VM's network link in Mbit/s.
func (s *GatewaySettings) LinkMbps() float64 { return s.linkMbps }

// Descriptors returns how many file descriptors the VM's process may have open.
func (s *GatewaySettings) Descriptors() int { return s.descriptors }

// Contracts returns the names of the platform's contracts that are in force for the deployment.
func (s *GatewaySettings) Contracts() []string { return s.contracts }

// FairShares reports whether customers get fair shares of scarce capacity, whatever the contracts are.
func (s *GatewaySettings) FairShares() bool { return s.fairShares }

// LearnPaces reports whether the VM learns how much slower engines run than they are configured.
func (s *GatewaySettings) LearnPaces() bool { return s.learnPaces }

// WeighDataCentres reports whether the VM weighs the cost of using endpoints of other data centres.
func (s *GatewaySettings) WeighDataCentres() bool { return s.weighDataCentres }

// SpareSlots returns how many batch slots of an engine short prompts leave free before they use the next engine, 0 for a quarter of them.
func (s *GatewaySettings) SpareSlots() int { return s.spareSlots }

// ConfigurationDelay returns the time within which a configuration change has to take effect.
func (s *GatewaySettings) ConfigurationDelay() time.Duration { return s.configurationDelay }

// DrainDelay returns the time after which an endpoint that has announced its shutdown must not receive requests.
func (s *GatewaySettings) DrainDelay() time.Duration { return s.drainDelay }

// StopGrace returns the time between SIGTERM and SIGKILL when the VM is stopped.
func (s *GatewaySettings) StopGrace() time.Duration { return s.stopGrace }

// RetryRatio returns the number of retries that all VMs together may send to a service for each request to it.
func (s *GatewaySettings) RetryRatio() float64 { return s.retryRatio }

// RetryAllowance returns the number of retries per window that are allowed in addition to RetryRatio, however few requests
// there are.
func (s *GatewaySettings) RetryAllowance() float64 { return s.retryAllowance }

// RetryWindow returns the length of the window in which retries are counted.
func (s *GatewaySettings) RetryWindow() time.Duration { return s.retryWindow }

// MaxReservation returns the maximum time for which an engine holds a reservation of remote KV.
func (s *GatewaySettings) MaxReservation() time.Duration { return s.maxReservation }

// ReservationReleaseTime returns the time after its last use within which reserved remote KV has to be released.
func (s *GatewaySettings) ReservationReleaseTime() time.Duration { return s.reservationRelease }

// ColdFactor returns the factor that scales the rate limit of a cold endpoint. The effective limit is the rate limit times
// ColdFactor, plus ColdAllowance.
func (s *GatewaySettings) ColdFactor() float64 { return s.coldFactor }

// ColdAllowance returns the requests per second that a cold endpoint may receive above its scaled rate limit.
func (s *GatewaySettings) ColdAllowance() float64 { return s.coldAllowance }

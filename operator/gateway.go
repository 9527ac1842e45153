package operator

import (
	"net/netip"
	"os"
	"strconv"
	"time"

	"goldcrestpath/customer"
)

// GatewaySettings belong to one VM of a deployment whose platform tells routes and endpoints.
type GatewaySettings struct {
	name, dataCentre, store     string
	metricsListen               string
	callerListen, readyListen   string
	peerAddress                 string
	peerPort                    int
	memory                      int
	linkRate                    float64
	configurationDelay          time.Duration
	drainDelay                  time.Duration
	stopGrace                   time.Duration
	retryRatio, retryExtra      float64
	retryWindow                 time.Duration
	reservation, reservationUse time.Duration
	coldFactor, coldExtra       float64
}

// gatewaySections are the sections of the file; the first one tells it from other settings.
var gatewaySections = []string{"gateway", "caller", "peer", "limits"}

// Bounds and defaults of the gateway's settings, where the platform hands over none.
const (
	defaultConfigurationDelay = 2 * time.Second
	defaultDrainDelay         = 2 * time.Second
	defaultStopGrace          = 8 * time.Second
	defaultRetryWindow        = 10 * time.Second
	defaultReservation        = 20 * time.Second
	defaultReservationFree    = 4 * time.Second
	longestSetting            = time.Hour
)

// LoadGatewaySettings reads a gateway's settings file. An error about its content is of type customer.Problems.
func LoadGatewaySettings(file string) (*GatewaySettings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, customer.Problems{{File: file, Allowed: "a readable file: " + err.Error()}}
	}
	return ParseGatewaySettings(file, data)
}

// ParseGatewaySettings reads a gateway's settings from memory. The error is of type customer.Problems.
func ParseGatewaySettings(file string, data []byte) (*GatewaySettings, error) {
	f := parseINI(file, data)
	s := &GatewaySettings{}

	gateway := f.section("gateway")
	s.name = gateway.ident("name", true)
	s.dataCentre = gateway.ident("dataCentre", true)
	s.store = gateway.address("store", true)
	s.metricsListen = gateway.address("metricsListen", false)

	caller := f.section("caller")
	s.callerListen = caller.address("listen", true)
	s.readyListen = caller.address("readyListen", true)

	peer := f.section("peer")
	s.peerAddress = parse(peer, "address", "an IP address", true, "", func(v string) (string, bool) {
		_, err := netip.ParseAddr(v)
		return v, err == nil
	})
	s.peerPort = parse(peer, "ports", "the first and the last free port, separated by a comma", true, 0, firstPort)

	limits := f.section("limits")
	s.memory = limits.count("memory", 16, 1<<20, false, 256)
	s.linkRate = limits.number("linkRate", 1000)
	s.configurationDelay = limits.duration("configurationDelay", 100*time.Millisecond, longestSetting, defaultConfigurationDelay)
	s.drainDelay = limits.duration("drainDelay", 100*time.Millisecond, longestSetting, defaultDrainDelay)
	s.stopGrace = limits.duration("stopGrace", time.Second, longestSetting, defaultStopGrace)
	s.retryRatio = limits.number("retryRatio", 0.2)
	s.retryExtra = limits.number("retryExtra", 10)
	s.retryWindow = limits.duration("retryWindow", time.Second, longestSetting, defaultRetryWindow)
	s.reservation = limits.duration("reservation", time.Second, longestSetting, defaultReservation)
	s.reservationUse = limits.duration("reservationFree", time.Second, longestSetting, defaultReservationFree)
	s.coldFactor = limits.number("coldFactor", 1)
	s.coldExtra = limits.number("coldExtra", 0)

	for _, section := range []*iniSection{gateway, caller, peer, limits} {
		section.done()
	}
	f.onlySections(gatewaySections)
	if err := f.err(); err != nil {
		return nil, err
	}
	return s, nil
}

func firstPort(v string) (int, bool) {
	ports := splitList(v)
	first, err := strconv.Atoi(ports[0])
	return first, err == nil && first > 0 && first < 1<<16 && len(ports) == 2
}

func (s *iniSection) number(key string, missing float64) float64 {
	return parse(s, key, "a number of at least 0", false, missing, func(v string) (float64, bool) {
		n, err := strconv.ParseFloat(v, 64)
		return n, err == nil && n >= 0 && n < 1e12
	})
}

// Name returns the VM's name.
func (s *GatewaySettings) Name() string { return s.name }

// DataCentre returns the VM's data centre.
func (s *GatewaySettings) DataCentre() string { return s.dataCentre }

// Store returns the address of the platform's store.
func (s *GatewaySettings) Store() string { return s.store }

// MetricsListen returns the address at which metrics are served, or "".
func (s *GatewaySettings) MetricsListen() string { return s.metricsListen }

// CallerListen returns the address for callers.
func (s *GatewaySettings) CallerListen() string { return s.callerListen }

// ReadyListen returns the address at which the load balancer asks whether the VM is ready.
func (s *GatewaySettings) ReadyListen() string { return s.readyListen }

// PeerAddress returns the VM's own IP address.
func (s *GatewaySettings) PeerAddress() string { return s.peerAddress }

// PeerPort returns the port for messages between VMs, the same on all VMs of a deployment.
func (s *GatewaySettings) PeerPort() int { return s.peerPort }

// Memory returns the memory of the VM's process in megabytes.
func (s *GatewaySettings) Memory() int { return s.memory }

// LinkRate returns the rate of the VM's network link in Mbit/s.
func (s *GatewaySettings) LinkRate() float64 { return s.linkRate }

// ConfigurationDelay returns the time within which a change of the configuration is in force.
func (s *GatewaySettings) ConfigurationDelay() time.Duration { return s.configurationDelay }

// DrainDelay returns the time after which an endpoint that announced its end gets no request.
func (s *GatewaySettings) DrainDelay() time.Duration { return s.drainDelay }

// StopGrace returns the time from SIGTERM to the kill.
func (s *GatewaySettings) StopGrace() time.Duration { return s.stopGrace }

// RetryRatio returns how many repeated sends to a service the deployment may make for each request to it.
func (s *GatewaySettings) RetryRatio() float64 { return s.retryRatio }

// RetryExtra returns the repeated sends in a window that are allowed whatever the number of requests.
func (s *GatewaySettings) RetryExtra() float64 { return s.retryExtra }

// RetryWindow returns the time over which repeated sends are counted.
func (s *GatewaySettings) RetryWindow() time.Duration { return s.retryWindow }

// LongestReservation returns how long an engine holds a reservation of memory at most.
func (s *GatewaySettings) LongestReservation() time.Duration { return s.reservation }

// ReservationFree returns the time within which reserved memory has to be released after its last use.
func (s *GatewaySettings) ReservationFree() time.Duration { return s.reservationUse }

// ColdFactor returns by how much a cold endpoint's rate may be exceeded.
func (s *GatewaySettings) ColdFactor() float64 { return s.coldFactor }

// ColdExtra returns the requests in a second to a cold endpoint that are allowed beyond its rate.
func (s *GatewaySettings) ColdExtra() float64 { return s.coldExtra }

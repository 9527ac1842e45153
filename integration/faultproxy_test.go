package integration

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/Shopify/toxiproxy"
	"github.com/Shopify/toxiproxy/toxics"
	"github.com/sirupsen/logrus"

	"goldcrestpath/standin"
)

// Names of the proxy faults ("toxics") that this package registers. The proxy's own timeout toxic does not fit: it closes the
// connections when it is removed, whereas connections survive a partition that heals.
const (
	typeHold  = "hold"
	typeBreak = "break"
)

func init() {
	logrus.SetOutput(io.Discard) // the proxy library logs every connection
	toxics.Register(typeHold, new(holdToxic))
	toxics.Register(typeBreak, new(breakToxic))
}

// holdToxic holds back the data in one direction until it is removed, as in a network that drops packets.
type holdToxic struct{}

// Pipe implements toxics.Toxic.
func (*holdToxic) Pipe(stub *toxics.ToxicStub) { <-stub.Interrupt }

// brokenConnections counts the connections that breakToxic has closed on all proxies of the test process.
var brokenConnections atomic.Int64

// breakToxic closes every connection on which it is installed.
type breakToxic struct{}

// Pipe implements toxics.Toxic.
func (*breakToxic) Pipe(stub *toxics.ToxicStub) {
	brokenConnections.Add(1)
	stub.Close()
}

// faultProxy is a fault-injecting proxy in front of one server, which is an endpoint, the log or a VM's peer listener. VMs reach the
// server only through the proxy.
type faultProxy struct {
	t      *testing.T
	server string // name of the server
	proxy  *toxiproxy.Proxy
}

// direction is a direction of data through a faultProxy. Its values are the names that the proxy library uses.
type direction string

const (
	toServer   direction = "upstream"
	fromServer direction = "downstream"
)

// maxListenAttempts bounds the number of ports that newFaultProxy tries.
const maxListenAttempts = 20

// newFaultProxy starts a proxy on a free port. It forwards connections to the named server at the address target.
func newFaultProxy(t *testing.T, server, target string) *faultProxy {
	t.Helper()
	f := &faultProxy{t: t, server: server, proxy: toxiproxy.NewProxy()}
	f.proxy.Name, f.proxy.Upstream = server, target
	for attempts := 1; ; attempts++ {
		ln := reservePort(t)
		f.proxy.Listen = ln.Addr().String()
		ln.Close()
		if err := f.proxy.Start(); err == nil {
			break
		} else if attempts == maxListenAttempts {
			t.Fatal(err) // other processes took each port before the proxy listened on it
		}
	}
	t.Cleanup(func() {
		f.proxy.Toxics.ResetToxics()
		f.proxy.Stop()
	})
	return f
}

// address returns the address on which the proxy listens.
func (f *faultProxy) address() string { return f.proxy.Listen }

// partition holds back all data in the given directions until heal is called. Connections stay open.
func (f *faultProxy) partition(directions ...direction) {
	for _, d := range directions {
		f.addToxic(typeHold, d)
	}
}

// heal ends all partitions of the proxy and delivers the data that was held back.
func (f *faultProxy) heal() { f.proxy.Toxics.ResetToxics() }

// resetConnections closes all connections through the proxy while it keeps listening. It returns the number of closed connections.
// The count is too high if a parallel test resets connections at the same time, since all proxies of the test process share it.
func (f *faultProxy) resetConnections() int {
	before := brokenConnections.Load()
	if err := f.proxy.Toxics.RemoveToxic(f.addToxic(typeBreak, fromServer)); err != nil {
		f.t.Error(err)
	}
	return int(brokenConnections.Load() - before)
}

// restart restarts the proxy, which closes all connections and discards the data that a partition held back.
func (f *faultProxy) restart() {
	f.proxy.Stop()
	if err := f.proxy.Start(); err != nil {
		f.t.Error(err)
	}
}

// addToxic installs a toxic of the given type in one direction, unless it is already installed, and returns its name.
func (f *faultProxy) addToxic(kind string, d direction) string {
	name := fmt.Sprintf("%s-%s", kind, d)
	if f.proxy.Toxics.GetToxic(name) != nil {
		return name
	}
	if _, err := f.proxy.Toxics.AddToxicJson(strings.NewReader(fmt.Sprintf(`{"name":%q,"type":%q,"stream":%q}`, name, kind, d))); err != nil {
		f.t.Error(err)
	}
	return name
}

// reservePort listens on a free loopback port below the ephemeral range. Test processes of other packages choose ports at the same
// time, so the caller keeps the listener open until just before the port is used.
func reservePort(t *testing.T) net.Listener {
	t.Helper()
	for range 100 {
		address, err := standin.FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		if ln, err := net.Listen("tcp", address); err == nil {
			return ln
		}
	}
	t.Fatal("no free loopback port")
	return nil
}

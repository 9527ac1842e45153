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

// The toxics of this package extend those of the proxy: its timeout toxic closes the connections when it is removed, but a partition
// that heals does not.
const (
	typeHold  = "hold"
	typeBreak = "break"
)

func init() {
	logrus.SetOutput(io.Discard) // the proxy logs every connection
	toxics.Register(typeHold, new(holdToxic))
	toxics.Register(typeBreak, new(breakToxic))
}

// holdToxic holds the data of one direction, as a network does that drops packets.
type holdToxic struct{}

// Pipe implements toxics.Toxic.
func (*holdToxic) Pipe(stub *toxics.ToxicStub) { <-stub.Interrupt }

// broken counts the connections that breakToxic closed.
var broken atomic.Int64

// breakToxic closes connections.
type breakToxic struct{}

// Pipe implements toxics.Toxic.
func (*breakToxic) Pipe(stub *toxics.ToxicStub) {
	broken.Add(1)
	stub.Close()
}

// front is the address under which VMs reach one node. A fault-injecting proxy carries every connection to the node.
type front struct {
	t     *testing.T
	node  string
	proxy *toxiproxy.Proxy
}

// direction is one of the two ways through a front, in the proxy's words.
type direction string

const (
	toNode   direction = "upstream"
	fromNode direction = "downstream"
)

// maxTries bounds the choices of a free port.
const maxTries = 20

// newFront starts a front that leads to a node at target.
func newFront(t *testing.T, node, target string) *front {
	t.Helper()
	f := &front{t: t, node: node, proxy: toxiproxy.NewProxy()}
	f.proxy.Name, f.proxy.Upstream = node, target
	for tries := 1; ; tries++ {
		ln := reserve(t)
		f.proxy.Listen = ln.Addr().String()
		ln.Close()
		if err := f.proxy.Start(); err == nil {
			break
		} else if tries == maxTries {
			t.Fatal(err) // tests of other packages took each port between its choice and its use
		}
	}
	t.Cleanup(func() {
		f.proxy.Toxics.ResetToxics()
		f.proxy.Stop()
	})
	return f
}

func (f *front) address() string { return f.proxy.Listen }

// hold holds the data in the given directions.
func (f *front) hold(directions ...direction) {
	for _, d := range directions {
		f.add(typeHold, d)
	}
}

// heal lets held data pass.
func (f *front) heal() { f.proxy.Toxics.ResetToxics() }

// reset breaks all connections. It returns how many it broke, counted over the test process, so that other tests can add to it.
func (f *front) reset() int {
	before := broken.Load()
	if err := f.proxy.Toxics.RemoveToxic(f.add(typeBreak, fromNode)); err != nil {
		f.t.Error(err)
	}
	return int(broken.Load() - before)
}

// drop closes all connections. Data that is held is lost.
func (f *front) drop() {
	f.proxy.Stop()
	if err := f.proxy.Start(); err != nil {
		f.t.Error(err)
	}
}

// add adds a toxic and returns its name.
func (f *front) add(kind string, d direction) string {
	name := fmt.Sprintf("%s-%s", kind, d)
	if f.proxy.Toxics.GetToxic(name) != nil {
		return name
	}
	if _, err := f.proxy.Toxics.AddToxicJson(strings.NewReader(fmt.Sprintf(`{"name":%q,"type":%q,"stream":%q}`, name, kind, d))); err != nil {
		f.t.Error(err)
	}
	return name
}

// reserve listens on a free port below the ephemeral range. Test processes of other packages choose ports at the same time, so a
// port that is to be used later stays reserved until then.
func reserve(t *testing.T) net.Listener {
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

package gateway

import (
	"context"
	"net"
	"time"

	"goldcrestpath/endpoint"
	"goldcrestpath/peer"
)

// relayDialer opens connections to endpoints through other VMs. It implements forward.Relays.
type relayDialer struct{ g *Gateway }

// Dial implements forward.Relays.
func (d relayDialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	_, dataCentre, _ := d.g.fleet.RelayTarget(time.Now(), address) // the other VM decides whether it relays
	return d.g.relays.Dial(ctx, address, dataCentre)
}

// relayConnectTimeout limits a connection to an endpoint on behalf of another VM. It is below the time that the other VM waits for it.
const relayConnectTimeout = 150 * time.Millisecond

// connectForPeer opens a connection to the endpoint at an address for another VM, or returns why this VM relays none there.
func (g *Gateway) connectForPeer(ctx context.Context, address string) (net.Conn, peer.RelayRefusal, error) {
	if g.stopping.Load() {
		return nil, peer.RelayRefusal{Reason: "stopping"}, nil
	}
	id, _, reason := g.fleet.RelayTarget(time.Now(), address)
	if reason != "" {
		return nil, peer.RelayRefusal{Reason: reason, EndpointOnly: reason != endpoint.RelayPathLost}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, relayConnectTimeout)
	defer cancel()
	conn, err := g.dial(ctx, "tcp", address)
	if err == nil {
		g.fleet.RecordConnected(id)
		return conn, peer.RelayRefusal{}, nil
	}
	g.handler.CheckPath(endpoint.Target{ID: id, Address: address}, err)
	if g.fleet.RecordNotOpened(address) {
		return nil, peer.RelayRefusal{Reason: "this VM may be cut off"}, nil
	}
	return nil, peer.RelayRefusal{}, err
}

// dialEndpoint opens a connection to an endpoint, through another VM if this VM does not reach it.
func (g *Gateway) dialEndpoint(ctx context.Context, network, address string) (net.Conn, error) {
	return g.handler.DialEndpoint(ctx, network, address)
}

// ReportPause implements forward.Relays.
func (d relayDialer) ReportPause(conn net.Addr, endpointID string, pause time.Duration) {
	d.g.relays.ReportPause(conn, endpointID, pause)
}

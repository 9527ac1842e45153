package main

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"

	"goldcrestpath/engine"
	"goldcrestpath/entry"
)

// simulation stands in for all members of a data centre except the measured VM. It answers the calls to these members. It also
// sends to the measured VM what that many members would send: probes, lease requests for the shares of which the VM is the lessor,
// and grant requests, releases and renewals for the endpoints that the VM owns.
type simulation struct {
	cfg            meshConfig
	measured       entry.VM
	vms            []entry.VM                   // the measured VM, then the simulated members, then VMs of other data centres
	vmsByAddress   map[string]entry.VM          // without the measured VM
	ownedEndpoints []string                     // endpoints that the measured VM owns
	leaseRequests  map[string][]simLeaseRequest // requests for shares of which the measured VM is the lessor, by the endpoint's owner
	server         *grpc.Server
	address        string
	conn           *grpc.ClientConn
}

// renewalsPerSecond is the number of holders that renew their grants with the measured VM in one second. An entry VM likewise sends
// routine renewals to at most this number of owners per second.
const renewalsPerSecond = 8

// simMember and the following types are the messages between VMs, reduced to the fields that the simulation reads or writes.
type simMember struct {
	Name        string `cbor:"1,keyasint"`
	DataCentre  string `cbor:"2,keyasint"`
	Address     string `cbor:"3,keyasint"`
	Incarnation uint64 `cbor:"4,keyasint"`
	Refutation  uint64 `cbor:"5,keyasint"`
	State       uint8  `cbor:"6,keyasint"`
}

// simDataCentre is the report on a data centre in a probe.
type simDataCentre struct {
	DataCentre string         `cbor:"1,keyasint"`
	FreeTokens map[string]int `cbor:"3,keyasint"`
	Age        time.Duration  `cbor:"4,keyasint"`
}

type simLoadBody struct {
	Capacity   int `cbor:"2,keyasint"`
	FreeTokens int `cbor:"3,keyasint"`
	FreeSlots  int `cbor:"4,keyasint"`
	Running    int `cbor:"5,keyasint"`
}

type simLoad struct {
	Endpoint string      `cbor:"1,keyasint"`
	Load     simLoadBody `cbor:"2,keyasint"`
}

// simulatedLoad is the load that the simulated members report for every endpoint.
var simulatedLoad = simLoadBody{Capacity: 1 << 22, FreeTokens: 1 << 21, FreeSlots: 64, Running: 12}

type simProbe struct {
	Updates     []simMember     `cbor:"updates"`
	Version     uint64          `cbor:"version"`
	Digest      uint64          `cbor:"digest"`
	Loads       []simLoad       `cbor:"loads,omitempty"`
	DataCentres []simDataCentre `cbor:"sites,omitempty"`
}

type simKey struct {
	Resource string `cbor:"1,keyasint"`
	Share    int    `cbor:"2,keyasint"`
}

type simLeaseRequest struct {
	Key       simKey `cbor:"1,keyasint"`
	Sequence  int    `cbor:"2,keyasint"`
	Confirmed int    `cbor:"3,keyasint"`
	Units     int    `cbor:"4,keyasint"`
}

type simLeaseMessage struct {
	VMName      string            `cbor:"place,omitempty"`
	Incarnation uint64            `cbor:"incarnation,omitempty"`
	Requests    []simLeaseRequest `cbor:"asks,omitempty"`
	Leases      []any             `cbor:"loans,omitempty"`
}

type simQuotaRequest struct {
	Requests []struct {
		Key      any    `cbor:"1,keyasint"`
		Sequence uint64 `cbor:"2,keyasint"`
	} `cbor:"asks"`
}

type simGrant struct {
	Granted bool        `cbor:"granted"`
	Load    simLoadBody `cbor:"load"`
}

type simRenewItem struct {
	Endpoint string `cbor:"endpoint"`
	ID       string `cbor:"id"`
}

type simCodec struct{}

// Marshal implements encoding.Codec.
func (simCodec) Marshal(v any) ([]byte, error) { return cbor.Marshal(v) }

// Unmarshal implements encoding.Codec.
func (simCodec) Unmarshal(data []byte, v any) error { return cbor.Unmarshal(data, v) }

// Name implements encoding.Codec.
func (simCodec) Name() string { return "cbor" }

// newSimulation starts the server that answers for the simulated members.
func newSimulation(cfg meshConfig, measured entry.VM, specs []engine.Spec) (*simulation, error) {
	s := &simulation{cfg: cfg, measured: measured, vms: []entry.VM{measured}, vmsByAddress: map[string]entry.VM{}, leaseRequests: map[string][]simLeaseRequest{}}
	names := []string{measured.Name}
	add := func(dataCentre string, i int) {
		v := entry.VM{Name: fmt.Sprintf("%s/%d", dataCentre, i), DataCentre: dataCentre, Address: fmt.Sprintf("10.1.%d.%d:7001", len(s.vms)/250, len(s.vms)%250+1)}
		s.vms, s.vmsByAddress[v.Address] = append(s.vms, v), v
	}
	for i := range cfg.simulatedMembers {
		add(meshDataCentre, i+2)
		names = append(names, s.vms[len(s.vms)-1].Name)
	}
	for i := range cfg.remoteVMs {
		add(fmt.Sprintf("dc-%d", 2+i%6), i)
	}
	for _, spec := range specs {
		lessors := entry.Lessors("endpoint/"+spec.Name, names)
		if lessors[0] == measured.Name {
			s.ownedEndpoints = append(s.ownedEndpoints, spec.Name)
			continue
		}
		for i, lessor := range lessors {
			if lessor == measured.Name {
				s.leaseRequests[lessors[0]] = append(s.leaseRequests[lessors[0]], simLeaseRequest{Key: simKey{"endpoint/" + spec.Name, i}, Units: 1})
			}
		}
	}
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, err
	}
	s.address = ln.Addr().String()
	s.server = grpc.NewServer(grpc.ForceServerCodec(simCodec{}), grpc.UnknownServiceHandler(s.handleCall))
	go func() { _ = s.server.Serve(ln) }() // returns after close
	s.conn, err = grpc.NewClient("passthrough:///"+measured.Address, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.ForceCodec(simCodec{})))
	return s, err
}

func (s *simulation) close() {
	_ = s.conn.Close()
	s.server.Stop()
}

// dialAddress returns the address to dial for a VM's address: the simulation's address for a simulated VM, otherwise the VM's own.
// The simulation may be nil.
func (s *simulation) dialAddress(address string) string {
	if s != nil && strings.HasPrefix(address, "10.") {
		return s.address
	}
	return address
}

// probe returns the content of a probe, or of the answer to one, that comes from the given VM.
func (s *simulation) probe(from entry.VM) *simProbe {
	m := &simProbe{DataCentres: []simDataCentre{{DataCentre: from.DataCentre, FreeTokens: map[string]int{"model-0": 1 << 30, "model-1": 1 << 30, "model-2": 1 << 30, "model-3": 1 << 30}}}}
	addUpdate := func(v entry.VM) {
		m.Updates = append(m.Updates, simMember{v.Name, v.DataCentre, v.Address, 1, 0, 1})
	}
	addUpdate(from)
	if from.DataCentre == meshDataCentre {
		// VMs fail or restart 1,865 times a day in all 7 data centres, which is about once in 5 minutes in each of them. Probes
		// repeat such a state change for a while, so every simulated probe contains one.
		addUpdate(s.vms[1+rand.IntN(s.cfg.simulatedMembers)])
		for range max(1, s.cfg.endpoints/(s.cfg.simulatedMembers+1)) {
			m.Loads = append(m.Loads, simLoad{fmt.Sprintf("engine-%04d", rand.IntN(s.cfg.endpoints)), simulatedLoad})
		}
	}
	for i := range 6 {
		m.DataCentres = append(m.DataCentres, simDataCentre{DataCentre: fmt.Sprintf("dc-%d", 2+i), FreeTokens: m.DataCentres[0].FreeTokens, Age: time.Second})
	}
	return m
}

// handleCall answers every call to a simulated VM.
func (s *simulation) handleCall(_ any, stream grpc.ServerStream) error {
	method, _ := grpc.MethodFromServerStream(stream)
	md, _ := metadata.FromIncomingContext(stream.Context())
	callee := s.measured
	if a := md.Get(":authority"); len(a) > 0 {
		callee = s.vmsByAddress[a[0]]
	}
	switch method[strings.LastIndex(method, "/")+1:] {
	case "probe":
		return serveUnary(stream, func(*simProbe) any { return s.probe(callee) })
	case "lend":
		return serveUnary(stream, func(req *simLeaseMessage) any {
			reply := simLeaseMessage{}
			for _, r := range req.Requests {
				reply.Leases = append(reply.Leases, map[int]any{1: r.Key, 2: r.Sequence, 3: 1, 4: entry.OriginFirst})
			}
			return reply
		})
	case "quota":
		return serveUnary(stream, func(req *simQuotaRequest) any {
			reply := simLeaseMessage{}
			for _, r := range req.Requests {
				reply.Leases = append(reply.Leases, map[int]any{1: r.Key, 2: r.Sequence, 3: 10})
			}
			return reply
		})
	case "grant":
		return serveUnary(stream, func(*map[string]any) any {
			return simGrant{Granted: true, Load: simulatedLoad}
		})
	}
	return serveUnary(stream, func(*map[string]any) any { return struct{}{} })
}

// serveUnary receives one request and sends the reply to it.
func serveUnary[Req any](stream grpc.ServerStream, reply func(*Req) any) error {
	req := new(Req)
	if err := stream.RecvMsg(req); err != nil {
		return err
	}
	return stream.SendMsg(reply(req))
}

// call makes one call to the measured VM and ignores its result.
func (s *simulation) call(ctx context.Context, method string, req any) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	var reply map[string]any
	_ = s.conn.Invoke(ctx, "/goldcrest.entry/"+method, req, &reply)
}

// run sends the messages of the simulated members once per second, until ctx ends.
func (s *simulation) run(ctx context.Context) {
	grantsByHolder := map[string][]simRenewItem{} // in use during the whole measurement
	randomPeer := func() entry.VM { return s.vms[1+rand.IntN(s.cfg.simulatedMembers)] }
	requestGrant := func(holder, id, endpoint string) {
		s.call(ctx, "grant", map[string]any{"endpoint": endpoint, "incarnation": 1, "round": 1, "demand": map[int]any{1: id, 2: holder,
			3: "customer-000", 4: 1000, 6: 400, 8: 1, 9: time.Second, 10: time.Second}})
	}
	for _, v := range s.vms[1 : s.cfg.simulatedMembers+1] {
		s.call(ctx, "probe", s.probe(v)) // the measured VM counts a member as live only after it has received a message from it
	}
	for i := 0; i < s.cfg.heldGrants && len(s.ownedEndpoints) > 0; i++ {
		holder, id, endpoint := randomPeer().Name, fmt.Sprintf("request-%016x.1", rand.Uint64()), s.ownedEndpoints[i%len(s.ownedEndpoints)]
		requestGrant(holder, id, endpoint)
		grantsByHolder[holder] = append(grantsByHolder[holder], simRenewItem{endpoint, id})
	}
	holders := slices.Sorted(maps.Keys(grantsByHolder))
	sequence := 0
	for sleep(ctx, time.Second) {
		sequence++
		s.call(ctx, "probe", s.probe(randomPeer()))
		if s.cfg.remoteVMs > 0 {
			s.call(ctx, "probe", s.probe(s.vms[1+s.cfg.simulatedMembers+rand.IntN(s.cfg.remoteVMs)]))
		}
		for owner, requests := range s.leaseRequests {
			for i := range requests {
				requests[i].Sequence, requests[i].Confirmed = sequence, sequence-1
			}
			s.call(ctx, "lend", simLeaseMessage{VMName: owner, Incarnation: 1, Requests: requests})
		}
		for i := range min(len(holders), renewalsPerSecond) {
			h := holders[(sequence*renewalsPerSecond+i)%len(holders)]
			s.call(ctx, "renew", map[string]any{"place": h, "incarnation": 1, "round": sequence + 1, "grants": grantsByHolder[h]})
		}
		for i := 0; i < int(s.cfg.grantRate) && len(s.ownedEndpoints) > 0; i++ {
			holder, id, endpoint := randomPeer().Name, fmt.Sprintf("request-%016x.1", rand.Uint64()), s.ownedEndpoints[i%len(s.ownedEndpoints)]
			requestGrant(holder, id, endpoint)
			s.call(ctx, "release", map[string]any{"endpoint": endpoint, "id": id, "holder": holder, "result": map[int]any{4: time.Second}})
		}
	}
}

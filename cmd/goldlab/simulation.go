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

// simulation answers for the members of a data centre other than the measured VM, and sends to it what that many members
// send: probes, requests for the shares that it guards, grants, releases and renewals for the endpoints that it owns.
type simulation struct {
	cfg     meshConfig
	node    entry.Place
	places  []entry.Place          // the measured VM first
	byAddr  map[string]entry.Place // of the simulated members
	owned   []string               // endpoints of the measured VM
	asks    map[string][]simAsk    // shares that the measured VM guards, by owner
	server  *grpc.Server
	address string
	conn    *grpc.ClientConn
}

// simRenewals is the number of holders that renew their grants in one second. Each VM renews with as many owners.
const simRenewals = 8

// Messages between VMs, as far as the simulation reads or writes them.
type simMember struct {
	Place       string `cbor:"1,keyasint"`
	DataCentre  string `cbor:"2,keyasint"`
	Address     string `cbor:"3,keyasint"`
	Incarnation uint64 `cbor:"4,keyasint"`
	Refutation  uint64 `cbor:"5,keyasint"`
	State       uint8  `cbor:"6,keyasint"`
}

type simSite struct {
	DataCentre string         `cbor:"1,keyasint"`
	Spare      map[string]int `cbor:"3,keyasint"`
	Age        time.Duration  `cbor:"4,keyasint"`
}

type simLoadBody struct {
	Capacity      int `cbor:"2,keyasint"`
	FreeTokens    int `cbor:"3,keyasint"`
	FreeSequences int `cbor:"4,keyasint"`
	Running       int `cbor:"5,keyasint"`
}

type simLoad struct {
	Endpoint string      `cbor:"1,keyasint"`
	Load     simLoadBody `cbor:"2,keyasint"`
}

// freeLoad is the load of every endpoint.
var freeLoad = simLoadBody{Capacity: 1 << 22, FreeTokens: 1 << 21, FreeSequences: 64, Running: 12}

type simProbe struct {
	Updates []simMember `cbor:"updates"`
	Version uint64      `cbor:"version"`
	Digest  uint64      `cbor:"digest"`
	Loads   []simLoad   `cbor:"loads,omitempty"`
	Sites   []simSite   `cbor:"sites,omitempty"`
}

type simKey struct {
	Resource string `cbor:"1,keyasint"`
	Share    int    `cbor:"2,keyasint"`
}

type simAsk struct {
	Key       simKey `cbor:"1,keyasint"`
	Sequence  int    `cbor:"2,keyasint"`
	Confirmed int    `cbor:"3,keyasint"`
	Want      int    `cbor:"4,keyasint"`
}

type simLend struct {
	Place       string   `cbor:"place,omitempty"`
	Incarnation uint64   `cbor:"incarnation,omitempty"`
	Asks        []simAsk `cbor:"asks,omitempty"`
	Loans       []any    `cbor:"loans,omitempty"`
}

type simQuota struct {
	Asks []struct {
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

func newSimulation(cfg meshConfig, node entry.Place, specs []engine.Spec) (*simulation, error) {
	s := &simulation{cfg: cfg, node: node, places: []entry.Place{node}, byAddr: map[string]entry.Place{}, asks: map[string][]simAsk{}}
	names := []string{node.Name}
	add := func(dataCentre string, i int) {
		p := entry.Place{Name: fmt.Sprintf("%s/%d", dataCentre, i), DataCentre: dataCentre, Address: fmt.Sprintf("10.1.%d.%d:7001", len(s.places)/250, len(s.places)%250+1)}
		s.places, s.byAddr[p.Address] = append(s.places, p), p
	}
	for i := range cfg.simulated {
		add(meshDataCentre, i+2)
		names = append(names, s.places[len(s.places)-1].Name)
	}
	for i := range cfg.remote {
		add(fmt.Sprintf("dc-%d", 2+i%6), i)
	}
	for _, spec := range specs {
		guardians := entry.Guardians("endpoint/"+spec.Name, names)
		if guardians[0] == node.Name {
			s.owned = append(s.owned, spec.Name)
			continue
		}
		for i, g := range guardians {
			if g == node.Name {
				s.asks[guardians[0]] = append(s.asks[guardians[0]], simAsk{Key: simKey{"endpoint/" + spec.Name, i}, Want: 1})
			}
		}
	}
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, err
	}
	s.address = ln.Addr().String()
	s.server = grpc.NewServer(grpc.ForceServerCodec(simCodec{}), grpc.UnknownServiceHandler(s.answer))
	go func() { _ = s.server.Serve(ln) }() // ends with close
	s.conn, err = grpc.NewClient("passthrough:///"+node.Address, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.ForceCodec(simCodec{})))
	return s, err
}

func (s *simulation) close() {
	_ = s.conn.Close()
	s.server.Stop()
}

// route returns the address that answers for a member's address.
func (s *simulation) route(address string) string {
	if s != nil && strings.HasPrefix(address, "10.") {
		return s.address
	}
	return address
}

func (s *simulation) probe(from entry.Place) *simProbe {
	m := &simProbe{Sites: []simSite{{DataCentre: from.DataCentre, Spare: map[string]int{"model-0": 1 << 30, "model-1": 1 << 30, "model-2": 1 << 30, "model-3": 1 << 30}}}}
	member := func(p entry.Place) {
		m.Updates = append(m.Updates, simMember{p.Name, p.DataCentre, p.Address, 1, 0, 1})
	}
	member(from)
	if from.DataCentre == meshDataCentre {
		// 1,865 failures and restarts a day in 7 data centres are one in 5 minutes in each, which every message carries for a while.
		member(s.places[1+rand.IntN(s.cfg.simulated)])
		for range max(1, s.cfg.endpoints/(s.cfg.simulated+1)) {
			m.Loads = append(m.Loads, simLoad{fmt.Sprintf("engine-%04d", rand.IntN(s.cfg.endpoints)), freeLoad})
		}
	}
	for i := range 6 {
		m.Sites = append(m.Sites, simSite{DataCentre: fmt.Sprintf("dc-%d", 2+i), Spare: m.Sites[0].Spare, Age: time.Second})
	}
	return m
}

// answer serves every call to a simulated member.
func (s *simulation) answer(_ any, stream grpc.ServerStream) error {
	method, _ := grpc.MethodFromServerStream(stream)
	md, _ := metadata.FromIncomingContext(stream.Context())
	self := s.node
	if a := md.Get(":authority"); len(a) > 0 {
		self = s.byAddr[a[0]]
	}
	switch method[strings.LastIndex(method, "/")+1:] {
	case "probe":
		return exchange(stream, func(*simProbe) any { return s.probe(self) })
	case "lend":
		return exchange(stream, func(req *simLend) any {
			rep := simLend{}
			for _, a := range req.Asks {
				rep.Loans = append(rep.Loans, map[int]any{1: a.Key, 2: a.Sequence, 3: 1, 4: entry.OriginFirst})
			}
			return rep
		})
	case "quota":
		return exchange(stream, func(req *simQuota) any {
			rep := simLend{}
			for _, a := range req.Asks {
				rep.Loans = append(rep.Loans, map[int]any{1: a.Key, 2: a.Sequence, 3: 10})
			}
			return rep
		})
	case "grant":
		return exchange(stream, func(*map[string]any) any {
			return simGrant{Granted: true, Load: freeLoad}
		})
	}
	return exchange(stream, func(*map[string]any) any { return struct{}{} })
}

func exchange[Req any](stream grpc.ServerStream, reply func(*Req) any) error {
	req := new(Req)
	if err := stream.RecvMsg(req); err != nil {
		return err
	}
	return stream.SendMsg(reply(req))
}

// send makes one call to the measured VM; a failed one is left out.
func (s *simulation) send(ctx context.Context, method string, req any) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	var rep map[string]any
	_ = s.conn.Invoke(ctx, "/goldcrest.entry/"+method, req, &rep)
}

// run sends one second's messages each second until ctx ends.
func (s *simulation) run(ctx context.Context) {
	held := map[string][]simRenewItem{} // by holder
	peer := func() entry.Place { return s.places[1+rand.IntN(s.cfg.simulated)] }
	grant := func(holder, id, endpoint string) {
		s.send(ctx, "grant", map[string]any{"endpoint": endpoint, "incarnation": 1, "round": 1, "demand": map[int]any{1: id, 2: holder,
			3: "customer-000", 4: 1000, 6: 400, 8: 1, 9: time.Second, 10: time.Second}})
	}
	for _, p := range s.places[1 : s.cfg.simulated+1] {
		s.send(ctx, "probe", s.probe(p)) // without an answer from each, the measured VM believes that few members live
	}
	for i := 0; i < s.cfg.held && len(s.owned) > 0; i++ {
		p, id, endpoint := peer().Name, fmt.Sprintf("request-%016x.1", rand.Uint64()), s.owned[i%len(s.owned)]
		grant(p, id, endpoint)
		held[p] = append(held[p], simRenewItem{endpoint, id})
	}
	holders := slices.Sorted(maps.Keys(held))
	sequence := 0
	for sleep(ctx, time.Second) {
		sequence++
		s.send(ctx, "probe", s.probe(peer()))
		if s.cfg.remote > 0 {
			s.send(ctx, "probe", s.probe(s.places[1+s.cfg.simulated+rand.IntN(s.cfg.remote)]))
		}
		for owner, asks := range s.asks {
			for i := range asks {
				asks[i].Sequence, asks[i].Confirmed = sequence, sequence-1
			}
			s.send(ctx, "lend", simLend{Place: owner, Incarnation: 1, Asks: asks})
		}
		for i := range min(len(holders), simRenewals) {
			h := holders[(sequence*simRenewals+i)%len(holders)]
			s.send(ctx, "renew", map[string]any{"place": h, "incarnation": 1, "round": sequence + 1, "grants": held[h]})
		}
		for i := 0; i < int(s.cfg.rate) && len(s.owned) > 0; i++ {
			p, id, endpoint := peer().Name, fmt.Sprintf("request-%016x.1", rand.Uint64()), s.owned[i%len(s.owned)]
			grant(p, id, endpoint)
			s.send(ctx, "release", map[string]any{"endpoint": endpoint, "id": id, "holder": p, "result": map[int]any{4: time.Second}})
		}
	}
}

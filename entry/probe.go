package entry

import (
	"context"
	"time"

	"goldcrestpath/engine"
)

// memberWire is the encoding of one update about a member.
type memberWire struct {
	VMName      string `cbor:"1,keyasint"`
	DataCentre  string `cbor:"2,keyasint"`
	Address     string `cbor:"3,keyasint"`
	Incarnation uint64 `cbor:"4,keyasint"`
	Refutation  uint64 `cbor:"5,keyasint,omitempty"`
	State       State  `cbor:"6,keyasint"`
}

func toWire(m Member) memberWire {
	return memberWire{m.vm.Name, m.vm.DataCentre, m.vm.Address, m.incarnation, m.refutation, m.state}
}

func (w memberWire) member() Member {
	return Member{vm: VM{w.VMName, w.DataCentre, w.Address}, incarnation: w.Incarnation, refutation: w.Refutation, state: w.State}
}

// probeMessage is both the request and the answer of a probe. The first update is the sender's own state.
type probeMessage struct {
	Updates     []memberWire     `cbor:"updates"`
	Digest      uint64           `cbor:"digest"` // hash of the sender's configuration
	Loads       []loadWire       `cbor:"loads,omitempty"`
	DataCentres []dataCentreWire `cbor:"sites,omitempty"` // the sender's data centre first
}

// loadWire is the load of an endpoint that the sender owns.
type loadWire struct {
	Endpoint string   `cbor:"1,keyasint"`
	Load     loadBody `cbor:"2,keyasint"`
}

// maxLoads bounds the loads in one message.
const maxLoads = 16

// indirectRequest requests a probe of the member at Address through another member.
type indirectRequest struct {
	Address string `cbor:"address"`
}

type indirectReply struct {
	Answer *probeMessage `cbor:"answer,omitempty"`
}

// sendProbes sends the probes of one interval: one to a member of the data centre, one to a VM of another data centre,
// and one to a contact from the settings while no VMs are configured.
func (n *Node) sendProbes(now time.Time) {
	if target, ok := n.members.NextProbeTarget(); ok && target.vm.Address != "" {
		n.probeMember(target, n.newProbeMessage(now, target.vm))
	}
	if vm, ok := n.dataCentres.probeTarget(n.rnd); ok {
		n.probeContact(vm.Address, n.newProbeMessage(now, vm))
	}
	if len(n.fleet) == 0 && len(n.cfg.BootstrapAddresses) > 0 {
		address := n.cfg.BootstrapAddresses[n.nextBootstrapAddress%len(n.cfg.BootstrapAddresses)]
		n.nextBootstrapAddress++
		if address != n.address {
			n.probeContact(address, n.newProbeMessage(now, VM{}))
		}
	}
}

// probeMember probes a member of this data centre, first directly and then through relays. It records a failure if no
// probe is answered.
func (n *Node) probeMember(target Member, msg *probeMessage) {
	address := target.vm.Address
	relays := n.members.RandomAlive(probeRelays, target.vm.Name)
	n.background(func(ctx context.Context) {
		if rep, err := n.sendProbe(ctx, address, msg); err == nil {
			n.post(func() { n.applyProbeMessage(rep) })
			return
		}
		ctx, cancel := context.WithTimeout(ctx, 2*probeTimeout)
		defer cancel()
		answers := make(chan *probeMessage, len(relays))
		for _, r := range relays {
			go func() {
				rep, err := call[indirectReply](ctx, n.transport, r.vm.Address, "probeIndirect", &indirectRequest{address})
				if err != nil {
					rep = &indirectReply{}
				}
				answers <- rep.Answer
			}()
		}
		for range relays {
			if rep := <-answers; rep != nil {
				n.post(func() { n.applyProbeMessage(rep) })
				return
			}
		}
		n.post(func() { n.members.ProbeFailed(time.Now(), target.vm.Name) })
	})
}

// probeContact probes an address without recording a failure.
func (n *Node) probeContact(address string, msg *probeMessage) {
	n.background(func(ctx context.Context) {
		if rep, err := n.sendProbe(ctx, address, msg); err == nil {
			n.post(func() { n.applyProbeMessage(rep) })
		}
	})
}

func (n *Node) sendProbe(ctx context.Context, address string, msg *probeMessage) (*probeMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return call[probeMessage](ctx, n.transport, address, "probe", msg)
}

// newProbeMessage returns a probe message or answer for another VM. A VM of another data centre gets no loads, and only
// live members of this data centre.
func (n *Node) newProbeMessage(now time.Time, to VM) *probeMessage {
	msg := &probeMessage{Digest: n.configSync.digest, DataCentres: n.dataCentreReports(now)}
	if to.DataCentre == n.cfg.DataCentre {
		for _, m := range n.members.Updates(to.Name) {
			msg.Updates = append(msg.Updates, toWire(m))
		}
		for name, o := range n.ownedEndpoints {
			if len(msg.Loads) == maxLoads {
				break // map order varies, so other endpoints are included in other messages
			}
			msg.Loads = append(msg.Loads, loadWire{name, loadBody(o.ledger.Load())})
		}
		return msg
	}
	msg.Updates = append(msg.Updates, toWire(n.members.Self()))
	for _, m := range n.members.RandomAlive(maxPiggyback, "") {
		msg.Updates = append(msg.Updates, toWire(m))
	}
	return msg
}

// applyProbeMessage applies a probe message or answer of another VM, and pulls the sender's configuration if it differs.
func (n *Node) applyProbeMessage(msg *probeMessage) {
	if len(msg.Updates) == 0 {
		return
	}
	now := time.Now()
	sender := msg.Updates[0].member()
	updates := make([]Member, 0, len(msg.Updates))
	for _, u := range msg.Updates {
		updates = append(updates, u.member())
	}
	if sender.vm.DataCentre == n.cfg.DataCentre {
		n.members.ApplyUpdates(now, updates)
		for _, l := range msg.Loads {
			n.observeLoad(now, l.Endpoint, engine.Load(l.Load))
		}
	} else {
		n.dataCentres.applyMembers(now, updates)
	}
	n.dataCentres.applyReports(now, msg.DataCentres)
	n.pullIfDifferent(sender.vm.Address, msg.Digest)
}

// observeLoad stores the load that an endpoint's owner reported.
func (n *Node) observeLoad(now time.Time, endpoint string, l engine.Load) {
	if _, ok := n.specs[endpoint]; ok && n.ownedEndpoints[endpoint] == nil {
		n.loads[endpoint] = knownLoad{l, now}
	}
}

// handleProbe applies another VM's probe and returns this VM's answer.
func (n *Node) handleProbe(_ context.Context, req *probeMessage) (*probeMessage, error) {
	var rep *probeMessage
	ok := n.do(func() {
		n.applyProbeMessage(req)
		var to VM
		if len(req.Updates) > 0 {
			to = req.Updates[0].member().vm
		}
		rep = n.newProbeMessage(time.Now(), to)
	})
	if !ok {
		return nil, errStopped
	}
	return rep, nil
}

// handleIndirect probes a member for another VM that got no answer from it. A reply without an answer means that the
// member did not answer this VM either.
func (n *Node) handleIndirect(ctx context.Context, req *indirectRequest) (*indirectReply, error) {
	var msg *probeMessage
	var known bool
	n.do(func() {
		for _, m := range n.members.All() {
			if m.vm.Address == req.Address {
				known = true
				msg = n.newProbeMessage(time.Now(), m.vm)
			}
		}
	})
	if !known {
		return nil, errUnknownMember
	}
	rep, err := n.sendProbe(ctx, req.Address, msg)
	if err != nil {
		return &indirectReply{}, nil
	}
	return &indirectReply{Answer: rep}, nil
}

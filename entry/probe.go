package entry

import (
	"context"
	"time"

	"goldcrestpath/engine"
)

// memberWire is one update about a member.
type memberWire struct {
	Place       string `cbor:"1,keyasint"`
	DataCentre  string `cbor:"2,keyasint"`
	Address     string `cbor:"3,keyasint"`
	Incarnation uint64 `cbor:"4,keyasint"`
	Refutation  uint64 `cbor:"5,keyasint,omitempty"`
	State       State  `cbor:"6,keyasint"`
}

func toWire(m Member) memberWire {
	return memberWire{m.place.Name, m.place.DataCentre, m.place.Address, m.incarnation, m.refutation, m.state}
}

func (w memberWire) member() Member {
	return Member{place: Place{w.Place, w.DataCentre, w.Address}, incarnation: w.Incarnation, refutation: w.Refutation, state: w.State}
}

// probeMessage is both the request and the answer of a probe. The first update is the sender's own state.
type probeMessage struct {
	Updates []memberWire `cbor:"updates"`
	Digest  uint64       `cbor:"digest"` // hash of the sender's configuration
	Loads   []loadWire   `cbor:"loads,omitempty"`
	Sites   []siteWire   `cbor:"sites,omitempty"` // the sender's data centre first
}

// loadWire is the load of an endpoint that the sender owns.
type loadWire struct {
	Endpoint string   `cbor:"1,keyasint"`
	Load     loadBody `cbor:"2,keyasint"`
}

// maxLoads bounds the loads in one message.
const maxLoads = 16

type indirectRequest struct {
	Address string `cbor:"address"`
}

type indirectReply struct {
	Answer *probeMessage `cbor:"answer,omitempty"`
}

// probe sends this second's probes: one to a member of the data centre, one to a contact in another data centre, and one to
// a contact from the settings while no member is known.
func (n *Node) probe(now time.Time) {
	if target, ok := n.members.Target(); ok && target.place.Address != "" {
		n.probeMember(target, n.message(now, target.place))
	}
	if c, ok := n.sites.target(n.rnd); ok {
		n.probeContact(c.Address, n.message(now, c))
	}
	if len(n.placeList) == 0 && len(n.cfg.Contacts) > 0 {
		address := n.cfg.Contacts[n.contacts%len(n.cfg.Contacts)]
		n.contacts++
		if address != n.address {
			n.probeContact(address, n.message(now, Place{}))
		}
	}
}

func (n *Node) probeMember(target Member, msg *probeMessage) {
	address := target.place.Address
	relays := n.members.Random(probeRelays, target.place.Name)
	n.background(func(ctx context.Context) {
		if rep, err := n.sendProbe(ctx, address, msg); err == nil {
			n.post(func() { n.heard(rep) })
			return
		}
		ctx, cancel := context.WithTimeout(ctx, 2*probeTimeout)
		defer cancel()
		answers := make(chan *probeMessage, len(relays))
		for _, r := range relays {
			go func() {
				rep, err := call[indirectReply](ctx, n.transport, r.place.Address, "probeIndirect", &indirectRequest{address})
				if err != nil {
					rep = &indirectReply{}
				}
				answers <- rep.Answer
			}()
		}
		for range relays {
			if rep := <-answers; rep != nil {
				n.post(func() { n.heard(rep) })
				return
			}
		}
		n.post(func() { n.members.Failed(time.Now(), target.place.Name) })
	})
}

func (n *Node) probeContact(address string, msg *probeMessage) {
	n.background(func(ctx context.Context) {
		if rep, err := n.sendProbe(ctx, address, msg); err == nil {
			n.post(func() { n.heard(rep) })
		}
	})
}

func (n *Node) sendProbe(ctx context.Context, address string, msg *probeMessage) (*probeMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return call[probeMessage](ctx, n.transport, address, "probe", msg)
}

// message returns what this VM tells another one.
func (n *Node) message(now time.Time, to Place) *probeMessage {
	msg := &probeMessage{Digest: n.syncing.digest, Sites: n.siteUpdates(now)}
	if to.DataCentre == n.cfg.DataCentre {
		for _, m := range n.members.Updates(to.Name) {
			msg.Updates = append(msg.Updates, toWire(m))
		}
		for name, o := range n.owned {
			if len(msg.Loads) == maxLoads {
				break // map order varies, so other endpoints have their turn in other messages
			}
			msg.Loads = append(msg.Loads, loadWire{name, loadBody(o.ledger.Load())})
		}
		return msg
	}
	msg.Updates = append(msg.Updates, toWire(n.members.Self()))
	for _, m := range n.members.Random(maxPiggyback, "") {
		msg.Updates = append(msg.Updates, toWire(m))
	}
	return msg
}

// heard takes over what another VM told.
func (n *Node) heard(msg *probeMessage) {
	if len(msg.Updates) == 0 {
		return
	}
	now := time.Now()
	sender := msg.Updates[0].member()
	updates := make([]Member, 0, len(msg.Updates))
	for _, u := range msg.Updates {
		updates = append(updates, u.member())
	}
	if sender.place.DataCentre == n.cfg.DataCentre {
		n.members.Apply(now, updates)
		for _, l := range msg.Loads {
			n.observeLoad(now, l.Endpoint, engine.Load(l.Load))
		}
	} else {
		n.sites.heard(now, updates)
	}
	n.sites.apply(now, msg.Sites)
	n.compareSync(sender.place.Address, msg.Digest)
}

// observeLoad keeps the load that an endpoint's owner told.
func (n *Node) observeLoad(now time.Time, endpoint string, l engine.Load) {
	if _, ok := n.specs[endpoint]; ok && n.owned[endpoint] == nil {
		n.loads[endpoint] = knownLoad{l, now}
	}
}

func (n *Node) handleProbe(_ context.Context, req *probeMessage) (*probeMessage, error) {
	var rep *probeMessage
	ok := n.do(func() {
		n.heard(req)
		var to Place
		if len(req.Updates) > 0 {
			to = req.Updates[0].member().place
		}
		rep = n.message(time.Now(), to)
	})
	if !ok {
		return nil, errStopped
	}
	return rep, nil
}

func (n *Node) handleIndirect(ctx context.Context, req *indirectRequest) (*indirectReply, error) {
	var msg *probeMessage
	var known bool
	n.do(func() {
		for _, m := range n.members.All() {
			if m.place.Address == req.Address {
				known = true
				msg = n.message(time.Now(), m.place)
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

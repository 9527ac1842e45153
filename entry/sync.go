package entry

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// pushAll is the number of live members up to which a change is announced to all of them.
	pushAll = 8
	// pushSome is the number of members that hear of a change otherwise; they announce it further.
	pushSome = 4
	// rememberedDigests bounds the states that are not pulled again.
	rememberedDigests = 32
	// syncTimeout bounds the transfer of a state.
	syncTimeout = 5 * time.Second
)

// syncState is what this VM knows about its configuration state and those of others.
type syncState struct {
	version, digest uint64
	hashing         bool
	pulling         bool
	imported        []uint64 // digests of states that were imported or are being imported
}

// syncMessage announces a state by its digest, asks for one, or carries one.
type syncMessage struct {
	Address string `cbor:"address,omitempty"` // of the sender, for pulling what it announces
	Digest  uint64 `cbor:"digest"`
	Pull    bool   `cbor:"pull,omitempty"`
	State   []byte `cbor:"state,omitempty"`
}

// checkSync notices a change of the configuration state and announces it.
func (n *Node) checkSync() {
	s := n.opts.syncer
	if s == nil || n.syncing.hashing || (n.syncing.digest != 0 && s.Version() == n.syncing.version) {
		return
	}
	n.syncing.hashing = n.background(func(context.Context) {
		version := s.Version()
		digest := xxhash.Sum64(s.Export())
		n.post(func() {
			n.syncing.hashing = false
			changed := digest != n.syncing.digest
			n.syncing.version, n.syncing.digest = version, digest
			if changed {
				n.announce()
			}
		})
	})
}

// announce tells other VMs the digest of a changed state: all live members where they are few, otherwise some, and one
// contact in each other data centre.
func (n *Node) announce() {
	limit := pushAll
	if len(n.members.known) > pushAll {
		limit = pushSome
	}
	msg := &syncMessage{Address: n.members.Self().place.Address, Digest: n.syncing.digest}
	var addresses []string
	for _, m := range n.members.Random(limit, "") {
		addresses = append(addresses, m.place.Address)
	}
	addresses = append(addresses, n.sites.contacts(n.rnd)...)
	for _, address := range addresses {
		n.background(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			if _, err := call[syncMessage](ctx, n.transport, address, "sync", msg); err != nil {
				n.log.WithError(err).WithField("address", address).Debug("entry: announcement not delivered")
			}
		})
	}
}

// compareSync pulls the state of another VM that this one may lack. Only digests are compared: versions have no order, because
// VMs that cannot reach the log accept changes apart. Import takes only what is newer, and a state that was imported before is
// not pulled again.
func (n *Node) compareSync(address string, digest uint64) {
	st := &n.syncing
	if n.opts.syncer == nil || digest == 0 || digest == st.digest || st.pulling {
		return
	}
	for _, d := range st.imported {
		if d == digest {
			return
		}
	}
	st.pulling = n.background(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, syncTimeout)
		defer cancel()
		rep, err := call[syncMessage](ctx, n.transport, address, "sync", &syncMessage{Pull: true})
		if err == nil && len(rep.State) > 0 {
			err = n.opts.syncer.Import(rep.State)
		}
		n.post(func() {
			st.pulling = false
			if err != nil {
				n.log.WithError(err).WithField("address", address).Warn("entry: configuration not taken from another VM")
				return
			}
			st.imported = append(st.imported, rep.Digest)
			if len(st.imported) > rememberedDigests {
				st.imported = st.imported[1:]
			}
			n.checkSync()
		})
	})
}

func (n *Node) handleSync(_ context.Context, req *syncMessage) (*syncMessage, error) {
	rep := &syncMessage{}
	if n.opts.syncer == nil {
		return rep, nil
	}
	if req.Pull {
		rep.State = n.opts.syncer.Export()
		rep.Digest = xxhash.Sum64(rep.State)
		return rep, nil
	}
	n.do(func() { n.compareSync(req.Address, req.Digest) })
	return rep, nil
}

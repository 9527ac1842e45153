package entry

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// fullFanout is the number of other members up to which a message is sent to all live ones.
	fullFanout = 8
	// partialFanout is the number of members that receive an announcement if there are more than fullFanout. They import
	// the state and announce it in turn.
	partialFanout = 4
	// maxImportedDigests is the number of imported states whose digests are stored, so that these states are not pulled
	// again.
	maxImportedDigests = 32
	// syncTimeout bounds the transfer of a configuration state.
	syncTimeout = 5 * time.Second
)

// syncState tracks this VM's configuration state, and which states of other VMs it has imported.
type syncState struct {
	version, digest uint64
	hashInProgress  bool
	pullInProgress  bool
	importedDigests []uint64 // of states of other VMs, oldest first
}

// syncMessage announces a configuration state by its digest, requests a state, or carries one.
type syncMessage struct {
	Address string `cbor:"address,omitempty"` // of the sender, from which the announced state is pulled
	Digest  uint64 `cbor:"digest"`
	Pull    bool   `cbor:"pull,omitempty"`
	State   []byte `cbor:"state,omitempty"`
}

// checkConfigVersion recomputes the digest after a change of the configuration state and announces a new digest.
func (n *Node) checkConfigVersion() {
	s := n.opts.syncer
	if s == nil || n.configSync.hashInProgress || (n.configSync.digest != 0 && s.Version() == n.configSync.version) {
		return
	}
	n.configSync.hashInProgress = n.background(func(context.Context) {
		version := s.Version()
		digest := xxhash.Sum64(s.Export())
		n.post(func() {
			n.configSync.hashInProgress = false
			changed := digest != n.configSync.digest
			n.configSync.version, n.configSync.digest = version, digest
			if changed {
				n.announce()
			}
		})
	})
}

// announce sends the digest of a changed state to all live members if there are few, otherwise to some of them, and to one
// VM in each other data centre.
func (n *Node) announce() {
	limit := fullFanout
	if len(n.members.known) > fullFanout {
		limit = partialFanout
	}
	msg := &syncMessage{Address: n.members.Self().vm.Address, Digest: n.configSync.digest}
	var addresses []string
	for _, m := range n.members.RandomAlive(limit, "") {
		addresses = append(addresses, m.vm.Address)
	}
	addresses = append(addresses, n.dataCentres.contacts(n.rnd)...)
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

// pullIfDifferent pulls the state of another VM if it may contain changes that this VM lacks. Only digests are
// compared: versions have no order, because VMs that cannot reach the log accept changes independently. Import applies
// only newer changes, and a state that was imported before is not pulled again.
func (n *Node) pullIfDifferent(address string, digest uint64) {
	state := &n.configSync
	if n.opts.syncer == nil || digest == 0 || digest == state.digest || state.pullInProgress {
		return
	}
	for _, d := range state.importedDigests {
		if d == digest {
			return
		}
	}
	state.pullInProgress = n.background(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, syncTimeout)
		defer cancel()
		rep, err := call[syncMessage](ctx, n.transport, address, "sync", &syncMessage{Pull: true})
		if err == nil && len(rep.State) > 0 {
			err = n.opts.syncer.Import(rep.State)
		}
		n.post(func() {
			state.pullInProgress = false
			if err != nil {
				n.log.WithError(err).WithField("address", address).Warn("entry: configuration not imported from another VM")
				return
			}
			state.importedDigests = append(state.importedDigests, rep.Digest)
			if len(state.importedDigests) > maxImportedDigests {
				state.importedDigests = state.importedDigests[1:]
			}
			n.checkConfigVersion()
		})
	})
}

// handleSync answers a pull with this VM's state. For an announcement, it pulls the announced state if it is not known.
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
	n.do(func() { n.pullIfDifferent(req.Address, req.Digest) })
	return rep, nil
}

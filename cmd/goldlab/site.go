package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"strings"
	"time"

	"goldcrestpath/customer"
	"goldcrestpath/standin"
)

// Site runs the entry VMs of an experiment.
type Site interface {
	// Start starts the VM at a place.
	Start(place string) error
	// Stop stops the VM at a place, gracefully or at once.
	Stop(ctx context.Context, place string, graceful bool) error
	// Callers returns the callers' addresses of the VMs in a data centre, or of all VMs for "".
	Callers(dataCentre string) []string
	// Publish publishes the first revision of a document.
	Publish(ctx context.Context, document, content string) error
	// SetDrained takes a data centre, VM or endpoint out or back.
	SetDrained(ctx context.Context, target string, drained bool) error
	// Close stops all VMs at once.
	Close()
}

// place is the slot of one VM with its addresses.
type place struct {
	name, dataCentre       string
	caller, peer, operator string
}

// freeAddresses returns n loopback addresses that were free a moment ago.
func freeAddresses(n int) ([]string, error) {
	var all []string
	for range n {
		ln, err := net.Listen("tcp", loopback)
		if err != nil {
			return nil, err
		}
		defer ln.Close()
		all = append(all, ln.Addr().String())
	}
	return all, nil
}

// loopback lets the system select a port.
const loopback = "127.0.0.1:0"

// tokenFile has the operators' token, beside the settings files.
const tokenFile = "operator.token"

// claimRetention is how long idempotency keys are kept in labs.
const claimRetention = 10 * time.Minute

// settings returns the settings file of the VM at p.
func (l *lab) settings(p place) string {
	var contacts []string
	for _, o := range l.places {
		if o.name != p.name {
			contacts = append(contacts, o.peer)
		}
	}
	var b strings.Builder
	section(&b, "vm", "place", p.name, "dataCentre", p.dataCentre, "stopDelay", "200ms")
	section(&b, "caller", "listen", p.caller)
	section(&b, "peer", "listen", p.peer, "contacts", strings.Join(contacts, ", "))
	section(&b, "operator", "listen", p.operator, "tokenFile", tokenFile)
	relays := l.relays[p.dataCentre]
	section(&b, "platform", "log", relays[0].Address(), "vmList", relays[1].Address(), "weightStore", relays[2].Address(),
		"claimRetention", claimRetention.String())
	section(&b, "routing", "policy", l.cfg.policy)
	return b.String()
}

// fleet returns the fleet document.
func (l *lab) fleet() string {
	var b strings.Builder
	for _, dc := range l.cfg.dataCentres {
		section(&b, "dataCentre "+dc, "region", l.cfg.region)
	}
	for _, p := range l.places {
		section(&b, "vm "+p.name, "dataCentre", p.dataCentre, "address", p.peer)
	}
	for _, dc := range l.cfg.dataCentres {
		var members []string
		group := "group-" + dc
		for i, e := range l.engines[dc] {
			c := e.Config()
			pairs := []string{
				"dataCentre", dc, "address", e.Address(), "model", c.Model, "kvTokens", fmt.Sprint(c.KVTokens),
				"sequences", fmt.Sprint(c.Sequences), "prefillRate", fmt.Sprint(c.PrefillRate * c.TimeScale),
				"decodeRate", fmt.Sprint(c.DecodeRate() * c.TimeScale), "coldSequences", fmt.Sprint(c.ColdSequences),
				"checksFence", fmt.Sprint(c.ChecksFence),
			}
			if i < groupSize && len(l.engines[dc]) >= groupSize {
				members = append(members, c.Name)
				pairs = append(pairs, "group", group)
			}
			section(&b, "engine "+c.Name, pairs...)
		}
		if len(members) > 0 {
			section(&b, "group "+group, "members", strings.Join(members, ", "))
		}
		for i, s := range l.bookings[dc] {
			section(&b, fmt.Sprintf("service booking-%s-%d", dc, i+1), "service", "booking", "dataCentre", dc, "address", s.Address(),
				"concurrent", "32")
		}
	}
	return b.String()
}

// groupSize is the number of engines in a group; three of them hold a prompt of 1,000,000 tokens.
const groupSize = 3

// contract returns the contract of a customer.
func (l *lab) contract(c labCustomer) string {
	var b strings.Builder
	sum := sha256.Sum256([]byte(c.load.APIKey))
	section(&b, "contract", "name", c.load.Name, "weight", fmt.Sprint(c.weight), "priority", fmt.Sprint(c.priority),
		"tokensPerSecond", fmt.Sprint(c.tokensPerSecond), "burst", fmt.Sprint(c.burst), "concurrent", fmt.Sprint(c.concurrent),
		"longestPrompt", "1000000", "models", labModel, "services", "booking")
	section(&b, "keys", "lab", hex.EncodeToString(sum[:]))
	section(&b, "firstToken", classValues(l.cfg.deadlines)...)
	section(&b, "deadline", classValues(l.cfg.deadlines)...)
	return b.String()
}

func classValues(d standin.Deadlines) []string {
	var pairs []string
	for _, c := range customer.Classes() {
		pairs = append(pairs, c.String(), d[c].String())
	}
	return pairs
}

// section appends one INI section with pairs of keys and values.
func section(b *strings.Builder, name string, pairs ...string) {
	fmt.Fprintf(b, "[%s]\n", name)
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(b, "%s = %s\n", pairs[i], pairs[i+1])
	}
	b.WriteString("\n")
}

// newSite starts the site of a lab; tests replace it.
var newSite = startVMSite

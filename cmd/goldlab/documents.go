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

// VMController starts, stops and configures the entry VMs of a lab.
type VMController interface {
	// Start starts the VM with the given name.
	Start(name string) error
	// Stop stops the VM with the given name, gracefully or at once.
	Stop(ctx context.Context, name string, graceful bool) error
	// CallerAddresses returns the addresses where the running VMs of a data centre listen for callers, or those of all running VMs if
	// dataCentre is empty.
	CallerAddresses(dataCentre string) []string
	// Publish publishes the first revision of a document.
	Publish(ctx context.Context, document, content string) error
	// SetDrained drains a data centre, VM or endpoint or returns it to service.
	SetDrained(ctx context.Context, target string, drained bool) error
	// Close stops all VMs at once.
	Close()
}

// vmConfig is the name, data centre and listen addresses of one entry VM.
type vmConfig struct {
	name, dataCentre       string
	caller, peer, operator string
}

// freeAddresses returns n loopback addresses with ports that were free at the time of the call.
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

// loopback is a listen address for which the operating system selects the port.
const loopback = "127.0.0.1:0"

// tokenFile is the file with the operator token, in the directory of the settings files.
const tokenFile = "operator.token"

// claimRetention is the time for which the VMs of a lab keep idempotency keys.
const claimRetention = 10 * time.Minute

// settings returns the content of the settings file of the VM v.
func (l *lab) settings(v vmConfig) string {
	var bootstrapAddresses []string
	for _, other := range l.vms {
		if other.name != v.name {
			bootstrapAddresses = append(bootstrapAddresses, other.peer)
		}
	}
	var b strings.Builder
	writeSection(&b, "vm", "place", v.name, "dataCentre", v.dataCentre, "stopDelay", "200ms")
	writeSection(&b, "caller", "listen", v.caller)
	writeSection(&b, "peer", "listen", v.peer, "contacts", strings.Join(bootstrapAddresses, ", "))
	writeSection(&b, "operator", "listen", v.operator, "tokenFile", tokenFile)
	relays := l.relays[v.dataCentre]
	writeSection(&b, "platform", "log", relays[0].Address(), "vmList", relays[1].Address(), "weightStore", relays[2].Address(),
		"claimRetention", claimRetention.String())
	writeSection(&b, "routing", "policy", l.cfg.policy)
	return b.String()
}

// fleet returns the fleet document of the lab.
func (l *lab) fleet() string {
	var b strings.Builder
	for _, dc := range l.cfg.dataCentres {
		writeSection(&b, "dataCentre "+dc, "region", l.cfg.region)
	}
	for _, v := range l.vms {
		writeSection(&b, "vm "+v.name, "dataCentre", v.dataCentre, "address", v.peer)
	}
	for _, dc := range l.cfg.dataCentres {
		var members []string
		group := "group-" + dc
		for i, e := range l.engines[dc] {
			c := e.Config()
			pairs := []string{
				"dataCentre", dc, "address", e.Address(), "model", c.Model, "kvTokens", fmt.Sprint(c.KVTokens),
				"sequences", fmt.Sprint(c.BatchSlots), "prefillRate", fmt.Sprint(c.PrefillRate * c.TimeScale),
				"decodeRate", fmt.Sprint(c.DecodeRate() * c.TimeScale), "coldSequences", fmt.Sprint(c.ColdMaxStreams),
				"checksFence", fmt.Sprint(c.ChecksFence),
			}
			if i < groupSize && len(l.engines[dc]) >= groupSize {
				members = append(members, c.Name)
				pairs = append(pairs, "group", group)
			}
			writeSection(&b, "engine "+c.Name, pairs...)
		}
		if len(members) > 0 {
			writeSection(&b, "group "+group, "members", strings.Join(members, ", "))
		}
		for i, s := range l.bookings[dc] {
			writeSection(&b, fmt.Sprintf("service booking-%s-%d", dc, i+1), "service", "booking", "dataCentre", dc, "address", s.Address(),
				"concurrent", "32")
		}
	}
	return b.String()
}

// groupSize is the number of engines in a group. Three engines together have enough KV memory for a prompt of 1,000,000 tokens.
const groupSize = 3

// contract returns the contract document of a customer.
func (l *lab) contract(c labCustomer) string {
	var b strings.Builder
	sum := sha256.Sum256([]byte(c.load.APIKey))
	writeSection(&b, "contract", "name", c.load.Name, "weight", fmt.Sprint(c.weight), "priority", fmt.Sprint(c.priority),
		"tokensPerSecond", fmt.Sprint(c.tokensPerSecond), "burst", fmt.Sprint(c.burst), "concurrent", fmt.Sprint(c.concurrent),
		"longestPrompt", "1000000", "models", labModel, "services", "booking")
	writeSection(&b, "keys", "lab", hex.EncodeToString(sum[:]))
	writeSection(&b, "firstToken", classValues(l.cfg.deadlines)...)
	writeSection(&b, "deadline", classValues(l.cfg.deadlines)...)
	return b.String()
}

// classValues returns the deadlines as pairs of class name and duration.
func classValues(d standin.Deadlines) []string {
	var pairs []string
	for _, c := range customer.Classes() {
		pairs = append(pairs, c.String(), d[c].String())
	}
	return pairs
}

// writeSection writes an INI section. The pairs alternate between keys and values.
func writeSection(b *strings.Builder, name string, pairs ...string) {
	fmt.Fprintf(b, "[%s]\n", name)
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(b, "%s = %s\n", pairs[i], pairs[i+1])
	}
	b.WriteString("\n")
}

// newVMController returns the controller of a lab's VMs. Tests replace it.
var newVMController = startVMController

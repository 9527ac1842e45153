// Package peer exchanges state between the entry VMs of one deployment.
//
// Each VM sends datagrams to all others: its loads on endpoints when they change, and a heartbeat with all of them several times
// a second. A datagram holds complete values, never differences, so a later one makes up for a lost one. VMs find each other
// through records in the platform's store and through the addresses in heartbeats.
//
// The exchange also carries the records of the platform's topics from the VM that reads them to the others, and reports of engines
// that refused to help with a prefill. A [Receiver] handles the records.
package peer

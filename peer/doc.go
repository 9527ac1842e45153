// Package peer exchanges state between the entry VMs of one deployment.
//
// Each VM sends datagrams to all others: what it runs on endpoints when that changes, and a heartbeat with all of it several
// times a second. A datagram holds complete values, never differences, so a lost one is repaired by the next. VMs find each
// other through records in the platform's store and through the addresses that heartbeats carry.
//
// One VM, the reader, reads the platform's topics and passes new records on. A VM that has not heard from a reader for
// [StaleAfter] reads the store itself, and a VM that the store turns away takes the records of any peer.
package peer

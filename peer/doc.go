// Package peer exchanges state between the entry VMs of one deployment.
//
// Each VM sends datagrams to all others: what it runs on endpoints when that changes, and a heartbeat with all of it several
// times a second. A datagram holds complete values, never differences, so a lost one is repaired by the next. VMs find each
// other through records in the platform's store and through the addresses that heartbeats carry.
//
// The exchange also carries records of the platform's topics from the VM that reads them to the others, and the addresses of
// engines that refused to help. What to do with records is up to a [Receiver].
package peer

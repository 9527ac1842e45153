// Package gateway assembles one entry VM of a deployment in which the platform's store provides the routes and
// endpoints.
//
// The VM keeps copies of the store's topics ([oplog.TopicReplica]), from which it builds the routing table and the
// fleet of endpoints, and exchanges loads and records with the other VMs. It serves callers as long as it has a
// configuration, even while the store is unreachable.
package gateway

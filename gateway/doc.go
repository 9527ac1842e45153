// Package gateway assembles one entry VM of a deployment whose platform tells routes and endpoints.
//
// The VM keeps a copy of the platform's topics ([oplog.Replica]), from which it builds the routing table and the fleet of
// endpoints, and exchanges loads and records with the other VMs. It serves callers as long as it has a configuration, also
// while the store cannot be reached.
package gateway

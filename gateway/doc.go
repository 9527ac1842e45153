// Package gateway assembles one entry VM of a deployment in which the platform's store supplies the configuration and
// the endpoints.
//
// The VM keeps copies of the store's topics ([oplog.TopicReplica]). From them it builds the routing table and the fleet
// of endpoints. It exchanges the endpoints' loads and the topics' records with the other VMs. It serves callers as long
// as it has a configuration, even while the store is unreachable.
package gateway

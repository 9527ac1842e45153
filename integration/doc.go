// Package integration tests goldcrest VM processes against stand-ins for the engines, the services and the log. The VMs reach the
// stand-ins and each other through fault-injecting proxies.
package integration

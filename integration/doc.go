// Package integration tests real goldcrest processes against stand-ins behind a fault-injecting proxy.
package integration

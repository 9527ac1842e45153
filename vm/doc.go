// Package vm assembles one entry VM from the packages that speak to its peers, and holds the path of a request through it.
package vm

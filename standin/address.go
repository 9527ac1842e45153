package standin

import (
	"net"
	"os"
	"strconv"
	"sync"

	"github.com/pkg/errors"
)

// Ports that FreeAddress hands out. The range lies below the ephemeral ports of Linux (32768 and up), so that no outgoing
// connection takes a port between its choice and its use.
const (
	firstPort = 14_000
	lastPort  = 32_000
)

// portsPerProcess is the distance between the first ports of processes with neighbouring IDs. go test starts the test processes of
// several packages together, and the integration tests take several hundred ports.
const portsPerProcess = 1_009

var nextPort = struct {
	sync.Mutex
	offset int
}{offset: os.Getpid() * portsPerProcess}

// FreeAddress returns a loopback address that nothing listens on. It hands out each address once in a process; processes start at
// different ports.
func FreeAddress() (string, error) {
	nextPort.Lock()
	defer nextPort.Unlock()
	for range lastPort - firstPort {
		nextPort.offset++
		address := "127.0.0.1:" + strconv.Itoa(firstPort+nextPort.offset%(lastPort-firstPort))
		ln, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		if err := ln.Close(); err != nil {
			return "", err
		}
		return address, nil
	}
	return "", errors.New("no free loopback port")
}

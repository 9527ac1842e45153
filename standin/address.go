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

// blockPorts is the number of ports that a process takes at a time. It holds the first port of each of its blocks, so that a port
// which it uses again after a restart cannot go to another test process: VMs of two sites would then talk to each other.
const blockPorts = 500

var ports struct {
	sync.Mutex
	guards []net.Listener // first ports of this process's blocks, open until the process ends
	next   int
	end    int
}

// FreeAddress returns a loopback address that nothing listens on. It hands out each address once in a process, and never one that
// another process has.
func FreeAddress() (string, error) {
	ports.Lock()
	defer ports.Unlock()
	for {
		for ports.next < ports.end {
			address := "127.0.0.1:" + strconv.Itoa(ports.next)
			ports.next++
			if ln, err := net.Listen("tcp", address); err == nil {
				return address, ln.Close()
			}
		}
		if !takeBlock() {
			return "", errors.New("no free loopback port")
		}
	}
}

// takeBlock takes the first block of ports that no process holds. Processes begin the search at different blocks.
func takeBlock() bool {
	const blocks = (lastPort - firstPort) / blockPorts
	for i := range blocks {
		first := firstPort + (os.Getpid()+i)%blocks*blockPorts
		if ln, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(first)); err == nil {
			ports.guards = append(ports.guards, ln)
			ports.next, ports.end = first+1, first+blockPorts
			return true
		}
	}
	return false
}

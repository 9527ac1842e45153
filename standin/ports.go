package standin

import (
	"net"
	"os"
	"strconv"
	"sync"

	"github.com/pkg/errors"
)

// Bounds of the ports that FreeAddress returns. The range lies below the ephemeral ports of Linux (32768 and up), so that no
// outgoing connection takes a port between its selection and its use.
const (
	firstPort = 14_000
	lastPort  = 32_000
)

// portsPerBlock is the number of ports that a process reserves at a time. The process listens on the first port of each of its
// blocks until it ends. No other test process can then use a port of the block, not even one that is free for a moment while a
// VM restarts. Otherwise VMs of two concurrent tests could connect to each other.
const portsPerBlock = 500

var ports struct {
	sync.Mutex
	blockListeners []net.Listener // on the first port of each block of this process, open until the process ends
	next           int
	end            int
}

// FreeAddress returns a loopback address that nothing listens on. It returns each address at most once per process, and none from
// a block that another process has reserved.
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
		if !reserveBlock() {
			return "", errors.New("no free loopback port")
		}
	}
}

// reserveBlock reserves the first block of ports that no process has reserved, and reports whether there was one. The search
// starts at a block that depends on the process ID, so that concurrent processes rarely try the same block.
func reserveBlock() bool {
	const blocks = (lastPort - firstPort) / portsPerBlock
	for i := range blocks {
		first := firstPort + (os.Getpid()+i)%blocks*portsPerBlock
		if ln, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(first)); err == nil {
			ports.blockListeners = append(ports.blockListeners, ln)
			ports.next, ports.end = first+1, first+portsPerBlock
			return true
		}
	}
	return false
}

package soak

import (
	"context"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"goldcrestpath/gateway"
	"goldcrestpath/http1"
	"goldcrestpath/http1/http1test"
	"goldcrestpath/operator"
)

// cutModes are the contents of a paths file, by the way in which the paths of a VM to the endpoints are cut.
var cutModes = map[string]http1test.CutMode{"": http1test.Open, "hang": http1test.Hang, "reset": http1test.Reset, "refuse": http1test.Refuse}

const (
	pathsInterval = 20 * time.Millisecond // between two looks at the paths file
	pathTimeout   = 300 * time.Millisecond
)

// ServeVM runs a gateway, as goldcrest serve does, whose paths to the endpoints are cut in the way that the paths file states. It ends on SIGTERM
// or SIGINT; SIGHUP reloads the settings.
func ServeVM(settingsFile, pathsFile string, w io.Writer) error {
	s, err := operator.LoadGatewaySettings(settingsFile)
	if err != nil {
		return err
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	cut := http1test.NewCut(http1.NewDialer(pathTimeout).DialContext)
	g, err := gateway.New(s, "soak", w, gateway.WithDial(cut.DialContext))
	if err != nil {
		return err
	}
	defer g.Close()
	ticker := time.NewTicker(pathsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			data, err := os.ReadFile(pathsFile)
			if err != nil && !os.IsNotExist(err) {
				return err
			}
			cut.Set(cutModes[strings.TrimSpace(string(data))])
		case <-reload:
			g.Reload(operator.LoadGatewaySettings(settingsFile))
		case <-stop:
			return g.Shutdown(context.Background())
		}
	}
}

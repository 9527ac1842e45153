package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"goldcrestpath/operator"
	"goldcrestpath/vm"
)

const (
	// operatorToken is the token of a lab's operators' API, which listens on loopback only.
	operatorToken = "token-of-the-lab-operators"
	// publishWithin is the time in which the VMs must accept the first configuration.
	publishWithin = 20 * time.Second
	// stopWithin bounds a graceful stop.
	stopWithin = time.Minute
)

// vmSite runs the entry VMs of a lab in this process.
type vmSite struct {
	lab *lab
	dir string // settings and token
	vms map[string]*vm.VM
}

// startVMSite returns a site with no VM started.
func startVMSite(_ context.Context, l *lab) (Site, error) {
	dir, err := os.MkdirTemp("", "goldlab")
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(filepath.Join(dir, tokenFile), []byte(operatorToken+"\n"), 0o600); err != nil {
		return nil, err
	}
	return &vmSite{lab: l, dir: dir, vms: map[string]*vm.VM{}}, nil
}

// Start implements Site.
func (s *vmSite) Start(name string) error {
	for _, p := range s.lab.places {
		if p.name != name {
			continue
		}
		file := filepath.Join(s.dir, strings.ReplaceAll(name, "/", "-")+".ini")
		if err := os.WriteFile(file, []byte(s.lab.settings(p)), 0o600); err != nil {
			return err
		}
		settings, err := operator.LoadSettings(file)
		if err != nil {
			return err
		}
		v, err := vm.New(settings)
		if err != nil {
			return err
		}
		s.vms[name] = v
		return nil
	}
	return errors.Errorf("no place %s", name)
}

// Stop implements Site.
func (s *vmSite) Stop(ctx context.Context, name string, graceful bool) error {
	v, ok := s.vms[name]
	if !ok {
		return errors.Errorf("no VM runs at %s", name)
	}
	delete(s.vms, name)
	if !graceful {
		v.Close()
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, stopWithin)
	defer cancel()
	return v.Shutdown(ctx)
}

// Callers implements Site.
func (s *vmSite) Callers(dataCentre string) []string {
	var all []string
	for _, p := range s.lab.places {
		if _, ok := s.vms[p.name]; ok && (dataCentre == "" || dataCentre == p.dataCentre) {
			all = append(all, p.caller)
		}
	}
	return all
}

// Publish implements Site.
func (s *vmSite) Publish(ctx context.Context, document, content string) error {
	ctx, cancel := context.WithTimeout(ctx, publishWithin)
	defer cancel()
	for {
		err := s.operate(func(c *operator.Client) error {
			_, err := c.Publish(ctx, document, 0, []byte(content))
			return err
		})
		if err == nil || !sleep(ctx, 100*time.Millisecond) {
			return errors.Wrapf(err, "publish %s", document)
		}
	}
}

// SetDrained implements Site.
func (s *vmSite) SetDrained(ctx context.Context, target string, drained bool) error {
	return s.operate(func(c *operator.Client) error {
		_, err := c.SetDrain(ctx, target, drained)
		return err
	})
}

// operate calls the operators' API of the running VMs in turn until one accepts, and returns the last error.
func (s *vmSite) operate(call func(*operator.Client) error) error {
	err := errors.New("no VM runs")
	for _, p := range s.lab.places {
		if _, ok := s.vms[p.name]; !ok {
			continue
		}
		c := operator.NewClient(p.operator, operatorToken)
		err = call(c)
		c.Close()
		if err == nil {
			return nil
		}
	}
	return err
}

// Close implements Site.
func (s *vmSite) Close() {
	for _, v := range s.vms {
		v.Close()
	}
	os.RemoveAll(s.dir)
}

// sleep returns false when the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

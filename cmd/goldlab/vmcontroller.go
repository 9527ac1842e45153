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
	// operatorToken is the token of the operator API in a lab, which listens on loopback only.
	operatorToken = "token-of-the-lab-operators"
	// publishTimeout is the time within which a VM must accept a document. It includes the start of the VM.
	publishTimeout = 20 * time.Second
	// stopTimeout limits the duration of a graceful stop.
	stopTimeout = time.Minute
)

// vmController runs the entry VMs of a lab in this process.
type vmController struct {
	lab *lab
	dir string            // directory of the settings files and the operator token
	vms map[string]*vm.VM // running VMs by name
}

// startVMController returns a controller without running VMs.
func startVMController(_ context.Context, l *lab) (VMController, error) {
	dir, err := os.MkdirTemp("", "goldlab")
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(filepath.Join(dir, tokenFile), []byte(operatorToken+"\n"), 0o600); err != nil {
		return nil, err
	}
	return &vmController{lab: l, dir: dir, vms: map[string]*vm.VM{}}, nil
}

// Start implements VMController.
func (c *vmController) Start(name string) error {
	for _, v := range c.lab.vms {
		if v.name != name {
			continue
		}
		file := filepath.Join(c.dir, strings.ReplaceAll(name, "/", "-")+".ini")
		if err := os.WriteFile(file, []byte(c.lab.settings(v)), 0o600); err != nil {
			return err
		}
		settings, err := operator.LoadSettings(file)
		if err != nil {
			return err
		}
		started, err := vm.New(settings)
		if err != nil {
			return err
		}
		c.vms[name] = started
		return nil
	}
	return errors.Errorf("the lab has no VM %s", name)
}

// Stop implements VMController.
func (c *vmController) Stop(ctx context.Context, name string, graceful bool) error {
	v, ok := c.vms[name]
	if !ok {
		return errors.Errorf("VM %s is not running", name)
	}
	delete(c.vms, name)
	if !graceful {
		v.Close()
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	return v.Shutdown(ctx)
}

// CallerAddresses implements VMController.
func (c *vmController) CallerAddresses(dataCentre string) []string {
	var all []string
	for _, v := range c.lab.vms {
		if _, ok := c.vms[v.name]; ok && (dataCentre == "" || dataCentre == v.dataCentre) {
			all = append(all, v.caller)
		}
	}
	return all
}

// Publish implements VMController.
func (c *vmController) Publish(ctx context.Context, document, content string) error {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	for {
		err := c.callOperator(func(client *operator.Client) error {
			_, err := client.Publish(ctx, document, 0, []byte(content))
			return err
		})
		if err == nil || !sleep(ctx, 100*time.Millisecond) {
			return errors.Wrapf(err, "publish %s", document)
		}
	}
}

// SetDrained implements VMController.
func (c *vmController) SetDrained(ctx context.Context, target string, drained bool) error {
	return c.callOperator(func(client *operator.Client) error {
		_, err := client.SetDrain(ctx, target, drained)
		return err
	})
}

// callOperator makes a call to the operator API of the running VMs in turn until one succeeds. If none does, it returns the last
// error.
func (c *vmController) callOperator(call func(*operator.Client) error) error {
	err := errors.New("no VM is running")
	for _, v := range c.lab.vms {
		if _, ok := c.vms[v.name]; !ok {
			continue
		}
		client := operator.NewClient(v.operator, operatorToken)
		err = call(client)
		client.Close()
		if err == nil {
			return nil
		}
	}
	return err
}

// Close implements VMController.
func (c *vmController) Close() {
	for _, v := range c.vms {
		v.Close()
	}
	os.RemoveAll(c.dir)
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

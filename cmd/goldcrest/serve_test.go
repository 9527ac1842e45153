package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"goldcrestpath/standin"
)

// freeAddress returns a loopback address with a port that was free at the time of the call.
func freeAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// TestServeAndPublish guards against commands that do not work with a running VM. It covers the settings file, the operator token,
// publication, drain and status.
func TestServeAndPublish(t *testing.T) {
	log, err := standin.NewLog("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	dir := t.TempDir()
	write := func(name, text string) string {
		file := filepath.Join(dir, name)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return file
	}
	api, peer := freeAddress(t), freeAddress(t)
	token := write("operator.token", testToken)
	settings := write("settings.ini", fmt.Sprintf(`[vm]
place = jm-a/1
dataCentre = jm-a
stopDelay = 0s
[caller]
listen = %s
[peer]
listen = %s
[operator]
listen = %s
tokenFile = operator.token
[platform]
log = %s
[log]
level = error
`, freeAddress(t), peer, api, log.Address()))
	fleet := write("fleet.ini", "[dataCentre jm-a]\nregion = r\n[vm jm-a/1]\ndataCentre = jm-a\naddress = "+peer+"\n")

	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan int, 1)
	var stderr bytes.Buffer
	go func() { done <- run(ctx, []string{"goldcrest", "serve", "--settings", settings}, os.Stdout, &stderr) }()
	flags := []string{"--operator", api, "--tokenFile", token}
	published := false
	for range 200 { // retry until the VM has started and has read the log
		code, stdout, errs := runGoldcrest(append([]string{"publish", "fleet", fleet, "--base", "0"}, flags...)...)
		if code == exitDone && stdout == "1\n" {
			published = true
			break
		}
		if code != exitFailed {
			t.Fatalf("publish: exit code %d: %s", code, errs)
		}
		time.Sleep(50 * time.Millisecond)
	}
	if !published {
		t.Error("the fleet was not published")
	}
	if code, _, errs := runGoldcrest(append([]string{"publish", "fleet", fleet, "--base", "0"}, flags...)...); code != exitConflict {
		t.Errorf("publish on an old base: exit code %d: %s", code, errs)
	}
	if code, _, errs := runGoldcrest(append([]string{"drain", "vm/jm-a/1", "--wait"}, flags...)...); code != exitDone {
		t.Errorf("drain: exit code %d: %s", code, errs)
	}
	if code, stdout, errs := runGoldcrest(append([]string{"status"}, flags...)...); code != exitDone || !bytes.Contains([]byte(stdout), []byte("vm/jm-a/1  true")) {
		t.Errorf("status: exit code %d: %s%s", code, stdout, errs)
	}
	cancel()
	if code := <-done; code != exitDone {
		t.Errorf("serve: exit code %d: %s", code, stderr.String())
	}
}

package main

import (
	"bytes"
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"goldcrestpath/operator"
	"goldcrestpath/oplog"
)

const testToken = "0123456789abcdef"

// fakeVM implements the operator API with one document and one drain. Each status request reports one running request fewer.
type fakeVM struct {
	mu       sync.Mutex
	document oplog.Document
	drain    oplog.Drain
	running  int
}

func (v *fakeVM) Publish(_ context.Context, name string, base uint64, content []byte) (uint64, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if base != v.document.Revision {
		return 0, &oplog.ConflictError{Document: name, Base: base, Current: v.document.Revision}
	}
	v.document = oplog.Document{Name: name, Revision: base + 1, Content: content}
	return base + 1, nil
}

func (v *fakeVM) Document(string) (oplog.Document, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.document, v.document.Revision > 0
}

func (v *fakeVM) Documents() []oplog.Document { return v.History("") }

func (v *fakeVM) History(string) []oplog.Document {
	d, _ := v.Document("")
	return []oplog.Document{d}
}

func (v *fakeVM) SetDrain(_ context.Context, target string, drained bool) (oplog.Drain, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.drain = oplog.Drain{Target: target, Generation: v.drain.Generation + 1, Drained: drained}
	return v.drain, nil
}

func (v *fakeVM) Status(context.Context) (operator.Status, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := operator.Status{
		VMName: "jm-a/1", Running: v.running, Drains: []operator.DrainStatus{operator.NewDrainStatus(v.drain)},
		Members: []operator.MemberStatus{{VMName: "jm-a/2", State: "suspect"}}, Counters: map[string]int64{"tokenRate": 3},
	}
	v.running = max(0, v.running-1)
	return s, nil
}

// startAPI serves the operator API of v and returns the command-line flags to connect to it.
func startAPI(t *testing.T, v *fakeVM) []string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	logger := operator.WithLogger(&log.Logger{Handler: discard.New(), Level: log.ErrorLevel})
	s := operator.NewServer(v, metrics.NewRegistry(), operator.WithToken(testToken), logger)
	go s.Serve(ln)
	t.Cleanup(func() { s.Shutdown(context.Background()) })
	token := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(token, []byte(testToken+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	return []string{"--operator", ln.Addr().String(), "--tokenFile", token}
}

// runGoldcrest runs a goldcrest command line and returns its exit code and output.
func runGoldcrest(args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	code = run(context.Background(), append([]string{"goldcrest"}, args...), &out, &errs)
	return code, out.String(), errs.String()
}

// TestCheckAcceptsSamples guards against sample files that the check command rejects.
func TestCheckAcceptsSamples(t *testing.T) {
	files, err := filepath.Glob("../../sample/*.ini")
	if err != nil || len(files) < 3 {
		t.Fatalf("samples: %v, %v", files, err)
	}
	if code, stdout, stderr := runGoldcrest(append([]string{"check"}, files...)...); code != exitDone || strings.Count(stdout, "no problems") != len(files) {
		t.Errorf("exit code %d\n%s%s", code, stdout, stderr)
	}
}

// TestCheckReportsEveryFile guards against a check command that stops at the first invalid file, omits the position of a problem or
// exits with code 0.
func TestCheckReportsEveryFile(t *testing.T) {
	dir := t.TempDir()
	files := map[string]string{
		"settings.ini": "[vm]\nplace = a/1\ndataCentre = a\n[caller]\nlisten = here:1\n[peer]\nlisten = 10.0.0.1:1\n[platform]\nlog = 10.0.0.1:2\n",
		"fleet.ini":    "[dataCentre a]\nregion = r\nregions = s\n",
		"contract.ini": "[contract]\nname = c\nwieght = 3\n",
		"other.ini":    "[something]\n",
	}
	want := []string{
		`settings.ini: [caller] listen = "here:1": allowed is an IP address and port`,
		`fleet.ini: [dataCentre a] regions = "s": allowed is the keys region`,
		`contract.ini: [contract] wieght = "3": allowed is`,
		`other.ini: allowed is the sections of`,
		`absent.ini: allowed is a readable file`,
	}
	args := []string{"check", filepath.Join(dir, "absent.ini")}
	for name, text := range files {
		args = append(args, filepath.Join(dir, name))
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	code, _, stderr := runGoldcrest(args...)
	if code != exitProblems {
		t.Errorf("exit code %d, want %d", code, exitProblems)
	}
	for _, line := range want {
		if !strings.Contains(stderr, line) {
			t.Errorf("%q is missing in:\n%s", line, stderr)
		}
	}
}

// TestExitCodes guards against exit codes that do not let a script distinguish a conflict, an invalid file, a usage error and
// an unreachable VM.
func TestExitCodes(t *testing.T) {
	const contract, sampleFleet = "../../sample/contract.ini", "../../sample/fleet.ini"
	v := &fakeVM{running: 2}
	api := startAPI(t, v)
	tests := []struct {
		name           string
		args           []string
		api            bool
		code           int
		stdout, stderr string // expected substrings
	}{
		{"publish", []string{"publish", "contract/deskTeam", contract, "--base", "0"}, true, exitDone, "1\n", ""},
		{"conflict", []string{"publish", "--base", "0", "contract/deskTeam", contract}, true, exitConflict, "1\n", "base revision 0 is not the current revision 1"},
		{"wrong name", []string{"publish", "contract/x", contract, "--base", "1"}, true, exitProblems, "", `contract/x: [contract] name = "deskTeam"`},
		{"wrong kind", []string{"publish", "contract/deskTeam", sampleFleet, "--base", "1"}, true, exitProblems, "", "contract/deskTeam: "},
		{"no base", []string{"publish", "contract/deskTeam", contract}, true, exitUsage, "", "base"},
		{"show", []string{"show", "contract/deskTeam"}, true, exitDone, "name = deskTeam", "contract/deskTeam: revision 1"},
		{"list", []string{"show"}, true, exitDone, "contract/deskTeam  1", ""},
		{"history", []string{"history", "contract/deskTeam"}, true, exitDone, "contract/deskTeam  1", ""},
		{"history without that revision", []string{"history", "--revision", "7", "contract/deskTeam"}, true, exitFailed, "", "revision 7 is not in the history"},
		{"drain", []string{"drain", "vm/jm-a/1", "--wait"}, true, exitDone, "drained true, generation 1", ""},
		{"return", []string{"return", "vm/jm-a/1", "--wait"}, true, exitDone, "drained false, generation 2", ""},
		{"bad target", []string{"drain", "jm-a/1"}, true, exitUsage, "", "allowed are dataCentre/NAME"},
		{"status", []string{"status"}, true, exitDone, "jm-a/2  suspect", ""},
		{"status as JSON", []string{"status", "--json"}, true, exitDone, `"tokenRate": 3`, ""},
		{"unknown command", []string{"restart"}, false, exitUsage, "", `"restart" is unknown`},
		{"unknown flag", []string{"check", "--all"}, false, exitUsage, "", "all"},
		{"version", []string{"version"}, false, exitDone, "goldcrest ", ""},
		{"serve without settings", []string{"serve", "--settings", "absent.ini"}, false, exitProblems, "", "absent.ini"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			args := tt.args
			if tt.api {
				args = append(args, api...)
			}
			code, stdout, stderr := runGoldcrest(args...)
			if code != tt.code || !strings.Contains(stdout, tt.stdout) || !strings.Contains(stderr, tt.stderr) {
				t.Errorf("exit code %d, want %d\nstdout: %s\nstderr: %s", code, tt.code, stdout, stderr)
			}
		})
	}
	if v.running != 0 {
		t.Errorf("drain --wait returned with %d requests running", v.running)
	}
	if code, _, _ := runGoldcrest("status", "--operator", "127.0.0.1:1", api[2], api[3]); code != exitFailed {
		t.Errorf("status of a stopped VM: exit code %d, want %d", code, exitFailed)
	}
}

// blockingVM is an entry VM whose graceful stop blocks until Close is called.
type blockingVM struct{ closed chan struct{} }

func (v blockingVM) Shutdown(context.Context) error { <-v.closed; return nil }
func (v blockingVM) Close()                         { close(v.closed) }

// TestSecondSignal guards against a graceful stop that hangs and is not aborted by a second signal. It also guards against a failed
// start that serve does not report.
func TestSecondSignal(t *testing.T) {
	old := newVM
	defer func() { newVM = old }()
	log.SetHandler(discard.New())
	newVM = func(*operator.Settings) (entryVM, error) { return blockingVM{make(chan struct{})}, nil }
	signals := make(chan os.Signal, 2)
	signals <- syscall.SIGTERM
	signals <- syscall.SIGTERM
	if err := serve(t.Context(), nil, signals); err == nil {
		t.Error("serve returned no error although a second signal aborted the stop")
	}
	newVM = func(*operator.Settings) (entryVM, error) { return nil, errors.New("no VM") }
	if err := serve(t.Context(), nil, signals); err == nil {
		t.Error("serve returned no error although the VM did not start")
	}
}

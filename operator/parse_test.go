package operator

import (
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"goldcrestpath/customer"
	"goldcrestpath/engine"
	"goldcrestpath/service"
)

// readSample reads a file from the sample directory.
func readSample(t testing.TB, name string) []byte {
	t.Helper()
	data, err := os.ReadFile("../sample/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Guards against sample files that the parsers reject, and against values that are assigned to the wrong field.
func TestSamples(t *testing.T) {
	if _, err := LoadSettings("../sample/settings.ini"); err != nil {
		t.Errorf("settings: %v", err)
	}
	f, err := ParseFleet("fleet.ini", readSample(t, "fleet.ini"))
	if err != nil {
		t.Fatalf("fleet: %v", err)
	}
	wantEngine := engine.Spec{
		Name: "small-a1", DataCentre: "jm-a", Address: "127.0.0.1:7903", Model: "small", KVTokens: 400000, MaxSequences: 32,
		PrefillRate: 20000, DecodeRate: 60, MaxColdSequences: 2, ChecksFence: true, Group: "wide-a",
		Version: "1", Adapters: "summary,translation", Role: "mixed", WeightBytes: 16_000_000_000,
	}
	wantService := service.Spec{
		Name: "booking-a1", Service: "booking", DataCentre: "jm-a", Address: "127.0.0.1:7906", MaxConcurrent: 16,
		IdempotentRules: []string{"PUT /rooms/", "DELETE /drafts/"}, BodyLimitBytes: 1 << 20,
	}
	if diff := cmp.Diff(wantEngine, f.Engines()[0]); diff != "" {
		t.Errorf("engine:\n%s", diff)
	}
	if diff := cmp.Diff(wantService, f.Services()[0]); diff != "" {
		t.Errorf("service:\n%s", diff)
	}
	if diff := cmp.Diff([]Group{{Name: "wide-a", Members: []string{"small-a1", "small-a2"}}}, f.Groups()); diff != "" {
		t.Errorf("groups:\n%s", diff)
	}
	if got := len(f.VMs()); got != 4 || f.Region("jm-b") != "jm-east" {
		t.Errorf("%d VMs, region %q", got, f.Region("jm-b"))
	}
}

// Guards against problems that are not reported, are reported only one at a time, or lack their file, section or key.
func TestProblems(t *testing.T) {
	settings := func(file string, data []byte) error { _, err := ParseSettings(file, data); return err }
	fleet := func(file string, data []byte) error { _, err := ParseFleet(file, data); return err }
	const requiredSettings = "[vm]\nplace = a/1\ndataCentre = a\n[caller]\nlisten = 10.0.0.1:80\n[peer]\nlisten = 10.0.0.1:81\n[platform]\nlog = 10.0.0.2:80\n"
	const dataCentreSection = "[dataCentre a]\nregion = r\n"
	const engineKeys = "dataCentre = a\nmodel = m\nkvTokens = 10\nsequences = 2\nprefillRate = 5\ndecodeRate = 5\n"
	const allowedNumber = "a whole number from 1 to 1000000000"
	type want struct{ Section, Key, Value, Allowed string }
	tests := []struct {
		name  string
		parse func(string, []byte) error
		text  string
		want  []want
	}{
		{"host name and unknown key", settings, requiredSettings + "[operator]\nlisten = localhost:9\ntokenfile = x\n", []want{
			{"operator", "listen", "localhost:9", allowedAddress},
			{"operator", "tokenfile", "x", "the keys listen, tokenFile, tlsCertificate, tlsKey"},
		}},
		{"operators' API without a token", settings, requiredSettings + "[operator]\nlisten = 10.0.0.1:9\n", []want{
			{"operator", "tokenFile", "", "a file path"},
		}},
		{"unknown section, repeated key, incomplete TLS", settings, requiredSettings + "[routes]\nx = 1\n[log]\nlevel = info\nlevel = warn\n[operator]\ntlsKey = k\n", []want{
			{"log", "level", "info and warn", "the key once in a section"},
			{"operator", "tlsCertificate", "", "a file path where other TLS keys are set"},
			{"routes", "", "", "the sections [vm], [caller], [peer], [operator], [platform], [log], [routing]"},
		}},
		{"key outside a section", settings, "place = x\n" + requiredSettings, []want{{"", "place", "x", "keys only below a [section]"}}},
		{"values out of range", settings, requiredSettings + "claimRetention = 10\n[routing]\npolicy = fastest\n", []want{
			{"platform", "claimRetention", "10", "a duration such as 90s or 10m, from 1s to 720h0m0s"},
			{"routing", "policy", "fastest", "affinity or roundRobin or leastOutstanding"},
		}},
		{"missing keys", settings, "", []want{
			{"vm", "place", "", allowedName},
			{"vm", "dataCentre", "", allowedName},
			{"caller", "listen", "", allowedAddress},
			{"peer", "listen", "", allowedAddress},
			{"platform", "log", "", allowedAddress},
		}},
		{"engine version, role, adapters and weights", fleet, dataCentreSection + "[engine e]\naddress = 10.0.0.1:1\n" + engineKeys + "version = 1 2\nadapters = x, x\nrole = /\nweightBytes = 0\n", []want{
			{"engine e", "version", "1 2", allowedName},
			{"engine e", "role", "/", allowedName},
			{"engine e", "adapters", "x, x", "names separated by commas, each once"},
			{"engine e", "weightBytes", "0", "a whole number from 1 to 1125899906842624"},
		}},
		{"engine fields", fleet, dataCentreSection + "[engine e]\naddress = 10.0.0.1:1\ndataCentre = b\nmodel = m\nkvTokens = -1\nsequences = 2\nprefillRate = NaN\ndecodeRate = 5\nchecksFence = yes\nkvtokens = 3\n", []want{
			{"engine e", "kvTokens", "-1", allowedNumber},
			{"engine e", "prefillRate", "NaN", "a number above 0 and up to 1e9"},
			{"engine e", "checksFence", "yes", "true or false"},
			{"engine e", "kvtokens", "3", "the keys dataCentre, address, model, kvTokens, sequences, prefillRate, decodeRate, coldSequences, checksFence, group, version, role, adapters, weightBytes"},
			{"engine e", "dataCentre", "b", "the name of a [dataCentre NAME] section of this file"},
		}},
		{"two endpoints at one address", fleet, dataCentreSection + "[engine e]\naddress = 10.0.0.1:1\n" + engineKeys + "[vm a/1]\ndataCentre = a\naddress = 10.0.0.1:1\n", []want{
			{"vm a/1", "address", "10.0.0.1:1", "an address that no other section has; [engine e] has it too"},
		}},
		{"group of unknown engines", fleet, dataCentreSection + "[engine e]\naddress = 10.0.0.1:1\ngroup = h\n" + engineKeys + "[group g]\nmembers = e, f\n", []want{
			{"group g", "members", "e, f", `names of [engine NAME] sections; "f" is not one`},
			{"engine e", "group", "h", "the [group NAME] that lists the engine among its members"},
		}},
		{"rules and kinds", fleet, dataCentreSection + "[service s]\nservice = s\ndataCentre = a\naddress = 10.0.0.1:1\nconcurrent = 1\nidempotent = put /x\n[pod p]\n", []want{
			{"service s", "idempotent", "put /x", `rules "METHOD /path/prefix" separated by commas`},
			{"pod p", "", "", allowedFleetSections},
		}},
		{"empty fleet", fleet, "", []want{{"", "", "", "at least one [dataCentre NAME] section"}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var problems customer.Problems
			if err := tt.parse("f.ini", []byte(tt.text)); !errors.As(err, &problems) {
				t.Fatalf("error is %v, want customer.Problems", err)
			}
			var got []want
			for _, p := range problems {
				if p.File != "f.ini" {
					t.Errorf("problem names file %q", p.File)
				}
				got = append(got, want{p.Section, p.Key, p.Value, p.Allowed})
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("problems (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against parsers that panic on arbitrary input.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"settings.ini", "fleet.ini", "contract.ini"} {
		f.Add(readSample(f, name))
	}
	f.Add([]byte("[group g]\nmembers = e, e\n[group g]\n"))
	f.Add([]byte("[vm \n=\n[]\nx"))
	f.Fuzz(func(t *testing.T, data []byte) {
		ParseSettings("s.ini", data)
		ParseFleet("f.ini", data)
	})
}

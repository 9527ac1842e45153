package main

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"goldcrestpath/customer"
	"goldcrestpath/operator"
)

const operationsDoc = "../../docs/OPERATIONS.md"

// TestOperationsDocument guards against INI examples in docs/OPERATIONS.md that the check command rejects, and against keys of
// configuration files that its tables do not describe.
func TestOperationsDocument(t *testing.T) {
	data, err := os.ReadFile(operationsDoc)
	if err != nil {
		t.Fatal(err)
	}
	doc := string(data)
	blocks := regexp.MustCompile("(?s)```ini\n(.*?)```").FindAllStringSubmatch(doc, -1)
	if len(blocks) < 3 {
		t.Errorf("%d INI blocks, want one of each kind", len(blocks))
	}
	for i, b := range blocks {
		file := filepath.Join(t.TempDir(), fmt.Sprintf("%d.ini", i))
		if err := os.WriteFile(file, []byte(b[1]), 0o600); err != nil {
			t.Fatal(err)
		}
		if code, _, stderr := runGoldcrest("check", file); code != exitDone {
			t.Errorf("check of block %d: exit code %d: %s", i, code, stderr)
		}
	}
	// The error for an unknown key lists the keys that are allowed in the section.
	for _, section := range []string{
		"vm", "caller", "peer", "operator", "platform", "log", "routing",
		"dataCentre x", "vm x", "engine x", "service x", "group x", "contract", "firstToken", "deadline",
	} {
		_, err := operator.CheckFile("f.ini", []byte("["+section+"]\nunknownKey = 1\n"))
		var problems customer.Problems
		if !errors.As(err, &problems) {
			t.Fatalf("[%s] with an unknown key: %v", section, err)
		}
		keys := ""
		for _, p := range problems {
			if p.Key == "unknownKey" {
				keys = strings.TrimPrefix(strings.TrimPrefix(p.Allowed, "the "), "keys ")
			}
		}
		if keys == "" {
			t.Errorf("[%s]: no list of keys in %v", section, err)
		}
		kind, _, _ := strings.Cut(section, " ")
		for _, key := range strings.FieldsFunc(strings.ReplaceAll(keys, " and ", ", "), func(r rune) bool { return r == ',' || r == ' ' }) {
			row := regexp.MustCompile("(?m)^\\| [^|]*\\b" + kind + "\\b[^|]* \\| [^|]*`" + key + "`[^|]* \\|")
			if !row.MatchString(doc) {
				t.Errorf("no row for [%s] %s", section, key)
			}
		}
	}
}

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

const operationsPage = "../../docs/OPERATIONS.md"

// Guards against a page whose INI blocks are refused, or that lacks a key which the files may have.
func TestOperatingPageFiles(t *testing.T) {
	data, err := os.ReadFile(operationsPage)
	if err != nil {
		t.Fatal(err)
	}
	page := string(data)
	blocks := regexp.MustCompile("(?s)```ini\n(.*?)```").FindAllStringSubmatch(page, -1)
	if len(blocks) < 3 {
		t.Errorf("%d INI blocks, want one of each kind", len(blocks))
	}
	for i, b := range blocks {
		file := filepath.Join(t.TempDir(), fmt.Sprintf("%d.ini", i))
		if err := os.WriteFile(file, []byte(b[1]), 0o600); err != nil {
			t.Fatal(err)
		}
		if code, _, stderr := goldcrest("check", file); code != exitDone {
			t.Errorf("check of block %d: exit code %d: %s", i, code, stderr)
		}
	}
	// An unknown key gets the list of the allowed ones.
	for _, section := range []string{
		"vm", "caller", "peer", "operator", "platform", "log", "routing",
		"dataCentre x", "vm x", "engine x", "service x", "group x", "contract", "firstToken", "deadline",
	} {
		_, err := operator.Check("f.ini", []byte("["+section+"]\nunknownKey = 1\n"))
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
			if !row.MatchString(page) {
				t.Errorf("no row for [%s] %s", section, key)
			}
		}
	}
}

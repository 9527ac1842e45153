package caller

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// Guards against a refusal reason without advice for operators, or with another status than callers get.
func TestOperatingPageReasons(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	for reason, how := range treatments {
		if row := fmt.Sprintf("\n| `%s` | %d | ", reason, how.status); !strings.Contains(string(page), row) {
			t.Errorf("no row that begins with %q", row)
		}
	}
}

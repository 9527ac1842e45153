package caller

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// TestOperatingPageReasons guards against a refusal reason that the operations page does not list, or lists with a
// status other than the one that callers get.
func TestOperatingPageReasons(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	for reason, policy := range refusalPolicies {
		if row := fmt.Sprintf("\n| `%s` | %d | ", reason, policy.status); !strings.Contains(string(page), row) {
			t.Errorf("docs/OPERATIONS.md has no row that begins with %q", row)
		}
	}
}

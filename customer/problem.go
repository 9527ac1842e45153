package customer

import (
	"fmt"
	"strings"
)

// Problem is one finding of a check: what a file says at a place and what is allowed there.
type Problem struct{ File, Section, Key, Value, Allowed string }

// String returns the problem as one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: [%s] %s = %q: allowed is %s", p.File, p.Section, p.Key, p.Value, p.Allowed)
}

// Problems is everything that a check found. It is an error where it is not empty.
type Problems []Problem

// Error implements error with one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

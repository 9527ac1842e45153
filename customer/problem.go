package customer

import (
	"fmt"
	"strings"
)

// Problem is one error found in a configuration file. Fields that do not apply are empty.
type Problem struct {
	File    string // file name as passed by the caller
	Section string // section of the INI file
	Key     string // key within the section
	Value   string // value that was found
	Allowed string // description of what is allowed instead
}

// String returns the problem on one line.
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(p.File + ":")
	if p.Section != "" {
		fmt.Fprintf(&b, " [%s]", p.Section)
	}
	if p.Key != "" {
		fmt.Fprintf(&b, " %s", p.Key)
	}
	if p.Value != "" {
		fmt.Fprintf(&b, " = %q", p.Value)
	}
	if b.Len() > len(p.File)+1 {
		b.WriteString(":")
	}
	fmt.Fprintf(&b, " allowed is %s", p.Allowed)
	return b.String()
}

// Problems are all errors found in the checked files.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i := range p {
		lines[i] = p[i].String()
	}
	return strings.Join(lines, "\n")
}

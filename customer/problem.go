package customer

import (
	"fmt"
	"strings"
)

// Problem is one finding of the check of a file. Fields that do not apply are empty.
type Problem struct {
	File    string // file name as it was given to the check
	Section string // section of the INI file
	Key     string // key inside the section
	Value   string // value that was found
	Allowed string // what is allowed in its place
}

// String returns the finding in one line.
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

// Problems are all findings of one check.
type Problems []Problem

// Error returns one line for each finding.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i := range p {
		lines[i] = p[i].String()
	}
	return strings.Join(lines, "\n")
}

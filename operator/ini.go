package operator

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"goldcrestpath/customer"
)

// iniFile reads an INI file and gathers all problems in it.
type iniFile struct {
	name     string
	problems customer.Problems
	sections []*iniSection
}

// iniSection reads the keys of one section. Every key that is asked for is a known one.
type iniSection struct {
	file   *iniFile
	name   string
	values map[string]string
	keys   []string // in file order
	known  []string
}

func parseINI(name string, data []byte) *iniFile {
	f := &iniFile{name: name}
	parsed, err := ini.LoadSources(ini.LoadOptions{
		AllowShadows:               true, // a repeated key becomes visible
		AllowDuplicateShadowValues: true,
		IgnoreContinuation:         true,
		KeyValueDelimiters:         "=",
		ChildSectionDelimiter:      "\x00", // sections do not inherit
	}, data)
	if err != nil {
		f.problem("", "", err.Error(), "[section] and key = value lines")
		return f
	}
	for _, s := range parsed.Sections() {
		if s.Name() == ini.DefaultSection {
			for _, k := range s.Keys() {
				f.problem("", k.Name(), k.Value(), "keys only below a [section]")
			}
			continue
		}
		section := &iniSection{file: f, name: s.Name(), values: map[string]string{}}
		for _, k := range s.Keys() {
			section.keys = append(section.keys, k.Name())
			section.values[k.Name()] = k.Value()
			if all := k.ValueWithShadows(); len(all) > 1 {
				f.problem(s.Name(), k.Name(), strings.Join(all, " and "), "the key once in a section")
			}
		}
		f.sections = append(f.sections, section)
	}
	return f
}

func (f *iniFile) problem(section, key, value, allowed string) {
	f.problems = append(f.problems, customer.Problem{File: f.name, Section: section, Key: key, Value: value, Allowed: allowed})
}

// err returns the problems as an error, or nil.
func (f *iniFile) err() error {
	if len(f.problems) == 0 {
		return nil
	}
	return f.problems
}

// section returns the section, which is empty where the file has none.
func (f *iniFile) section(name string) *iniSection {
	for _, s := range f.sections {
		if s.name == name {
			return s
		}
	}
	return &iniSection{file: f, name: name}
}

func (s *iniSection) problem(key, allowed string) {
	s.file.problem(s.name, key, s.values[key], allowed)
}

// value returns the text of a key and whether it is there and not empty.
func (s *iniSection) value(key string) (string, bool) {
	s.known = append(s.known, key)
	v, ok := s.values[key]
	return v, ok && v != ""
}

// parse reads a key with a function that says whether the text is allowed. A missing key gives the default, or is a
// problem where required.
func parse[T any](s *iniSection, key, allowed string, required bool, missing T, f func(string) (T, bool)) T {
	text, ok := s.value(key)
	if !ok {
		if _, empty := s.values[key]; required || empty {
			s.problem(key, allowed)
		}
		return missing
	}
	v, ok := f(text)
	if !ok {
		s.problem(key, allowed)
		return missing
	}
	return v
}

func (s *iniSection) ident(key string, required bool) string {
	return parse(s, key, allowedName, required, "", func(v string) (string, bool) { return v, validName(v) })
}

func (s *iniSection) path(key string, required bool) string {
	return parse(s, key, "a file path", required, "", func(v string) (string, bool) { return v, true })
}

func (s *iniSection) count(key string, low, high int, required bool, missing int) int {
	allowed := fmt.Sprintf("a whole number from %d to %d", low, high)
	return parse(s, key, allowed, required, missing, func(v string) (int, bool) {
		n, err := strconv.Atoi(v)
		return n, err == nil && n >= low && n <= high
	})
}

func (s *iniSection) rate(key string) float64 {
	return parse(s, key, "a number above 0 and up to 1e9", true, 0, func(v string) (float64, bool) {
		n, err := strconv.ParseFloat(v, 64)
		return n, err == nil && n > 0 && n <= 1e9
	})
}

func (s *iniSection) flag(key string) bool {
	return parse(s, key, "true or false", false, false, func(v string) (bool, bool) { return v == "true", v == "true" || v == "false" })
}

func (s *iniSection) duration(key string, low, high, missing time.Duration) time.Duration {
	allowed := fmt.Sprintf("a duration such as 90s or 10m, from %v to %v", low, high)
	return parse(s, key, allowed, false, missing, func(v string) (time.Duration, bool) {
		d, err := time.ParseDuration(v)
		return d, err == nil && d >= low && d <= high
	})
}

func (s *iniSection) choice(key string, choices ...string) string {
	return parse(s, key, strings.Join(choices, " or "), false, choices[0], func(v string) (string, bool) {
		return v, slices.Contains(choices, v)
	})
}

const allowedAddress = "an IP address and port such as 10.0.0.7:7000; host names are not looked up"

func (s *iniSection) address(key string, required bool) string {
	return parse(s, key, allowedAddress, required, "", func(v string) (string, bool) { return v, ValidAddress(v) })
}

func (s *iniSection) addresses(key string) []string {
	return parse(s, key, "addresses separated by commas, each "+allowedAddress, false, nil, func(v string) ([]string, bool) {
		list := splitList(v)
		return list, !slices.ContainsFunc(list, func(a string) bool { return !ValidAddress(a) })
	})
}

// done reports the keys that were not asked for.
func (s *iniSection) done() {
	for _, key := range s.keys {
		if !slices.Contains(s.known, key) {
			s.problem(key, "the keys "+strings.Join(s.known, ", "))
		}
	}
}

// ValidAddress says whether v is an IP address with a port.
func ValidAddress(v string) bool {
	a, err := netip.ParseAddrPort(v)
	return err == nil && a.Port() != 0
}

const allowedName = "a name of letters, digits and the characters . _ - /"

func validName(v string) bool {
	return v != "" && strings.Trim(v, "/") == v && !strings.ContainsFunc(v, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && !strings.ContainsRune("._-/", r)
	})
}

func splitList(v string) []string {
	list := strings.Split(v, ",")
	for i := range list {
		list[i] = strings.TrimSpace(list[i])
	}
	return list
}

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

// iniFile is a parsed INI file and the problems found in it so far.
type iniFile struct {
	name     string
	problems customer.Problems
	sections []*iniSection
}

// iniSection gives typed access to the keys of one section. Reading a key makes it known, whether or not the file has it.
type iniSection struct {
	file      *iniFile
	name      string
	values    map[string]string
	keys      []string // in the order of the file
	knownKeys []string
}

// parseINI parses a file. Syntax errors, keys outside a section and repeated keys are recorded as problems.
func parseINI(name string, data []byte) *iniFile {
	f := &iniFile{name: name}
	parsed, err := ini.LoadSources(ini.LoadOptions{
		AllowShadows:               true, // keeps all values of a repeated key, so that it can be reported
		AllowDuplicateShadowValues: true,
		IgnoreContinuation:         true,
		KeyValueDelimiters:         "=",
		ChildSectionDelimiter:      "\x00", // a name that no section contains, so that no section inherits keys
	}, data)
	if err != nil {
		f.addProblem("", "", err.Error(), "[section] and key = value lines")
		return f
	}
	for _, s := range parsed.Sections() {
		if s.Name() == ini.DefaultSection {
			for _, k := range s.Keys() {
				f.addProblem("", k.Name(), k.Value(), "keys only below a [section]")
			}
			continue
		}
		section := &iniSection{file: f, name: s.Name(), values: map[string]string{}}
		for _, k := range s.Keys() {
			section.keys = append(section.keys, k.Name())
			section.values[k.Name()] = k.Value()
			if all := k.ValueWithShadows(); len(all) > 1 {
				f.addProblem(s.Name(), k.Name(), strings.Join(all, " and "), "the key once in a section")
			}
		}
		f.sections = append(f.sections, section)
	}
	return f
}

func (f *iniFile) addProblem(section, key, value, allowed string) {
	f.problems = append(f.problems, customer.Problem{File: f.name, Section: section, Key: key, Value: value, Allowed: allowed})
}

// err returns the problems as an error, or nil if there are none.
func (f *iniFile) err() error {
	if len(f.problems) == 0 {
		return nil
	}
	return f.problems
}

// section returns the section with the given name, or an empty one if the file has none.
func (f *iniFile) section(name string) *iniSection {
	for _, s := range f.sections {
		if s.name == name {
			return s
		}
	}
	return &iniSection{file: f, name: name}
}

func (s *iniSection) addProblem(key, allowed string) {
	s.file.addProblem(s.name, key, s.values[key], allowed)
}

// value marks the key as known and returns its text. It returns false if the key is missing or has an empty value.
func (s *iniSection) value(key string) (string, bool) {
	s.knownKeys = append(s.knownKeys, key)
	v, ok := s.values[key]
	return v, ok && v != ""
}

// parseKey reads a key with parseValue, which also reports whether the text is valid. A missing key gives defaultValue and is
// a problem if it is required. An empty or invalid value is always a problem.
func parseKey[T any](s *iniSection, key, allowed string, required bool, defaultValue T, parseValue func(string) (T, bool)) T {
	text, ok := s.value(key)
	if !ok {
		if _, empty := s.values[key]; required || empty {
			s.addProblem(key, allowed)
		}
		return defaultValue
	}
	v, ok := parseValue(text)
	if !ok {
		s.addProblem(key, allowed)
		return defaultValue
	}
	return v
}

// ident reads a name that validName accepts.
func (s *iniSection) ident(key string, required bool) string {
	return parseKey(s, key, allowedName, required, "", func(v string) (string, bool) { return v, validName(v) })
}

// path reads a file path without checking that the file exists.
func (s *iniSection) path(key string, required bool) string {
	return parseKey(s, key, "a file path", required, "", func(v string) (string, bool) { return v, true })
}

// integer reads a whole number between minimum and maximum.
func (s *iniSection) integer(key string, minimum, maximum int, required bool, defaultValue int) int {
	allowed := fmt.Sprintf("a whole number from %d to %d", minimum, maximum)
	return parseKey(s, key, allowed, required, defaultValue, func(v string) (int, bool) {
		n, err := strconv.Atoi(v)
		return n, err == nil && n >= minimum && n <= maximum
	})
}

// positive reads a required number above 0.
func (s *iniSection) positive(key string) float64 {
	return parseKey(s, key, "a number above 0 and up to 1e9", true, 0, func(v string) (float64, bool) {
		n, err := strconv.ParseFloat(v, 64)
		return n, err == nil && n > 0 && n <= 1e9
	})
}

// flag reads an optional boolean, which is false by default.
func (s *iniSection) flag(key string) bool {
	return parseKey(s, key, "true or false", false, false, func(v string) (bool, bool) { return v == "true", v == "true" || v == "false" })
}

// duration reads an optional duration between minimum and maximum.
func (s *iniSection) duration(key string, minimum, maximum, defaultValue time.Duration) time.Duration {
	allowed := fmt.Sprintf("a duration such as 90s or 10m, from %v to %v", minimum, maximum)
	return parseKey(s, key, allowed, false, defaultValue, func(v string) (time.Duration, bool) {
		d, err := time.ParseDuration(v)
		return d, err == nil && d >= minimum && d <= maximum
	})
}

// choice reads one of the given words. The first one is the default.
func (s *iniSection) choice(key string, choices ...string) string {
	return parseKey(s, key, strings.Join(choices, " or "), false, choices[0], func(v string) (string, bool) {
		return v, slices.Contains(choices, v)
	})
}

const allowedAddress = "an IP address and port such as 10.0.0.7:7000; host names are not looked up"

// address reads an IP address with a port.
func (s *iniSection) address(key string, required bool) string {
	return parseKey(s, key, allowedAddress, required, "", func(v string) (string, bool) { return v, ValidAddrPort(v) })
}

// addresses reads an optional comma-separated list of IP addresses with ports.
func (s *iniSection) addresses(key string) []string {
	return parseKey(s, key, "addresses separated by commas, each "+allowedAddress, false, nil, func(v string) ([]string, bool) {
		list := splitList(v)
		return list, !slices.ContainsFunc(list, func(a string) bool { return !ValidAddrPort(a) })
	})
}

// reportUnknownKeys adds a problem for each key of the section that is not known.
func (s *iniSection) reportUnknownKeys() {
	for _, key := range s.keys {
		if !slices.Contains(s.knownKeys, key) {
			s.addProblem(key, "the keys "+strings.Join(s.knownKeys, ", "))
		}
	}
}

// ValidAddrPort reports whether v is an IP address with a port other than 0.
func ValidAddrPort(v string) bool {
	a, err := netip.ParseAddrPort(v)
	return err == nil && a.Port() != 0
}

const allowedName = "a name of letters, digits and the characters . _ - /"

// validName reports whether v is not empty, consists of letters, digits and the characters . _ - / and neither begins nor
// ends with /.
func validName(v string) bool {
	return v != "" && strings.Trim(v, "/") == v && !strings.ContainsFunc(v, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && !strings.ContainsRune("._-/", r)
	})
}

// splitList splits a comma-separated list and trims spaces around its elements.
func splitList(v string) []string {
	list := strings.Split(v, ",")
	for i := range list {
		list[i] = strings.TrimSpace(list[i])
	}
	return list
}

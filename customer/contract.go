package customer

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Sections of a contract file.
const (
	sectionContract   = "contract"
	sectionKeys       = "keys"
	sectionFirstToken = "firstToken"
	sectionDeadline   = "deadline"
)

// Bounds of a contract's values.
const (
	maxWeight          = 1_000
	maxPriority        = 9
	maxTokensPerSecond = 1_000_000_000
	maxBurst           = 10_000_000_000
	maxConcurrent      = 1_000_000
	maxPromptTokens    = 10_000_000
	maxDeadline        = 24 * time.Hour
	maxKeys            = 1_000
)

var (
	namePattern  = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9._-]{0,63}$`)
	modelPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$`)
)

// keyHash is the SHA-256 of an API key.
type keyHash = [sha256.Size]byte

// Contract is what one customer is promised. It is immutable.
type Contract struct {
	file            string
	name            string
	weight          int
	priority        int
	tokensPerSecond int
	burst           int
	concurrent      int
	longestPrompt   int
	models          map[string]bool
	services        map[string]bool
	values          map[string]string  // text of the [contract] keys
	keys            map[keyHash]string // label by hash
	firstToken      [numClasses]time.Duration
	deadline        [numClasses]time.Duration
}

// ParseContract reads a contract file. The error is Problems with everything that is wrong in it.
func ParseContract(file string, data []byte) (*Contract, error) {
	p := contractParser{
		file:     file,
		contract: &Contract{file: file, models: map[string]bool{}, services: map[string]bool{}, keys: map[keyHash]string{}},
	}
	f, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:       true,
		SpaceBeforeInlineComment: true,
		KeyValueDelimiters:       "=",
		// Shadows keep repeated keys, which would otherwise replace each other silently.
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
	}, data)
	if err != nil {
		return nil, Problems{{File: file, Value: err.Error(), Allowed: "INI sections with lines of the form key = value"}}
	}
	p.read(f)
	if len(p.problems) > 0 {
		return nil, p.problems
	}
	return p.contract, nil
}

// Name returns the customer's name.
func (c *Contract) Name() string { return c.name }

// Weight returns the customer's share of the fleet under contention, relative to the other customers' weights.
func (c *Contract) Weight() int { return c.weight }

// Priority returns the priority of the customer's requests; higher goes first.
func (c *Contract) Priority() int { return c.priority }

// AllowsModel says whether the customer may use the model.
func (c *Contract) AllowsModel(model string) bool { return c.models[model] }

// AllowsService says whether the customer may call the plain service.
func (c *Contract) AllowsService(service string) bool { return c.services[service] }

// Models returns the models that the contract names, in alphabetical order.
func (c *Contract) Models() []string { return sortedNames(c.models) }

// Services returns the plain services that the contract names, in alphabetical order.
func (c *Contract) Services() []string { return sortedNames(c.services) }

// Line returns the place of a [contract] key and its value, to be named in refusals.
func (c *Contract) Line(key string) string { return c.line(sectionContract, key, c.values[key]) }

// DeadlineLine returns the place of a class's deadline and its value, to be named in refusals.
func (c *Contract) DeadlineLine(class Class) string {
	return c.line(sectionDeadline, class.String(), c.deadline[class].String())
}

func (c *Contract) line(section, key, value string) string {
	return fmt.Sprintf("contract %s: [%s] %s = %s", c.name, section, key, value)
}

func sortedNames(set map[string]bool) []string {
	names := make([]string, 0, len(set))
	for name := range set {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// contractParser collects the problems of one contract file.
type contractParser struct {
	file     string
	contract *Contract
	problems Problems
}

func (p *contractParser) read(f *ini.File) {
	for _, s := range f.Sections() {
		switch s.Name() {
		case ini.DefaultSection:
			for _, k := range s.Keys() {
				p.problem("", k.Name(), k.Value(), "keys inside a section only")
			}
		case sectionContract, sectionKeys, sectionFirstToken, sectionDeadline:
			p.checkRepeats(s)
		default:
			p.problem(s.Name(), "", "", "sections contract, keys, firstToken and deadline")
		}
	}
	p.readContract(f.Section(sectionContract))
	p.readKeys(f.Section(sectionKeys))
	p.readDurations(f.Section(sectionFirstToken), &p.contract.firstToken, false)
	p.readDurations(f.Section(sectionDeadline), &p.contract.deadline, true)
	p.checkTogether()
}

func (p *contractParser) problem(section, key, value, allowed string) {
	p.problems = append(p.problems, Problem{File: p.file, Section: section, Key: key, Value: value, Allowed: allowed})
}

func (p *contractParser) checkRepeats(s *ini.Section) {
	for _, k := range s.Keys() {
		if values := k.ValueWithShadows(); len(values) > 1 {
			p.problem(s.Name(), k.Name(), strings.Join(values, ", "), "each key once")
		}
	}
}

func (p *contractParser) readContract(s *ini.Section) {
	c := p.contract
	numbers := []struct {
		key      string
		value    *int
		from, to int
	}{
		{"weight", &c.weight, 1, maxWeight},
		{"priority", &c.priority, 0, maxPriority},
		{"tokensPerSecond", &c.tokensPerSecond, 1, maxTokensPerSecond},
		{"burst", &c.burst, 1, maxBurst},
		{"concurrent", &c.concurrent, 1, maxConcurrent},
		{"longestPrompt", &c.longestPrompt, 1, maxPromptTokens},
	}
	c.values = s.KeysHash()
	known := map[string]bool{"name": true, "models": true, "services": true}
	c.name = s.Key("name").Value()
	if !namePattern.MatchString(c.name) {
		p.problem(s.Name(), "name", c.name, "1 to 64 letters, digits, '.', '_' and '-', a letter first")
	}
	for _, n := range numbers {
		known[n.key] = true
		text := s.Key(n.key).Value()
		value, err := strconv.Atoi(text)
		if err != nil || value < n.from || value > n.to {
			p.problem(s.Name(), n.key, text, fmt.Sprintf("a whole number from %d to %d", n.from, n.to))
			continue
		}
		*n.value = value
	}
	p.readList(s, "models", c.models)
	p.readList(s, "services", c.services)
	for _, k := range s.Keys() {
		if !known[k.Name()] {
			p.problem(s.Name(), k.Name(), k.Value(),
				"keys name, weight, priority, tokensPerSecond, burst, concurrent, longestPrompt, models and services")
		}
	}
}

func (p *contractParser) readList(s *ini.Section, key string, set map[string]bool) {
	text := s.Key(key).Value()
	if strings.TrimSpace(text) == "" {
		return
	}
	for _, name := range strings.Split(text, ",") {
		name = strings.TrimSpace(name)
		switch {
		case !modelPattern.MatchString(name):
			p.problem(s.Name(), key, name, "names of letters, digits, '.', '_', ':', '/' and '-', separated by commas")
		case set[name]:
			p.problem(s.Name(), key, name, "each name once")
		default:
			set[name] = true
		}
	}
}

func (p *contractParser) readKeys(s *ini.Section) {
	const allowed = "the SHA-256 of an API key in 64 hexadecimal digits"
	for _, k := range s.Keys() {
		digest, err := hex.DecodeString(k.Value())
		if err != nil || len(digest) != sha256.Size {
			p.problem(s.Name(), k.Name(), k.Value(), allowed)
			continue
		}
		hash := keyHash(digest)
		if label, ok := p.contract.keys[hash]; ok {
			p.problem(s.Name(), k.Name(), k.Value(), "each hash once, "+label+" has it already")
			continue
		}
		p.contract.keys[hash] = k.Name()
	}
	if n := len(s.Keys()); n == 0 || n > maxKeys {
		p.problem(s.Name(), "", strconv.Itoa(n)+" keys", fmt.Sprintf("1 to %d lines of the form label = SHA-256", maxKeys))
	}
}

func (p *contractParser) readDurations(s *ini.Section, values *[numClasses]time.Duration, required bool) {
	known := map[string]bool{}
	for _, class := range Classes() {
		key := class.String()
		known[key] = true
		text := s.Key(key).Value()
		if text == "" && !required {
			continue
		}
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 || d > maxDeadline {
			p.problem(s.Name(), key, text, fmt.Sprintf("a duration such as 1500ms or 30s, above 0 and at most %s", maxDeadline))
			continue
		}
		values[class] = d
	}
	for _, k := range s.Keys() {
		if !known[k.Name()] {
			p.problem(s.Name(), k.Name(), k.Value(), "keys short, medium, long and veryLong")
		}
	}
}

// checkTogether checks rules between values that are valid alone.
func (p *contractParser) checkTogether() {
	c := p.contract
	// The token bucket holds at most the burst, so a longer prompt could never be admitted.
	if c.burst > 0 && c.burst < c.longestPrompt {
		p.problem(sectionContract, "burst", strconv.Itoa(c.burst), fmt.Sprintf("at least longestPrompt, %d", c.longestPrompt))
	}
	if len(c.models) == 0 && len(c.services) == 0 {
		p.problem(sectionContract, "models", "", "at least one name in models or services")
	}
	for _, class := range Classes() {
		if d := c.deadline[class]; d > 0 && c.firstToken[class] > d {
			p.problem(sectionFirstToken, class.String(), c.firstToken[class].String(), "at most the class's deadline, "+d.String())
		}
	}
}

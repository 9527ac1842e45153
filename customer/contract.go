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

// Upper limits for the values in a contract.
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
	customerNamePattern   = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9._-]{0,63}$`)
	modelOrServicePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$`)
)

// keyHash is the SHA-256 of an API key.
type keyHash = [sha256.Size]byte

// Contract is the contract of one customer. It is immutable.
type Contract struct {
	file            string
	name            string
	weight          int
	priority        int
	tokensPerSecond int
	burst           int
	maxConcurrent   int
	maxPromptTokens int
	models          map[string]bool
	services        map[string]bool
	values          map[string]string  // text values of the [contract] section, by key
	keys            map[keyHash]string // labels of the API keys, by hash
	firstToken      [numClasses]time.Duration
	deadline        [numClasses]time.Duration
}

// ParseContract parses a contract file. The error is Problems, with all errors in the file.
func ParseContract(file string, data []byte) (*Contract, error) {
	p := contractParser{
		file:     file,
		contract: &Contract{file: file, models: map[string]bool{}, services: map[string]bool{}, keys: map[keyHash]string{}},
	}
	f, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:       true,
		SpaceBeforeInlineComment: true,
		KeyValueDelimiters:       "=",
		// Shadows keep repeated keys, so that they can be reported. Otherwise the last one would silently win.
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

// Weight returns the customer's weight for fair sharing of endpoints under contention, relative to other customers' weights.
func (c *Contract) Weight() int { return c.weight }

// Priority returns the priority of the customer's requests. Requests with a higher priority are served first.
func (c *Contract) Priority() int { return c.priority }

// AllowsModel reports whether the customer may use the model.
func (c *Contract) AllowsModel(model string) bool { return c.models[model] }

// AllowsService reports whether the customer may call the plain service.
func (c *Contract) AllowsService(service string) bool { return c.services[service] }

// Models returns the models that the contract names, in alphabetical order.
func (c *Contract) Models() []string { return sortedNames(c.models) }

// Services returns the plain services that the contract names, in alphabetical order.
func (c *Contract) Services() []string { return sortedNames(c.services) }

// DescribeSetting returns the customer's name, a key of the [contract] section and its value as one text, for use in refusals.
func (c *Contract) DescribeSetting(key string) string {
	return c.formatLine(sectionContract, key, c.values[key])
}

// DescribeDeadline is like DescribeSetting for the deadline of a class in the [deadline] section.
func (c *Contract) DescribeDeadline(class Class) string {
	return c.formatLine(sectionDeadline, class.String(), c.deadline[class].String())
}

// formatLine implements DescribeSetting and DescribeDeadline.
func (c *Contract) formatLine(section, key, value string) string {
	return fmt.Sprintf("contract %s: [%s] %s = %s", c.name, section, key, value)
}

// sortedNames returns the elements of set in alphabetical order.
func sortedNames(set map[string]bool) []string {
	names := make([]string, 0, len(set))
	for name := range set {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// contractParser parses one contract file and collects its problems.
type contractParser struct {
	file     string
	contract *Contract
	problems Problems
}

// read parses all sections of the file.
func (p *contractParser) read(f *ini.File) {
	for _, s := range f.Sections() {
		switch s.Name() {
		case ini.DefaultSection:
			for _, k := range s.Keys() {
				p.addProblem("", k.Name(), k.Value(), "keys inside a section only")
			}
		case sectionContract, sectionKeys, sectionFirstToken, sectionDeadline:
			p.checkRepeatedKeys(s)
		default:
			p.addProblem(s.Name(), "", "", "sections contract, keys, firstToken and deadline")
		}
	}
	p.readContract(f.Section(sectionContract))
	p.readKeys(f.Section(sectionKeys))
	p.readDurations(f.Section(sectionFirstToken), &p.contract.firstToken, false)
	p.readDurations(f.Section(sectionDeadline), &p.contract.deadline, true)
	p.checkConsistency()
}

func (p *contractParser) addProblem(section, key, value, allowed string) {
	p.problems = append(p.problems, Problem{File: p.file, Section: section, Key: key, Value: value, Allowed: allowed})
}

// checkRepeatedKeys reports keys that occur more than once in a section.
func (p *contractParser) checkRepeatedKeys(s *ini.Section) {
	for _, k := range s.Keys() {
		if values := k.ValueWithShadows(); len(values) > 1 {
			p.addProblem(s.Name(), k.Name(), strings.Join(values, ", "), "each key once")
		}
	}
}

// readContract parses the [contract] section.
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
		{"concurrent", &c.maxConcurrent, 1, maxConcurrent},
		{"longestPrompt", &c.maxPromptTokens, 1, maxPromptTokens},
	}
	c.values = s.KeysHash()
	knownKeys := map[string]bool{"name": true, "models": true, "services": true}
	c.name = s.Key("name").Value()
	if !customerNamePattern.MatchString(c.name) {
		p.addProblem(s.Name(), "name", c.name, "1 to 64 letters, digits, '.', '_' and '-', a letter first")
	}
	for _, n := range numbers {
		knownKeys[n.key] = true
		text := s.Key(n.key).Value()
		value, err := strconv.Atoi(text)
		if err != nil || value < n.from || value > n.to {
			p.addProblem(s.Name(), n.key, text, fmt.Sprintf("a whole number from %d to %d", n.from, n.to))
			continue
		}
		*n.value = value
	}
	p.readList(s, "models", c.models)
	p.readList(s, "services", c.services)
	for _, k := range s.Keys() {
		if !knownKeys[k.Name()] {
			p.addProblem(s.Name(), k.Name(), k.Value(),
				"keys name, weight, priority, tokensPerSecond, burst, concurrent, longestPrompt, models and services")
		}
	}
}

// readList adds the names of a comma-separated list to set.
func (p *contractParser) readList(s *ini.Section, key string, set map[string]bool) {
	text := s.Key(key).Value()
	if strings.TrimSpace(text) == "" {
		return
	}
	for _, name := range strings.Split(text, ",") {
		name = strings.TrimSpace(name)
		switch {
		case !modelOrServicePattern.MatchString(name):
			p.addProblem(s.Name(), key, name, "names of letters, digits, '.', '_', ':', '/' and '-', separated by commas")
		case set[name]:
			p.addProblem(s.Name(), key, name, "each name once")
		default:
			set[name] = true
		}
	}
}

// readKeys parses the [keys] section. Each line names an API key by a label and gives the SHA-256 of the key.
func (p *contractParser) readKeys(s *ini.Section) {
	const allowed = "the SHA-256 of an API key in 64 hexadecimal digits"
	for _, k := range s.Keys() {
		digest, err := hex.DecodeString(k.Value())
		if err != nil || len(digest) != sha256.Size {
			p.addProblem(s.Name(), k.Name(), k.Value(), allowed)
			continue
		}
		hash := keyHash(digest)
		if label, ok := p.contract.keys[hash]; ok {
			p.addProblem(s.Name(), k.Name(), k.Value(), "each hash once, "+label+" has it already")
			continue
		}
		p.contract.keys[hash] = k.Name()
	}
	if n := len(s.Keys()); n == 0 || n > maxKeys {
		p.addProblem(s.Name(), "", strconv.Itoa(n)+" keys", fmt.Sprintf("1 to %d lines of the form label = SHA-256", maxKeys))
	}
}

// readDurations parses a section with one duration per class into values. If required is false, classes may be missing.
func (p *contractParser) readDurations(s *ini.Section, values *[numClasses]time.Duration, required bool) {
	knownKeys := map[string]bool{}
	for _, class := range Classes() {
		key := class.String()
		knownKeys[key] = true
		text := s.Key(key).Value()
		if text == "" && !required {
			continue
		}
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 || d > maxDeadline {
			p.addProblem(s.Name(), key, text, fmt.Sprintf("a duration such as 1500ms or 30s, above 0 and at most %s", maxDeadline))
			continue
		}
		values[class] = d
	}
	for _, k := range s.Keys() {
		if !knownKeys[k.Name()] {
			p.addProblem(s.Name(), k.Name(), k.Value(), "keys short, medium, long and veryLong")
		}
	}
}

// checkConsistency checks values that are each valid on their own against each other.
func (p *contractParser) checkConsistency() {
	c := p.contract
	// The token bucket holds at most the burst, so a longer prompt could never be admitted.
	if c.burst > 0 && c.burst < c.maxPromptTokens {
		p.addProblem(sectionContract, "burst", strconv.Itoa(c.burst), fmt.Sprintf("at least longestPrompt, %d", c.maxPromptTokens))
	}
	if len(c.models) == 0 && len(c.services) == 0 {
		p.addProblem(sectionContract, "models", "", "at least one name in models or services")
	}
	for _, class := range Classes() {
		if d := c.deadline[class]; d > 0 && c.firstToken[class] > d {
			p.addProblem(sectionFirstToken, class.String(), c.firstToken[class].String(), "at most the class's deadline, "+d.String())
		}
	}
}

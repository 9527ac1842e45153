package operator

import (
	"fmt"
	"slices"
	"strings"

	"goldcrestpath/engine"
	"goldcrestpath/entry"
	"goldcrestpath/service"
)

// maxKVTokens bounds the configured size of an engine's KV cache in tokens. It is far above that of any engine.
const maxKVTokens = 1_000_000_000

// Default and maximum size of a model's weights in bytes. There is a default because each reservation at the weight store has
// to state a size.
const (
	defaultWeightBytes = 1 << 30
	maxWeightBytes     = 1 << 50
)

// defaultServiceBodyLimit is the maximum request body in bytes for a service that sets no bodyLimitBytes.
const defaultServiceBodyLimit = 1 << 20

// Group is a set of engines whose KV caches together can hold one prompt. KV memory is reserved on the members in the listed
// order.
type Group struct {
	Name    string
	Members []string
}

// Fleet is the content of the fleet document.
type Fleet struct {
	dataCentres []string
	regions     map[string]string
	vms         []entry.VM
	engines     []engine.Spec
	services    []service.Spec
	groups      []Group
}

// DataCentres returns the data centres in the order of the document.
func (f *Fleet) DataCentres() []string { return slices.Clone(f.dataCentres) }

// Region returns the region of a data centre.
func (f *Fleet) Region(dataCentre string) string { return f.regions[dataCentre] }

// VMs returns the VMs in the order of the document.
func (f *Fleet) VMs() []entry.VM { return slices.Clone(f.vms) }

// Engines returns the model engines in the order of the document.
func (f *Fleet) Engines() []engine.Spec { return slices.Clone(f.engines) }

// Services returns the instances of plain services in the order of the document.
func (f *Fleet) Services() []service.Spec { return slices.Clone(f.services) }

// Groups returns the groups of engines in the order of the document.
func (f *Fleet) Groups() []Group { return slices.Clone(f.groups) }

// ParseFleet reads a fleet document. The error is of type customer.Problems.
func ParseFleet(file string, data []byte) (*Fleet, error) {
	p := fleetParser{
		iniFile:          parseINI(file, data),
		fleet:            &Fleet{regions: map[string]string{}},
		dataCentreOf:     map[*iniSection]string{},
		endpointNames:    map[string]bool{},
		sectionByAddress: map[string]string{},
	}
	for _, s := range p.sections {
		p.parseSection(s)
	}
	for _, s := range p.sections {
		if dataCentre, ok := p.dataCentreOf[s]; ok && p.fleet.regions[dataCentre] == "" && dataCentre != "" {
			s.addProblem("dataCentre", "the name of a [dataCentre NAME] section of this file")
		}
	}
	p.checkGroups()
	if len(p.sections) == 0 && len(p.problems) == 0 {
		p.addProblem("", "", "", "at least one [dataCentre NAME] section")
	}
	if err := p.err(); err != nil {
		return nil, err
	}
	return p.fleet, nil
}

// fleetParser holds the parsed fleet and the data for checks that involve several sections.
type fleetParser struct {
	*iniFile
	fleet            *Fleet
	dataCentreOf     map[*iniSection]string // data centre that each section names
	endpointNames    map[string]bool        // names of engines and services
	sectionByAddress map[string]string      // name of the section that has the address
}

const allowedFleetSections = "[dataCentre NAME], [vm NAME], [engine NAME], [service NAME] and [group NAME]"

// parseSection parses one section according to the kind in its name.
func (p *fleetParser) parseSection(s *iniSection) {
	kind, name, _ := strings.Cut(s.name, " ")
	name = strings.TrimSpace(name)
	parseKind, ok := map[string]func(*iniSection, string){
		"dataCentre": p.parseDataCentre,
		"vm":         p.parseVM,
		"engine":     p.parseEngine,
		"service":    p.parseService,
		"group":      p.parseGroup,
	}[kind]
	if !ok {
		s.addProblem("", allowedFleetSections)
		return
	}
	if !validName(name) || kind != "vm" && strings.Contains(name, "/") {
		s.addProblem("", fmt.Sprintf("[%s NAME] with %s; only a VM name may contain /", kind, allowedName))
		return
	}
	parseKind(s, name)
	s.reportUnknownKeys()
}

func (p *fleetParser) parseDataCentre(s *iniSection, name string) {
	p.fleet.dataCentres = append(p.fleet.dataCentres, name)
	p.fleet.regions[name] = s.ident("region", true)
	if p.fleet.regions[name] == "" {
		p.fleet.regions[name] = "unknown" // the missing region is already reported; sections that name the data centre are still valid
	}
}

// parseLocation reads the data centre and the address of a section, and reports an address that is already in use.
func (p *fleetParser) parseLocation(s *iniSection) (dataCentre, address string) {
	dataCentre, address = s.ident("dataCentre", true), s.address("address", true)
	p.dataCentreOf[s] = dataCentre
	if other, ok := p.sectionByAddress[address]; ok && address != "" {
		s.addProblem("address", "an address that no other section has; ["+other+"] has it too")
	}
	p.sectionByAddress[address] = s.name
	return dataCentre, address
}

func (p *fleetParser) parseVM(s *iniSection, name string) {
	dataCentre, address := p.parseLocation(s)
	p.fleet.vms = append(p.fleet.vms, entry.VM{Name: name, DataCentre: dataCentre, Address: address})
}

// checkEndpointName reports a name that another engine or service already has. Engines and services share one namespace,
// because a drain refers to an endpoint by name without its kind.
func (p *fleetParser) checkEndpointName(s *iniSection, name string) {
	if p.endpointNames[name] {
		s.addProblem("", "a name that no other engine or service has")
	}
	p.endpointNames[name] = true
}

func (p *fleetParser) parseEngine(s *iniSection, name string) {
	p.checkEndpointName(s, name)
	spec := engine.Spec{Name: name}
	spec.DataCentre, spec.Address = p.parseLocation(s)
	spec.Model = s.ident("model", true)
	spec.KVTokens = s.integer("kvTokens", 1, maxKVTokens, true, 0)
	spec.MaxSequences = s.integer("sequences", 1, 1_000_000, true, 0)
	spec.PrefillRate = s.positive("prefillRate")
	spec.DecodeRate = s.positive("decodeRate")
	spec.MaxColdSequences = s.integer("coldSequences", 1, max(1, spec.MaxSequences), false, 1)
	spec.ChecksFence = s.flag("checksFence")
	spec.Group = s.ident("group", false)
	spec.Version, spec.Role = s.ident("version", false), s.ident("role", false)
	spec.Adapters = strings.Join(parseKey(s, "adapters", "names separated by commas, each once", false, nil, parseNameList), ",")
	spec.WeightBytes = s.integer("weightBytes", 1, maxWeightBytes, false, defaultWeightBytes)
	p.fleet.engines = append(p.fleet.engines, spec)
}

func (p *fleetParser) parseService(s *iniSection, name string) {
	p.checkEndpointName(s, name)
	spec := service.Spec{Name: name, Service: s.ident("service", true)}
	spec.DataCentre, spec.Address = p.parseLocation(s)
	spec.MaxConcurrent = s.integer("concurrent", 1, 1_000_000, true, 0)
	const allowed = `rules "METHOD /path/prefix" separated by commas`
	spec.IdempotentRules = parseKey(s, "idempotent", allowed, false, nil, func(v string) ([]string, bool) {
		rules := splitList(v)
		return rules, !slices.ContainsFunc(rules, func(r string) bool { return !validIdempotentRule(r) })
	})
	spec.HonoursIdempotencyKey = s.flag("honoursKey")
	spec.BodyLimitBytes = s.integer("bodyLimitBytes", 1, 1<<30, false, defaultServiceBodyLimit)
	p.fleet.services = append(p.fleet.services, spec)
}

// validIdempotentRule reports whether rule has the form "METHOD /path/prefix".
func validIdempotentRule(rule string) bool {
	method, path, ok := strings.Cut(rule, " ")
	return ok && method != "" && strings.ToUpper(method) == method && strings.HasPrefix(path, "/") && !strings.Contains(path, " ")
}

// parseNameList parses a comma-separated list of distinct names.
func parseNameList(v string) ([]string, bool) {
	list := splitList(v)
	for i, name := range list {
		if !validName(name) || slices.Contains(list[:i], name) {
			return nil, false
		}
	}
	return list, true
}

func (p *fleetParser) parseGroup(s *iniSection, name string) {
	members := parseKey(s, "members", "at least two engine names separated by commas, each once", true, nil, func(v string) ([]string, bool) {
		list, ok := parseNameList(v)
		return list, ok && len(list) >= 2
	})
	p.fleet.groups = append(p.fleet.groups, Group{Name: name, Members: members})
}

// checkGroups validates the groups and sets the group of each member engine. All members have to serve the same model in the
// same data centre, because only VMs of a data centre send requests to its engines.
func (p *fleetParser) checkGroups() {
	engineIndex := map[string]int{}
	for i, e := range p.fleet.engines {
		engineIndex[e.Name] = i
	}
	groupOf := map[string]string{}
	for _, g := range p.fleet.groups {
		s := p.iniFile.section("group " + g.Name)
		for _, name := range g.Members {
			i, ok := engineIndex[name]
			if !ok {
				s.addProblem("members", fmt.Sprintf("names of [engine NAME] sections; %q is not one", name))
				continue
			}
			e, firstEngine := &p.fleet.engines[i], p.fleet.engines[engineIndex[g.Members[0]]]
			if other, ok := groupOf[name]; ok {
				s.addProblem("members", fmt.Sprintf("engines of one group only; %q is also in %q", name, other))
			}
			groupOf[name] = g.Name
			if e.Model != firstEngine.Model || e.DataCentre != firstEngine.DataCentre {
				s.addProblem("members", fmt.Sprintf("engines of one model in one data centre; %q differs from %q", name, firstEngine.Name))
			}
			if e.Group == "" {
				e.Group = g.Name
			}
		}
	}
	for _, e := range p.fleet.engines {
		if e.Group != groupOf[e.Name] {
			p.iniFile.section("engine "+e.Name).addProblem("group", "the [group NAME] that lists the engine among its members")
		}
	}
}

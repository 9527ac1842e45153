package operator

import (
	"fmt"
	"slices"
	"strings"

	"goldcrestpath/engine"
	"goldcrestpath/entry"
	"goldcrestpath/service"
)

// maxTokens bounds memory sizes in tokens, far above any engine.
const maxTokens = 1_000_000_000

// Bounds of the size of a model's weights. The weight store needs a size with each reservation.
const (
	defaultWeightBytes = 1 << 30
	maxWeightBytes     = 1 << 50
)

// defaultServiceBody is the longest request body of a service that sets none.
const defaultServiceBody = 1 << 20

// Group is a set of engines that can hold one prompt together. Its members are reserved in this order.
type Group struct {
	Name    string
	Members []string
}

// Fleet is the content of the fleet document.
type Fleet struct {
	dataCentres []string
	regions     map[string]string
	places      []entry.Place
	engines     []engine.Spec
	services    []service.Spec
	groups      []Group
}

// DataCentres returns the data centres in the order of the document.
func (f *Fleet) DataCentres() []string { return slices.Clone(f.dataCentres) }

// Region returns the region of a data centre.
func (f *Fleet) Region(dataCentre string) string { return f.regions[dataCentre] }

// Places returns the VMs' places in the order of the document.
func (f *Fleet) Places() []entry.Place { return slices.Clone(f.places) }

// Engines returns the model engines in the order of the document.
func (f *Fleet) Engines() []engine.Spec { return slices.Clone(f.engines) }

// Services returns the instances of plain services in the order of the document.
func (f *Fleet) Services() []service.Spec { return slices.Clone(f.services) }

// Groups returns the groups of engines in the order of the document.
func (f *Fleet) Groups() []Group { return slices.Clone(f.groups) }

// ParseFleet reads a fleet document. The error is of type customer.Problems.
func ParseFleet(file string, data []byte) (*Fleet, error) {
	p := fleetParser{
		iniFile: parseINI(file, data),
		fleet:   &Fleet{regions: map[string]string{}},
		sites:   map[*iniSection]string{},
		names:   map[string]bool{},
		ports:   map[string]string{},
	}
	for _, s := range p.sections {
		p.section(s)
	}
	for _, s := range p.sections {
		if site, ok := p.sites[s]; ok && p.fleet.regions[site] == "" && site != "" {
			s.problem("dataCentre", "the name of a [dataCentre NAME] section of this file")
		}
	}
	p.checkGroups()
	if len(p.sections) == 0 && len(p.problems) == 0 {
		p.problem("", "", "", "at least one [dataCentre NAME] section")
	}
	if err := p.err(); err != nil {
		return nil, err
	}
	return p.fleet, nil
}

// fleetParser holds what the checks across sections need.
type fleetParser struct {
	*iniFile
	fleet *Fleet
	sites map[*iniSection]string // data centre that a section refers to
	names map[string]bool        // endpoint names
	ports map[string]string      // section by address
}

const allowedFleetSections = "[dataCentre NAME], [vm PLACE], [engine NAME], [service NAME] and [group NAME]"

func (p *fleetParser) section(s *iniSection) {
	kind, name, _ := strings.Cut(s.name, " ")
	name = strings.TrimSpace(name)
	read, ok := map[string]func(*iniSection, string){
		"dataCentre": p.dataCentre,
		"vm":         p.vm,
		"engine":     p.engine,
		"service":    p.service,
		"group":      p.group,
	}[kind]
	if !ok {
		s.problem("", allowedFleetSections)
		return
	}
	if !validName(name) || kind != "vm" && strings.Contains(name, "/") {
		s.problem("", fmt.Sprintf("[%s NAME] with %s; only a VM's place contains /", kind, allowedName))
		return
	}
	read(s, name)
	s.done()
}

func (p *fleetParser) dataCentre(s *iniSection, name string) {
	p.fleet.dataCentres = append(p.fleet.dataCentres, name)
	p.fleet.regions[name] = s.ident("region", true)
	if p.fleet.regions[name] == "" {
		p.fleet.regions[name] = "unknown" // the missing region was reported; references to the data centre are right
	}
}

// site reads the data centre and the address of a section.
func (p *fleetParser) site(s *iniSection) (dataCentre, address string) {
	dataCentre, address = s.ident("dataCentre", true), s.address("address", true)
	p.sites[s] = dataCentre
	if other, ok := p.ports[address]; ok && address != "" {
		s.problem("address", "an address that no other section has; ["+other+"] has it too")
	}
	p.ports[address] = s.name
	return dataCentre, address
}

func (p *fleetParser) vm(s *iniSection, name string) {
	dataCentre, address := p.site(s)
	p.fleet.places = append(p.fleet.places, entry.Place{Name: name, DataCentre: dataCentre, Address: address})
}

// endpoint reports a name that another endpoint has. Engines and services share one space of names, because drains name
// endpoints without their kind.
func (p *fleetParser) endpoint(s *iniSection, name string) {
	if p.names[name] {
		s.problem("", "a name that no other engine or service has")
	}
	p.names[name] = true
}

func (p *fleetParser) engine(s *iniSection, name string) {
	p.endpoint(s, name)
	spec := engine.Spec{Name: name}
	spec.DataCentre, spec.Address = p.site(s)
	spec.Model = s.ident("model", true)
	spec.KVTokens = s.count("kvTokens", 1, maxTokens, true, 0)
	spec.Sequences = s.count("sequences", 1, 1_000_000, true, 0)
	spec.PrefillRate = s.rate("prefillRate")
	spec.DecodeRate = s.rate("decodeRate")
	spec.ColdSequences = s.count("coldSequences", 1, max(1, spec.Sequences), false, 1)
	spec.ChecksFence = s.flag("checksFence")
	spec.Group = s.ident("group", false)
	spec.Version, spec.Role = s.ident("version", false), s.ident("role", false)
	spec.Adapters = strings.Join(parse(s, "adapters", "names separated by commas, each once", false, nil, distinctNames), ",")
	spec.WeightBytes = s.count("weightBytes", 1, maxWeightBytes, false, defaultWeightBytes)
	p.fleet.engines = append(p.fleet.engines, spec)
}

func (p *fleetParser) service(s *iniSection, name string) {
	p.endpoint(s, name)
	spec := service.Spec{Name: name, Service: s.ident("service", true)}
	spec.DataCentre, spec.Address = p.site(s)
	spec.Concurrent = s.count("concurrent", 1, 1_000_000, true, 0)
	const allowed = `rules "METHOD /path/prefix" separated by commas`
	spec.Idempotent = parse(s, "idempotent", allowed, false, nil, func(v string) ([]string, bool) {
		rules := splitList(v)
		return rules, !slices.ContainsFunc(rules, func(r string) bool { return !validRule(r) })
	})
	spec.HonoursKey = s.flag("honoursKey")
	spec.BodyLimitBytes = s.count("bodyLimitBytes", 1, 1<<30, false, defaultServiceBody)
	p.fleet.services = append(p.fleet.services, spec)
}

func validRule(rule string) bool {
	method, path, ok := strings.Cut(rule, " ")
	return ok && method != "" && strings.ToUpper(method) == method && strings.HasPrefix(path, "/") && !strings.Contains(path, " ")
}

// distinctNames reads names separated by commas, each of which stands once.
func distinctNames(v string) ([]string, bool) {
	list := splitList(v)
	for i, name := range list {
		if !validName(name) || slices.Contains(list[:i], name) {
			return nil, false
		}
	}
	return list, true
}

func (p *fleetParser) group(s *iniSection, name string) {
	members := parse(s, "members", "at least two engine names separated by commas, each once", true, nil, func(v string) ([]string, bool) {
		list, ok := distinctNames(v)
		return list, ok && len(list) >= 2
	})
	p.fleet.groups = append(p.fleet.groups, Group{Name: name, Members: members})
}

// checkGroups fills in the group of each member. Members serve one model in one data centre, because only VMs of a data
// centre speak to its engines.
func (p *fleetParser) checkGroups() {
	index := map[string]int{}
	for i, e := range p.fleet.engines {
		index[e.Name] = i
	}
	member := map[string]string{}
	for _, g := range p.fleet.groups {
		s := p.iniFile.section("group " + g.Name)
		for _, name := range g.Members {
			i, ok := index[name]
			if !ok {
				s.problem("members", fmt.Sprintf("names of [engine NAME] sections; %q is none", name))
				continue
			}
			e, first := &p.fleet.engines[i], p.fleet.engines[index[g.Members[0]]]
			if other, ok := member[name]; ok {
				s.problem("members", fmt.Sprintf("engines of one group only; %q is in %q too", name, other))
			}
			member[name] = g.Name
			if e.Model != first.Model || e.DataCentre != first.DataCentre {
				s.problem("members", fmt.Sprintf("engines of one model in one data centre; %q differs from %q", name, first.Name))
			}
			if e.Group == "" {
				e.Group = g.Name
			}
		}
	}
	for _, e := range p.fleet.engines {
		if e.Group != member[e.Name] {
			p.iniFile.section("engine "+e.Name).problem("group", "the [group NAME] that lists the engine among its members")
		}
	}
}

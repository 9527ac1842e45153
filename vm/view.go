package vm

import (
	"bytes"
	"sort"

	"goldcrestpath/customer"
	"goldcrestpath/engine"
	"goldcrestpath/operator"
	"goldcrestpath/oplog"
	"goldcrestpath/service"
)

// view is the applied configuration, indexed for the request path. It is immutable; each change of the
// configuration creates a new view.
type view struct {
	dataCentre    string // data centre of this VM
	snapshot      *oplog.Snapshot
	fleet         *operator.Fleet               // nil before the first valid fleet document
	fleetRevision uint64                        // revision of the fleet document
	fleetContent  []byte                        // content of the fleet document from which fleet was parsed
	directory     *customer.Directory           // contracts by API key
	contracts     map[string]*customer.Contract // by customer
	parsed        map[string]parsedContract     // by document name

	engines   map[string][]engine.Spec           // by model, in this data centre
	inService map[string][]engine.Spec           // by model, without the drained engines
	services  map[string][]service.Spec          // by service, in this data centre
	models    map[string]map[string]bool         // data centre -> set of models served there
	offered   map[string]map[string]service.Spec // data centre -> service -> one of its instances
}

// parsedContract is a contract with the document content from which it was parsed.
type parsedContract struct {
	content  []byte
	contract *customer.Contract
}

// newView derives a view from a snapshot. Documents that have not changed are not parsed again but reused from
// old, which may be nil, because parsing a fleet of 10,000 engines takes 0.2 s. A document that does not parse is
// reported as a problem, and its last valid content remains in use. Documents are validated on publication, so an
// invalid one can only have been written by another version of the program.
func newView(dataCentre string, s *oplog.Snapshot, old *view) (*view, error) {
	if old == nil {
		old = &view{}
	}
	w := &view{
		dataCentre: dataCentre,
		snapshot:   s,
		contracts:  make(map[string]*customer.Contract),
		parsed:     make(map[string]parsedContract),
	}
	var problems customer.Problems
	problems = append(problems, w.parseContracts(old)...)
	problems = append(problems, w.parseFleet(old)...)
	w.indexInService()
	if len(problems) > 0 {
		return w, problems
	}
	return w, nil
}

// parseContracts parses the contracts that have changed since old and builds the directory by API key. If the
// directory cannot be built, that of old remains in use.
func (w *view) parseContracts(old *view) customer.Problems {
	var problems customer.Problems
	var contracts []*customer.Contract
	for _, d := range w.snapshot.Documents() {
		if !isContract(d.Name) {
			continue
		}
		parsed, known := old.parsed[d.Name]
		if !known || !bytes.Equal(parsed.content, d.Content) {
			c, err := customer.ParseContract(d.Name, d.Content)
			if err == nil {
				parsed, known = parsedContract{d.Content, c}, true
			} else {
				problems = append(problems, asProblems(d.Name, err)...)
			}
		}
		if known {
			w.parsed[d.Name] = parsed
			w.contracts[parsed.contract.Name()] = parsed.contract
			contracts = append(contracts, parsed.contract)
		}
	}
	directory, err := customer.NewDirectory(contracts)
	if err != nil {
		problems = append(problems, asProblems("contracts", err)...)
		directory, _ = customer.NewDirectory(nil)
		if old.directory != nil {
			directory = old.directory
		}
	}
	w.directory = directory
	return problems
}

// parseFleet parses the fleet document if it has changed since old.
func (w *view) parseFleet(old *view) customer.Problems {
	d, ok := w.snapshot.Document(oplog.FleetDocument)
	if !ok {
		w.reuseFleet(old)
		return nil
	}
	if bytes.Equal(d.Content, old.fleetContent) {
		w.reuseFleet(old)
		w.fleetRevision = d.Revision
		return nil
	}
	fleet, err := operator.ParseFleet(d.Name, d.Content)
	if err != nil {
		w.reuseFleet(old)
		return asProblems(d.Name, err)
	}
	w.fleet, w.fleetRevision, w.fleetContent = fleet, d.Revision, d.Content
	w.indexFleet()
	return nil
}

// reuseFleet copies the fleet and its indexes from an earlier view.
func (w *view) reuseFleet(old *view) {
	w.fleet, w.fleetRevision, w.fleetContent = old.fleet, old.fleetRevision, old.fleetContent
	w.engines, w.services, w.models, w.offered = old.engines, old.services, old.models, old.offered
}

// indexFleet indexes the fleet's engines and services by model, service and data centre.
func (w *view) indexFleet() {
	w.engines = make(map[string][]engine.Spec)
	w.services = make(map[string][]service.Spec)
	w.models = make(map[string]map[string]bool)
	w.offered = make(map[string]map[string]service.Spec)
	for _, s := range w.fleet.Engines() {
		if w.models[s.DataCentre] == nil {
			w.models[s.DataCentre] = make(map[string]bool)
		}
		w.models[s.DataCentre][s.Model] = true
		if s.DataCentre == w.dataCentre {
			w.engines[s.Model] = append(w.engines[s.Model], s)
		}
	}
	for _, s := range w.fleet.Services() {
		if w.offered[s.DataCentre] == nil {
			w.offered[s.DataCentre] = make(map[string]service.Spec)
		}
		w.offered[s.DataCentre][s.Service] = s
		if s.DataCentre == w.dataCentre {
			w.services[s.Service] = append(w.services[s.Service], s)
		}
	}
}

// drained reports whether operators have drained a data centre.
func (w *view) drained(dataCentre string) bool {
	return w.snapshot.Drained(targetDataCentre(dataCentre))
}

// enginesOf returns the engines of a model in this data centre that are not drained and not excluded. Without
// exclusions it returns the same slice on each call, because engine.Selector caches its index of a model by the
// address of the slice.
func (w *view) enginesOf(model string, excluded map[string]bool) []engine.Spec {
	if len(excluded) == 0 {
		return w.inService[model]
	}
	var specs []engine.Spec
	for _, s := range w.inService[model] {
		if !excluded[s.Name] {
			specs = append(specs, s)
		}
	}
	return specs
}

// indexInService indexes the engines that are not drained by model.
func (w *view) indexInService() {
	w.inService = make(map[string][]engine.Spec, len(w.engines))
	for model, specs := range w.engines {
		for _, s := range specs {
			if !w.snapshot.Drained(targetEndpoint(s.Name)) {
				w.inService[model] = append(w.inService[model], s)
			}
		}
	}
}

// instancesOf returns the instances of a service in this data centre that are not drained and not excluded.
func (w *view) instancesOf(name string, excluded map[string]bool) []service.Spec {
	var specs []service.Spec
	for _, s := range w.services[name] {
		if !excluded[s.Name] && !w.snapshot.Drained(targetEndpoint(s.Name)) {
			specs = append(specs, s)
		}
	}
	return specs
}

func (w *view) servesModel(dataCentre, model string) bool { return w.models[dataCentre][model] }

// offersService reports whether a data centre has an instance of a service.
func (w *view) offersService(dataCentre, name string) bool {
	_, ok := w.offered[dataCentre][name]
	return ok
}

// hasModel reports whether any data centre serves a model.
func (w *view) hasModel(model string) bool {
	for _, models := range w.models {
		if models[model] {
			return true
		}
	}
	return false
}

// service returns an instance of a service in any data centre. The idempotency rules are the same for all
// instances of a service.
func (w *view) service(name string) (service.Spec, bool) {
	for _, offers := range w.offered {
		if s, ok := offers[name]; ok {
			return s, true
		}
	}
	return service.Spec{}, false
}

// modelNames returns the sorted names of the models that the contract allows and the fleet serves.
func (w *view) modelNames(c *customer.Contract) []string {
	seen := make(map[string]bool)
	for _, models := range w.models {
		for m := range models {
			if c.AllowsModel(m) {
				seen[m] = true
			}
		}
	}
	names := make([]string, 0, len(seen))
	for m := range seen {
		names = append(names, m)
	}
	sort.Strings(names)
	return names
}

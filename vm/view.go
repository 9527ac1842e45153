package vm

import (
	"sort"

	"goldcrestpath/customer"
	"goldcrestpath/engine"
	"goldcrestpath/operator"
	"goldcrestpath/platform"
	"goldcrestpath/service"
)

// view is the applied configuration as the data path reads it. It is immutable; a change replaces it.
type view struct {
	dataCentre string // this VM's data centre
	snapshot   *platform.Snapshot
	fleet      *operator.Fleet
	revision   uint64 // of the fleet document
	book       *customer.Book
	contracts  map[string]*customer.Contract

	engines   map[string][]engine.Spec           // by model, in this data centre
	inService map[string][]engine.Spec           // engines without the drained ones
	services  map[string][]service.Spec          // by service, in this data centre
	models    map[string]map[string]bool         // data centre -> models served there
	offers    map[string]map[string]service.Spec // data centre -> service -> one instance
}

// newView derives a view from a snapshot. A contract that does not parse is left out and returned as a problem: publishing checks it,
// so it can only come from another version of the program.
func newView(dataCentre string, s *platform.Snapshot) (*view, error) {
	w := &view{
		dataCentre: dataCentre,
		snapshot:   s,
		contracts:  make(map[string]*customer.Contract),
		engines:    make(map[string][]engine.Spec),
		services:   make(map[string][]service.Spec),
		models:     make(map[string]map[string]bool),
		offers:     make(map[string]map[string]service.Spec),
	}
	var problems customer.Problems
	problems = append(problems, w.readContracts()...)
	problems = append(problems, w.readFleet()...)
	w.selectInService()
	if len(problems) > 0 {
		return w, problems
	}
	return w, nil
}

func (w *view) readContracts() customer.Problems {
	var problems customer.Problems
	var contracts []*customer.Contract
	for _, d := range w.snapshot.Documents() {
		if !isContract(d.Name) {
			continue
		}
		c, err := customer.ParseContract(d.Name, d.Content)
		if err != nil {
			problems = append(problems, asProblems(d.Name, err)...)
			continue
		}
		w.contracts[c.Name()] = c
		contracts = append(contracts, c)
	}
	book, err := customer.NewBook(contracts)
	if err != nil {
		problems = append(problems, asProblems("contracts", err)...)
		book, _ = customer.NewBook(nil)
	}
	w.book = book
	return problems
}

func (w *view) readFleet() customer.Problems {
	d, ok := w.snapshot.Document(platform.FleetDocument)
	if !ok {
		return nil
	}
	fleet, err := operator.ParseFleet(d.Name, d.Content)
	if err != nil {
		return asProblems(d.Name, err)
	}
	w.fleet, w.revision = fleet, d.Revision
	for _, s := range fleet.Engines() {
		if w.models[s.DataCentre] == nil {
			w.models[s.DataCentre] = make(map[string]bool)
		}
		w.models[s.DataCentre][s.Model] = true
		if s.DataCentre == w.dataCentre {
			w.engines[s.Model] = append(w.engines[s.Model], s)
		}
	}
	for _, s := range fleet.Services() {
		if w.offers[s.DataCentre] == nil {
			w.offers[s.DataCentre] = make(map[string]service.Spec)
		}
		w.offers[s.DataCentre][s.Service] = s
		if s.DataCentre == w.dataCentre {
			w.services[s.Service] = append(w.services[s.Service], s)
		}
	}
	return nil
}

// drained says whether operators have taken a data centre out of service.
func (w *view) drained(dataCentre string) bool {
	return w.snapshot.Drained(targetDataCentre(dataCentre))
}

// usable returns this data centre's engines of a model that are in service and not excluded. Without exclusions it returns the same
// list each time, since the chooser keeps its plan by list.
func (w *view) usable(model string, excluded map[string]bool) []engine.Spec {
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

// selectInService lists the engines that are not drained.
func (w *view) selectInService() {
	w.inService = make(map[string][]engine.Spec, len(w.engines))
	for model, specs := range w.engines {
		for _, s := range specs {
			if !w.snapshot.Drained(targetEndpoint(s.Name)) {
				w.inService[model] = append(w.inService[model], s)
			}
		}
	}
}

// serviceSpecs returns this data centre's instances of a service that are in service and not excluded.
func (w *view) serviceSpecs(name string, excluded map[string]bool) []service.Spec {
	var specs []service.Spec
	for _, s := range w.services[name] {
		if !excluded[s.Name] && !w.snapshot.Drained(targetEndpoint(s.Name)) {
			specs = append(specs, s)
		}
	}
	return specs
}

func (w *view) servesModel(dataCentre, model string) bool { return w.models[dataCentre][model] }

func (w *view) offersService(dataCentre, name string) bool {
	_, ok := w.offers[dataCentre][name]
	return ok
}

func (w *view) hasModel(model string) bool {
	for _, models := range w.models {
		if models[model] {
			return true
		}
	}
	return false
}

// service returns an instance of a service in any data centre; the idempotency rules of all instances are the same.
func (w *view) service(name string) (service.Spec, bool) {
	for _, offers := range w.offers {
		if s, ok := offers[name]; ok {
			return s, true
		}
	}
	return service.Spec{}, false
}

// modelNames returns the models that a contract allows and the fleet serves, sorted.
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

// keepFleet takes over the fleet of an earlier view, where the newer document does not parse.
func (w *view) keepFleet(old *view) {
	w.fleet, w.revision, w.engines, w.services, w.models, w.offers = old.fleet, old.revision, old.engines, old.services, old.models, old.offers
	w.selectInService()
}

package customer

import (
	"crypto/sha256"
	"sort"
)

// Directory looks up contracts by API key and by customer name. It is immutable.
type Directory struct {
	byKey  map[keyHash]*Contract
	byName map[string]*Contract
}

// NewDirectory returns a directory of the contracts. The error is Problems if two contracts have the same name or the same key.
func NewDirectory(contracts []*Contract) (*Directory, error) {
	d := &Directory{byKey: map[keyHash]*Contract{}, byName: map[string]*Contract{}}
	var problems Problems
	for _, c := range contracts {
		if other, ok := d.byName[c.name]; ok {
			problems = append(problems, Problem{File: c.file, Section: sectionContract, Key: "name", Value: c.name,
				Allowed: "a name that no other contract has; " + other.file + " has it"})
			continue
		}
		d.byName[c.name] = c
		for hash, label := range c.keys {
			if other, ok := d.byKey[hash]; ok {
				problems = append(problems, Problem{File: c.file, Section: sectionKeys, Key: label, Value: "the key's hash",
					Allowed: "a key that no other contract has; contract " + other.name + " has it"})
				continue
			}
			d.byKey[hash] = c
		}
	}
	if len(problems) > 0 {
		return nil, problems
	}
	return d, nil
}

// ByKey returns the contract to which the API key belongs. The lookup uses the key's SHA-256, so its duration does not reveal
// how many leading characters of a guessed key are right.
func (d *Directory) ByKey(apiKey string) (*Contract, bool) {
	c, ok := d.byKey[sha256.Sum256([]byte(apiKey))]
	return c, ok
}

// ByName returns the contract of the customer with the name.
func (d *Directory) ByName(name string) (*Contract, bool) {
	c, ok := d.byName[name]
	return c, ok
}

// Contracts returns all contracts, sorted by name.
func (d *Directory) Contracts() []*Contract {
	contracts := make([]*Contract, 0, len(d.byName))
	for _, c := range d.byName {
		contracts = append(contracts, c)
	}
	sort.Slice(contracts, func(i, j int) bool { return contracts[i].name < contracts[j].name })
	return contracts
}

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
	b := &Directory{byKey: map[keyHash]*Contract{}, byName: map[string]*Contract{}}
	var problems Problems
	for _, c := range contracts {
		if other, ok := b.byName[c.name]; ok {
			problems = append(problems, Problem{File: c.file, Section: sectionContract, Key: "name", Value: c.name,
				Allowed: "a name that no other contract has; " + other.file + " has it"})
			continue
		}
		b.byName[c.name] = c
		for hash, label := range c.keys {
			if other, ok := b.byKey[hash]; ok {
				problems = append(problems, Problem{File: c.file, Section: sectionKeys, Key: label, Value: "the key's hash",
					Allowed: "a key that no other contract has; contract " + other.name + " has it"})
				continue
			}
			b.byKey[hash] = c
		}
	}
	if len(problems) > 0 {
		return nil, problems
	}
	return b, nil
}

// ByKey returns the contract to which the API key belongs. The lookup uses the key's SHA-256, so its duration does not reveal
// how many leading characters of a guessed key are right.
func (b *Directory) ByKey(apiKey string) (*Contract, bool) {
	c, ok := b.byKey[sha256.Sum256([]byte(apiKey))]
	return c, ok
}

// ByName returns the contract of the customer with the name.
func (b *Directory) ByName(name string) (*Contract, bool) {
	c, ok := b.byName[name]
	return c, ok
}

// Contracts returns all contracts, sorted by name.
func (b *Directory) Contracts() []*Contract {
	contracts := make([]*Contract, 0, len(b.byName))
	for _, c := range b.byName {
		contracts = append(contracts, c)
	}
	sort.Slice(contracts, func(i, j int) bool { return contracts[i].name < contracts[j].name })
	return contracts
}

package operator

import (
	"slices"
	"strings"

	"goldcrestpath/customer"
	"goldcrestpath/oplog"
)

// FileKind is the kind of a settings or configuration file.
type FileKind string

// Kinds of files.
const (
	KindSettings FileKind = "settings" // settings of a VM
	KindFleet    FileKind = "fleet"    // fleet document
	KindContract FileKind = "contract" // contract of a customer
	KindGateway  FileKind = "gateway"  // settings of a gateway
)

// Sections by which DetectFileKind recognises a file. A section name of a fleet document consists of one of fleetKinds and a
// name, such as [vm jm-a/1].
var (
	settingsSections = []string{"vm", "caller", "peer", "operator", "platform", "log", "routing"}
	contractSections = []string{"contract", "keys", "firstToken", "deadline"}
	fleetKinds       = []string{"dataCentre", "vm", "engine", "service", "group"}
)

// DetectFileKind determines the kind of a file from the first section by which it can recognise one. The error is of type
// customer.Problems.
func DetectFileKind(file string, data []byte) (FileKind, error) {
	f := parseINI(file, data)
	for _, s := range f.sections {
		kind, _, named := strings.Cut(s.name, " ")
		switch {
		case s.name == gatewaySections[0]:
			return KindGateway, nil
		case named && slices.Contains(fleetKinds, kind):
			return KindFleet, nil
		case slices.Contains(settingsSections, s.name):
			return KindSettings, nil
		case slices.Contains(contractSections, s.name):
			return KindContract, nil
		}
	}
	if len(f.problems) == 0 {
		f.addProblem("", "", "", "the sections of a settings file, a fleet document or a contract")
	}
	return "", f.err()
}

// CheckFile determines the kind of a file and validates its content. The error is of type customer.Problems.
func CheckFile(file string, data []byte) (FileKind, error) {
	kind, err := DetectFileKind(file, data)
	if err != nil {
		return "", err
	}
	switch kind {
	case KindSettings:
		_, err = ParseSettings(file, data)
	case KindGateway:
		_, err = ParseGatewaySettings(file, data)
	case KindFleet:
		_, err = ParseFleet(file, data)
	case KindContract:
		_, err = customer.ParseContract(file, data)
	}
	return kind, err
}

// CheckDocument validates the content of a document before it is published. The error is of type customer.Problems.
func CheckDocument(name string, content []byte) error {
	if name == oplog.FleetDocument {
		_, err := ParseFleet(name, content)
		return err
	}
	if !oplog.ValidDocumentName(name) {
		return customer.Problems{{File: name, Allowed: "the documents " + oplog.FleetDocument + " and " + oplog.ContractPrefix + "NAME"}}
	}
	c, err := customer.ParseContract(name, content)
	if err != nil {
		return err
	}
	if want := strings.TrimPrefix(name, oplog.ContractPrefix); c.Name() != want {
		return customer.Problems{{File: name, Section: "contract", Key: "name", Value: c.Name(), Allowed: "the name in the document's name, " + want}}
	}
	return nil
}

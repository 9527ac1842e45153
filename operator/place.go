package operator

// Place is a VM's slot in the fleet document; Address is the peer address.
type Place struct{ Name, DataCentre, Address string }

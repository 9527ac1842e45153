package operator_test

import (
	"fmt"

	"goldcrestpath/operator"
)

func ExampleParseFleet() {
	_, err := operator.ParseFleet("fleet.ini", []byte("[dataCentre a]\nregion = r\n[vm a/1]\ndataCentre = b\naddress = vm1.example:7000\n"))
	fmt.Println(err)
	// Output:
	// fleet.ini: [vm a/1] address = "vm1.example:7000": allowed is an IP address and port such as 10.0.0.7:7000; host names are not looked up
	// fleet.ini: [vm a/1] dataCentre = "b": allowed is the name of a [dataCentre NAME] section of this file
}

package service_test

import (
	"fmt"

	"goldcrestpath/service"
)

func ExampleMayRetry() {
	spec := service.Spec{Service: "booking", IdempotentRules: []string{"PUT /rooms/"}}
	for _, r := range []*service.Request{
		{Method: "GET", Path: "/bookings"},
		{Method: "POST", Path: "/bookings"},
		{Method: "PUT", Path: "/rooms/7"},
		{Method: "PUT", Path: "/rooms/7", NeverRetry: true},
	} {
		fmt.Println(r.Method, r.Path, r.NeverRetry, service.MayRetry(spec, r))
	}
	// Output:
	// GET /bookings false true
	// POST /bookings false false
	// PUT /rooms/7 false true
	// PUT /rooms/7 true false
}

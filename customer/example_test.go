package customer_test

import (
	"fmt"
	"time"

	"goldcrestpath/customer"
)

func ExampleAsRefusal() {
	err := fmt.Errorf("forward: %w", customer.Refuse(customer.ReasonQueueFull, "the queue is full", customer.RetryAfter(time.Second)))
	r := customer.AsRefusal(err)
	fmt.Println(r.Verdict(), r.Reason(), r.RetryAfter())
	// Any other error does not prove that the request did not run.
	fmt.Println(customer.AsRefusal(fmt.Errorf("connection reset")).Verdict())
	// Output:
	// notRun queueFull 1s
	// mayHaveRun
}

func ExampleClassOf() {
	for _, tokens := range []int{1_999, 2_000, 100_000, 1_000_000} {
		fmt.Println(tokens, customer.ClassOf(tokens))
	}
	// Output:
	// 1999 short
	// 2000 medium
	// 100000 long
	// 1000000 veryLong
}

package forward

import (
	"context"
	"net/http"
	"time"

	"goldcrestpath/customer"
	"goldcrestpath/endpoint"
)

// Sizes of an explained prompt if neither the question nor the configuration of the service states them.
const (
	explainedTokens = 1000
	explainedOutput = 256
)

// Question describes the request that Explain explains.
type Question struct {
	Host, Path   string
	Team         string // name of the customer, "" for none
	PromptTokens int    // 0 for the usual prompt of the service
	OutputTokens int    // upper bound of the answer, 0 for the usual answer of the service
}

// Answer states what the handler would do with a first attempt of a request to one service of its route. Prompts in quarantine are not
// considered, because the question has no prompt.
type Answer struct {
	Route, Customer            string  // Customer is "" for none
	Share                      float64 // share of the route's requests that goes to the service
	Generation                 bool    // the request is a prompt to model engines
	PromptTokens, OutputTokens int     // 0 unless Generation is set
	Rank                       endpoint.Rank
	WaitLimit                  time.Duration // how long the request waits at most if it is not selected at once
	Waits                      bool          // the request would wait instead of being refused now
	*endpoint.Explanation
}

// Explain returns what the handler would do now with a request, with one answer for each service of its route. It sends nothing and changes
// nothing. The error is a *BadRequestError if there is no such route or customer, and a *customer.Refusal if there is no configuration.
func (h *Handler) Explain(now time.Time, x Question) ([]Answer, error) {
	table := h.table.Load()
	if table == nil {
		return nil, customer.Refuse(customer.ReasonNotReady, "no configuration yet", customer.RetryAfter(retryNotReady))
	}
	route := table.FindRoute(x.Host, x.Path)
	if route == nil {
		return nil, &BadRequestError{Status: http.StatusNotFound, Message: "no route for the host and path"}
	}
	q := &request{h: h, table: table, route: route}
	if x.Team != "" {
		team := table.CustomerNamed(x.Team)
		if team == nil {
			return nil, &BadRequestError{Status: http.StatusNotFound, Message: "no such team"}
		}
		if !route.Public {
			q.customer = team
		}
	}
	total := 0.0
	for _, s := range route.Services {
		total += s.Weight
	}
	answers := make([]Answer, 0, len(route.Services))
	for _, weighted := range route.Services {
		q.service = weighted.Service
		answer := q.explain(now, x)
		if total > 0 {
			answer.Share = weighted.Weight / total
		}
		answers = append(answers, answer)
	}
	return answers, nil
}

// explain returns the answer for the service of the request.
func (q *request) explain(now time.Time, x Question) Answer {
	q.call = &Call{Host: x.Host, Path: x.Path, PromptTokens: x.PromptTokens, OutputTokens: x.OutputTokens, ArrivedAt: now}
	_, cancel := q.limited(context.Background()) // sets the deadline
	defer cancel()
	a := Answer{Route: q.route.Name, Customer: q.customerName(), Rank: q.rank(), WaitLimit: q.exchangeWaitLimit()}
	if q.route.Kind.Streams() {
		a.WaitLimit = q.waitLimit()
	}
	if s := q.table.Services()[q.service]; q.route.Kind.Streams() && s != nil && s.Engine != nil {
		if q.call.PromptTokens == 0 {
			q.call.PromptTokens = orDefault(s.Engine.UsualPrompt, explainedTokens)
		}
		if q.call.OutputTokens == 0 {
			q.call.OutputTokens = orDefault(s.Engine.UsualOutput, explainedOutput)
		}
		a.Generation, a.PromptTokens, a.OutputTokens = true, q.call.PromptTokens, q.call.OutputTokens
		a.Explanation = q.h.fleet.Explain(now, q.service, q.prompt(now, nil))
	} else {
		a.Explanation = q.h.fleet.ExplainCall(now, q.service, q.callRank(now), endpoint.CallCustomer(q.sharer()))
	}
	a.Waits = a.Refusal != nil && mayWait(a.Refusal, a.WaitLimit)
	return a
}

// orDefault returns n, or def if n is not positive.
func orDefault(n, def int) int {
	if n > 0 {
		return n
	}
	return def
}

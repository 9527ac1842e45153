package endpoint

import (
	"cmp"
	"slices"
	"time"

	"goldcrestpath/customer"
)

// Bounds of the division of long prompts.
const (
	longPart = 300 * time.Millisecond // part that one engine reads, where enough engines are free
	// longestPart bounds a part where few engines are free. Short prompts that find no other engine wait for it to end.
	longestPart = 600 * time.Millisecond
	// idleBusy is how long an engine may still be reading to count as free. Engines read parts that they help with ahead of
	// their own prompts, so a prompt that is sent to a busy engine can wait for long.
	idleBusy = 40 * time.Millisecond
	// smallPartsShare is the part of the time to its latest start that a prompt waits for engines without short streams. After
	// it, small parts are read between the events of such streams.
	smallPartsShare = 0.4
	// forceShare is the part of its time limit after which a late prompt may disturb streams, up to mostDisturbed.
	forceShare    = 0.35
	mostDisturbed = 16
	// forcedPart is read by one engine then: fewer engines disturb fewer streams.
	forcedPart = 1500 * time.Millisecond
	// idleQueue is the predicted wait up to which the engines count as idle. Only then are they read on for longer parts, and
	// prompts taken that are late in any case because their callers come back after a refusal.
	idleQueue = 200 * time.Millisecond
	// arrivalShare is the part of its aim (one in so many) in which a prompt counts as arriving and can still be refused at
	// once.
	arrivalShare = 8
	// lastShare is the part of its time limit that a late prompt waits.
	lastShare = 0.5
	// freeCapacity and strictCapacity are the parts of an engine's time that long prompts can use where no stream accepts
	// only short pauses, and where some do.
	freeCapacity   = 0.8
	strictCapacity = 0.25
	// contendedShare is the part of the time to its latest start that a prompt's predicted wait may take where others go
	// before it. Shorter prompts that arrive meanwhile go before it too.
	contendedShare = 0.5
	// returnShare is the part of the remaining time after which a refused prompt should come back. Callers wait no longer
	// than a third of it.
	returnShare = 0.33
)

// divide returns the engines that read a long prompt, each an even part, or nothing where the prompt should wait: for its
// turn, for free engines, or for engines whose streams it does not disturb.
func (f *Fleet) divide(now time.Time, candidates []candidate, need int, s *Service, prompt Prompt) ([]candidate, *customer.Refusal) {
	read := s.Engine.ReadTime(prompt.Tokens)
	most := min(maxHelpers+1, len(candidates))
	wait := f.waitLocked(now, s.Name, prompt)
	if prompt.Waiter != nil {
		wait = prompt.Waiter.Wait
	}
	arriving := prompt.Waiter == nil && prompt.Waited <= prompt.Aim/arrivalShare
	if arriving && f.infeasible(now, &wait, candidates, need, s, prompt) {
		return nil, refuseLate(prompt)
	}
	if now.After(wait.StartBy) {
		return f.late(now, &wait, candidates, read, need, most, prompt)
	}
	if f.precededLocked(&wait, now) {
		return nil, errWait
	}
	least := min(int((read+longPart-1)/longPart), most)
	longest := longestPart
	if !f.othersWaitLocked(&wait) {
		longest = forcedPart
	}
	for n := least; n >= 1; n-- {
		part := read / time.Duration(n)
		if part > longest && n < most {
			break
		}
		free := f.free(candidates, part)
		if len(free) < n || !fits(free[:n], need) {
			continue
		}
		// Fewer engines read longer parts, and a prompt that they would make late does better to wait for more.
		if prompt.Waited+free[n-1].finish(part) > prompt.Aim {
			break
		}
		return free[:n], nil
	}
	slack := wait.StartBy.Sub(now) + prompt.Waited
	if prompt.Waited < time.Duration(smallPartsShare*float64(slack)) {
		return nil, errWait
	}
	for n := least + 1; n <= most; n++ {
		if chosen := f.split(candidates, read, need, n); chosen != nil {
			return chosen, nil
		}
	}
	return nil, errWait
}

// split returns n free engines that read a prompt in even parts without disturbing a stream, or nil.
func (f *Fleet) split(candidates []candidate, read time.Duration, need, n int) []candidate {
	free := f.free(candidates, read/time.Duration(n))
	if len(free) < n || !fits(free[:n], need) {
		return nil
	}
	return free[:n]
}

// errWait is the refusal of a prompt that may find engines later.
var errWait = customer.Refuse(customer.ReasonQueueFull, "the engines are reading other prompts", customer.RetryAfter(retryFull))

// late returns engines for a prompt that cannot be in time any more. It lets those go first that can, takes engines whose
// streams it does not disturb, and after a while some where it disturbs a few.
func (f *Fleet) late(now time.Time, wait *Wait, candidates []candidate, read time.Duration, need, most int, prompt Prompt) ([]candidate, *customer.Refusal) {
	forced := prompt.Waited >= time.Duration(forceShare*float64(prompt.Limit))
	if !forced && !prompt.Returned && f.aheadLocked(wait, now) > 0 {
		return nil, refuseLate(prompt) // the engines do more for those that can still be in time
	}
	if forced || !f.precededLocked(wait, now) {
		if chosen := f.lateEngines(candidates, read, need, most); chosen != nil {
			return chosen, nil
		}
	}
	if !forced {
		return nil, errWait
	}
	chosen := f.leastDisruptive(candidates, read, need, most)
	if chosen == nil {
		return nil, errWait // as many engines as may read it lack the memory
	}
	if disturbed(chosen, read) <= mostDisturbed || prompt.Waited >= time.Duration(lastShare*float64(prompt.Limit)) {
		return chosen, nil
	}
	return nil, errWait
}

func refuseLate(prompt Prompt) *customer.Refusal {
	left := prompt.Limit - prompt.Waited
	return customer.Refuse(customer.ReasonDeadline, "the engines cannot read the prompt in time",
		customer.RetryAfter(time.Duration(returnShare*float64(left))))
}

// infeasible says whether a prompt that has just arrived cannot start in time, or soon enough where its caller came back: what
// goes before it and what is being read takes too long on the engines that long prompts may use. Such a prompt is refused at
// once, so that its caller does not wait for nothing.
func (f *Fleet) infeasible(now time.Time, wait *Wait, candidates []candidate, need int, s *Service, prompt Prompt) bool {
	small := passBudget(s)
	if prompt.Returned {
		small = 0 // late in any case, so it takes only engines where it disturbs nobody
	}
	work, capacity := time.Duration(0), 0.0
	open, strict := 0, 0
	for i := range candidates {
		c := &candidates[i]
		work += c.load.busy
		if c.nonDisruptive(longPart) {
			capacity += freeCapacity
			open++
		} else {
			capacity += strictCapacity
			strict++
		}
	}
	ahead := f.aheadLocked(wait, now)
	work += ahead
	if ahead == 0 {
		for n := min(int((wait.Read+longPart-1)/longPart), maxHelpers+1); n >= 1 && wait.Read/time.Duration(n) <= forcedPart; n-- {
			if f.split(candidates, wait.Read, need, n) != nil {
				return false
			}
		}
	}
	queue := time.Duration(float64(work) / capacity)
	openPart := longestPart
	if queue <= idleQueue {
		openPart = forcedPart
	}
	if wait.Read > time.Duration(open)*openPart+time.Duration(strict)*small {
		return true
	}
	if prompt.Returned {
		return queue > idleQueue
	}
	slack := wait.StartBy.Sub(now)
	if ahead > 0 {
		slack = time.Duration(contendedShare * float64(slack))
	}
	return queue > slack
}

// disturbed counts the streams that pause for too long where the engines read a prompt.
func disturbed(chosen []candidate, read time.Duration) int {
	n := 0
	for i := range chosen {
		if c := &chosen[i]; !c.nonDisruptive(read / time.Duration(len(chosen))) {
			n += c.load.strict
		}
	}
	return n
}

// free returns the engines that read nothing and that a read of that length does not disturb, the idlest ones first.
func (f *Fleet) free(candidates []candidate, part time.Duration) []candidate {
	var free []candidate
	for _, c := range candidates {
		if c.load.busy <= idleBusy && c.m.health.failures < failureWeight && c.nonDisruptive(part) {
			c.score = c.load.busy + time.Duration(c.load.running)*time.Millisecond + time.Duration(f.random()*float64(jitter))
			free = append(free, c)
		}
	}
	slices.SortFunc(free, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
	return free
}

// lateEngines returns engines that a late prompt does not disturb, whatever they read, as few as it needs.
func (f *Fleet) lateEngines(candidates []candidate, read time.Duration, need, most int) []candidate {
	for n := min(int((read+longestPart-1)/longestPart), most); n >= 1; n-- {
		part := read / time.Duration(n)
		var calm []candidate
		for _, c := range candidates {
			if c.nonDisruptive(part) {
				c.score = c.load.busy + time.Duration(c.m.health.failures*float64(failurePenalty))
				calm = append(calm, c)
			}
		}
		if len(calm) < n {
			continue
		}
		slices.SortFunc(calm, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
		if fits(calm[:n], need) {
			return calm[:n]
		}
	}
	return nil
}

// leastDisruptive returns engines for a prompt that cannot wait any longer.
func (f *Fleet) leastDisruptive(candidates []candidate, read time.Duration, need, most int) []candidate {
	n := min(int((read+forcedPart-1)/forcedPart), most)
	part := read / time.Duration(n)
	for i := range candidates {
		candidates[i].score = f.score(&candidates[i], part)
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
	for ; n <= most; n++ {
		if fits(candidates[:n], need) {
			return candidates[:n]
		}
	}
	// The best engines lack room, but all together have it: the ones with the most memory are taken.
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.free, a.free) })
	if fits(candidates[:most], need) {
		return candidates[:most]
	}
	return nil
}

package endpoint

import (
	"cmp"
	"slices"
	"time"

	"goldcrestpath/customer"
)

// Bounds of the division of long prompts into segments.
const (
	preferredSegment = 300 * time.Millisecond // prefill time of one segment if enough engines are free
	// longestSegment bounds a segment if few engines are free. Short prompts that find no other engine wait until it ends.
	longestSegment = 600 * time.Millisecond
	// maxFreeBacklog is the largest backlog of an engine that counts as free. Engines prefill the segments that they help with
	// before their own prompts, so a prompt sent to a busy engine can wait for a long time.
	maxFreeBacklog = 40 * time.Millisecond
	// smallSegmentsShare is the share of the time from arrival to latest start for which a prompt waits for engines without streams that
	// accept only short token gaps. After that, it is prefilled in small segments that fit between the events of such streams.
	smallSegmentsShare = 0.4
	// forceShare is the share of its time limit after which a late prompt may disturb streams, up to maxDisturbed of them.
	forceShare   = 0.35
	maxDisturbed = 16
	// forcedSegment is the segment length for a prompt that may disturb streams: fewer engines with longer segments disturb fewer
	// streams.
	forcedSegment = 1500 * time.Millisecond
	// idleQueueWait is the longest predicted wait at which the engines count as idle. Only then are longer segments used, and
	// prompts accepted that are late in any case because their callers come back after a refusal.
	idleQueueWait = 200 * time.Millisecond
	// arrivalDivisor gives the fraction 1/arrivalDivisor of its TTFT target within which a prompt counts as arriving. Only an
	// arriving prompt is refused as infeasible.
	arrivalDivisor = 8
	// lateWaitShare is the share of its time limit for which a late prompt waits before it may disturb any number of streams.
	lateWaitShare = 0.5
	// freeCapacity and strictCapacity are the shares of an engine's time available to long prompts on an engine without and with
	// streams that accept only short token gaps.
	freeCapacity   = 0.8
	strictCapacity = 0.25
	// contendedShare is the share of the time to its latest start that a prompt's predicted wait may take if other prompts
	// precede it. Shorter prompts that arrive meanwhile precede it too.
	contendedShare = 0.5
	// retryAfterShare is the share of the remaining time after which a refused prompt should be sent again. Callers wait for at
	// most a third of the remaining time.
	retryAfterShare = 0.33
)

// selectForLong returns the engines that prefill a long prompt in equal segments. It returns a refusal if the prompt should wait
// for its turn, for free engines or for engines whose streams it does not disturb, or if it cannot meet its target.
func (f *Fleet) selectForLong(now time.Time, candidates []candidate, need int, s *Service, prompt Prompt) ([]candidate, *customer.Refusal) {
	prefill := s.Engine.PrefillTime(prompt.Tokens)
	maxEngines := min(maxHelpers+1, len(candidates))
	wait := f.newWaitLocked(now, s.Name, prompt)
	if prompt.Waiter != nil {
		wait = prompt.Waiter.WaitingPrompt
	}
	arriving := prompt.Waiter == nil && prompt.Waited <= prompt.TTFTTarget/arrivalDivisor
	if arriving && f.infeasible(now, &wait, candidates, need, s, prompt) {
		return nil, refuseLate(prompt)
	}
	if now.After(wait.StartBy) {
		return f.selectForLate(now, &wait, candidates, prefill, need, maxEngines, prompt)
	}
	if f.hasPrecedingLocked(&wait, now) {
		return nil, errWait
	}
	fewest := min(int((prefill+preferredSegment-1)/preferredSegment), maxEngines)
	longest := longestSegment
	if !f.anyOtherWaitingLocked(&wait) {
		longest = forcedSegment
	}
	for n := fewest; n >= 1; n-- {
		segment := prefill / time.Duration(n)
		if segment > longest && n < maxEngines {
			break
		}
		free := f.freeEngines(candidates, segment)
		if len(free) < n || !fits(free[:n], need) {
			continue
		}
		// Fewer engines have longer segments. If those would miss the target, the prompt waits for more engines.
		if prompt.Waited+free[n-1].expectedTTFT(segment) > prompt.TTFTTarget {
			break
		}
		return free[:n], nil
	}
	slack := wait.StartBy.Sub(now) + prompt.Waited
	if prompt.Waited < time.Duration(smallSegmentsShare*float64(slack)) {
		return nil, errWait
	}
	for n := fewest + 1; n <= maxEngines; n++ {
		if chosen := f.selectFree(candidates, prefill, need, n); chosen != nil {
			return chosen, nil
		}
	}
	return nil, errWait
}

// selectFree returns n free engines that prefill a prompt in equal segments without disturbing a stream, or nil.
func (f *Fleet) selectFree(candidates []candidate, prefill time.Duration, need, n int) []candidate {
	free := f.freeEngines(candidates, prefill/time.Duration(n))
	if len(free) < n || !fits(free[:n], need) {
		return nil
	}
	return free[:n]
}

// errWait refuses a prompt that may find engines later, so that it waits.
var errWait = customer.Refuse(customer.ReasonQueueFull, "the engines are busy with other prompts", customer.RetryAfter(retryFull))

// selectForLate returns engines for a prompt that can no longer meet its TTFT target. It gives precedence to prompts that still
// can. It uses engines whose streams it does not disturb and, once forceShare of the prompt's time limit has passed, engines where
// it disturbs the fewest streams.
func (f *Fleet) selectForLate(now time.Time, wait *WaitingPrompt, candidates []candidate, prefill time.Duration, need, maxEngines int, prompt Prompt) ([]candidate, *customer.Refusal) {
	forced := prompt.Waited >= time.Duration(forceShare*float64(prompt.TimeLimit))
	if !forced && !prompt.Retried && f.precedingPrefillLocked(wait, now) > 0 {
		return nil, refuseLate(prompt) // the engines are better used for prompts that can still meet their targets
	}
	if forced || !f.hasPrecedingLocked(wait, now) {
		if chosen := f.nonDisruptiveEngines(candidates, prefill, need, maxEngines); chosen != nil {
			return chosen, nil
		}
	}
	if !forced {
		return nil, errWait
	}
	chosen := f.leastDisruptiveEngines(candidates, prefill, need, maxEngines)
	if chosen == nil {
		return nil, errWait // the engines that one prompt may use lack the memory
	}
	if disturbedStreams(chosen, prefill) <= maxDisturbed || prompt.Waited >= time.Duration(lateWaitShare*float64(prompt.TimeLimit)) {
		return chosen, nil
	}
	return nil, errWait
}

// refuseLate returns the refusal of a prompt that cannot be prefilled in time, with a retry time in proportion to the time
// left.
func refuseLate(prompt Prompt) *customer.Refusal {
	left := prompt.TimeLimit - prompt.Waited
	return customer.Refuse(customer.ReasonDeadline, "the engines cannot prefill the prompt in time",
		customer.RetryAfter(time.Duration(retryAfterShare*float64(left))))
}

// infeasible reports whether a prompt that has just arrived cannot start by its latest start or, if its caller came back after a
// refusal, within idleQueueWait. This is so if the prompts that precede it and the prefills in progress take too long on the
// engines available to long prompts. Such a prompt is refused at once, so that its caller does not wait in vain.
func (f *Fleet) infeasible(now time.Time, wait *WaitingPrompt, candidates []candidate, need int, s *Service, prompt Prompt) bool {
	smallSegment := stepBudget(s)
	if prompt.Retried {
		smallSegment = 0 // late in any case, so it uses only engines where it disturbs no stream
	}
	work, capacity := time.Duration(0), 0.0
	openEngines, strictEngines := 0, 0
	for i := range candidates {
		c := &candidates[i]
		work += c.load.backlog
		if c.nonDisruptive(preferredSegment) {
			capacity += freeCapacity
			openEngines++
		} else {
			capacity += strictCapacity
			strictEngines++
		}
	}
	preceding := f.precedingPrefillLocked(wait, now)
	work += preceding
	if preceding == 0 {
		for n := min(int((wait.Prefill+preferredSegment-1)/preferredSegment), maxHelpers+1); n >= 1 && wait.Prefill/time.Duration(n) <= forcedSegment; n-- {
			if f.selectFree(candidates, wait.Prefill, need, n) != nil {
				return false
			}
		}
	}
	queueWait := time.Duration(float64(work) / capacity)
	openSegment := longestSegment
	if queueWait <= idleQueueWait {
		openSegment = forcedSegment
	}
	if wait.Prefill > time.Duration(openEngines)*openSegment+time.Duration(strictEngines)*smallSegment {
		return true
	}
	if prompt.Retried {
		return queueWait > idleQueueWait
	}
	slack := wait.StartBy.Sub(now)
	if preceding > 0 {
		slack = time.Duration(contendedShare * float64(slack))
	}
	return queueWait > slack
}

// disturbedStreams returns the number of streams whose token gap becomes too long if the engines prefill a prompt in equal
// segments.
func disturbedStreams(chosen []candidate, prefill time.Duration) int {
	n := 0
	for i := range chosen {
		if c := &chosen[i]; !c.nonDisruptive(prefill / time.Duration(len(chosen))) {
			n += c.load.strictStreams
		}
	}
	return n
}

// freeEngines returns the free engines whose streams a prefill of one segment does not disturb, in order of increasing load.
func (f *Fleet) freeEngines(candidates []candidate, segment time.Duration) []candidate {
	var free []candidate
	for _, c := range candidates {
		if c.load.backlog <= maxFreeBacklog && c.m.health.failures < failureWeight && c.nonDisruptive(segment) {
			c.score = c.load.backlog + time.Duration(c.load.running)*time.Millisecond + time.Duration(f.random()*float64(jitter))
			free = append(free, c)
		}
	}
	slices.SortFunc(free, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
	return free
}

// nonDisruptiveEngines returns the fewest engines, busy or free, that prefill a late prompt without disturbing a stream, or nil.
func (f *Fleet) nonDisruptiveEngines(candidates []candidate, prefill time.Duration, need, maxEngines int) []candidate {
	for n := min(int((prefill+longestSegment-1)/longestSegment), maxEngines); n >= 1; n-- {
		segment := prefill / time.Duration(n)
		var undisturbed []candidate
		for _, c := range candidates {
			if c.nonDisruptive(segment) {
				c.score = c.load.backlog + time.Duration(c.m.health.failures*float64(failurePenalty))
				undisturbed = append(undisturbed, c)
			}
		}
		if len(undisturbed) < n {
			continue
		}
		slices.SortFunc(undisturbed, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
		if fits(undisturbed[:n], need) {
			return undisturbed[:n]
		}
	}
	return nil
}

// leastDisruptiveEngines returns the engines with the best scores for a prompt that cannot wait any longer, or nil if the engines
// that one prompt may use lack the memory.
func (f *Fleet) leastDisruptiveEngines(candidates []candidate, prefill time.Duration, need, maxEngines int) []candidate {
	n := min(int((prefill+forcedSegment-1)/forcedSegment), maxEngines)
	segment := prefill / time.Duration(n)
	for i := range candidates {
		candidates[i].score = f.score(&candidates[i], segment)
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
	for ; n <= maxEngines; n++ {
		if fits(candidates[:n], need) {
			return candidates[:n]
		}
	}
	// The engines with the best scores lack memory, so the ones with the most free memory are tried.
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.freeTokens, a.freeTokens) })
	if fits(candidates[:maxEngines], need) {
		return candidates[:maxEngines]
	}
	return nil
}

package endpoint

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"goldcrestpath/customer"
)

// Parameters of the division of long prompts into segments.
const (
	preferredSegment = 300 * time.Millisecond // prefill time of one segment if enough engines are free
	// longestSegment bounds a segment if few engines are free. Short prompts that find no other engine wait until the segment
	// ends.
	longestSegment = 600 * time.Millisecond
	// finalShare is the share of the time from arrival to latest start at the end of which a prompt accepts segments of up to finalSegment.
	// One that does not start by then is usually refused.
	finalShare   = 0.3
	finalSegment = time.Second
	// maxFreeBacklog is the largest backlog of an engine that counts as free. Engines prefill the segments that they help with
	// before their own prompts, so a prompt sent to a busy engine can wait for a long time.
	maxFreeBacklog = 40 * time.Millisecond
	// smallSegmentsShare is the share of the time from arrival to latest start for which a prompt waits for engines without
	// streams that accept only short token gaps. After that, it is prefilled in small segments that fit between the events of such
	// streams.
	smallSegmentsShare = 0.4
	// forceShare is the share of a late prompt's time limit after which the prompt may disturb streams, up to maxDisturbed of them.
	forceShare   = 0.35
	maxDisturbed = 16
	// forcedSegment is the segment length for a prompt that may disturb streams: fewer engines with longer segments disturb fewer
	// streams. It also bounds the segments of a prompt while no other prompt waits.
	forcedSegment = 1500 * time.Millisecond
	// idleQueueWait is the longest predicted wait at which the engines count as idle. Only idle engines accept segments of up to
	// forcedSegment.
	idleQueueWait = 200 * time.Millisecond
	// arrivalDivisor defines when a prompt counts as arriving: during the first 1/arrivalDivisor of its TTFT target. Only an
	// arriving prompt is refused as infeasible.
	arrivalDivisor = 8
	// lateWaitShare is the share of a late prompt's time limit after which the prompt may disturb any number of streams.
	lateWaitShare = 0.5
	// relaxedCapacity and strictCapacity are the shares of an engine's time that are available to long prompts: relaxedCapacity on
	// an engine without streams that accept only short token gaps, strictCapacity on an engine with such streams.
	relaxedCapacity = 0.8
	strictCapacity  = 0.25
	// retriedWaitShare is the share of its time limit that a prompt may be predicted to wait whose caller came back after a refusal. It
	// is late in any case, and many callers come back only once.
	retriedWaitShare = 0.2
	// laggingWaitShare replaces retriedWaitShare for prompts whose size lags.
	laggingWaitShare = 0.4
	// retryAfterShare is the share of the remaining time after which the caller of a refused prompt should send it again. Callers
	// wait for at most a third of the remaining time.
	retryAfterShare = 0.33
)

// selectForLong returns the engines of a cell that prefill a long prompt in equal segments. It returns errWait if the prompt should wait for
// preceding prompts, for free engines or for engines whose streams it does not disturb, and another refusal if the prompt cannot
// meet its target. neededTokens is the size of the KV cache that the request needs.
func (f *Fleet) selectForLong(now time.Time, c Cell, candidates []candidate, neededTokens int, s *Service, prompt Prompt) ([]candidate, *customer.Refusal) {
	prefill := s.Engine.PrefillTime(prompt.Tokens)
	maxEngines := min(maxHelpers+1, len(candidates))
	wait := f.newWaitingPromptLocked(now, s.Name, c, prompt)
	if prompt.Waiter != nil {
		wait = prompt.Waiter.WaitingPrompt
		wait.Queue = queueKey(s.Name, c)
		if lags := f.gainsPlaceLocked(now, s, prompt, prefill); lags != wait.Lags {
			wait.Lags, prompt.Waiter.Lags = lags, lags
			f.waitingPromptsChanged = true
			f.signalStateChangedLocked()
		}
	}
	arriving := prompt.Waiter == nil && prompt.Waited <= prompt.TTFTTarget/arrivalDivisor
	if arriving {
		if o := f.outlook(now, &wait, candidates, neededTokens, s, prompt); !o.feasible {
			return nil, refuseLate(prompt, o.String())
		}
	}
	if now.After(wait.StartBy) {
		if prompt.Waiter != nil {
			prompt.Waiter.tries.Late++
		}
		return f.selectForLate(now, &wait, candidates, prefill, neededTokens, maxEngines, s, prompt)
	}
	if f.hasPrecedingLocked(&wait, now, s) {
		if prompt.givesWay {
			if chosen := f.betweenEvents(now, &wait, candidates, neededTokens, s); chosen != nil {
				return chosen, nil
			}
		}
		if prompt.Waiter != nil {
			prompt.Waiter.tries.Preceded++
		}
		return nil, errWait
	}
	preferredEngines := min(int((prefill+preferredSegment-1)/preferredSegment), maxEngines)
	maxSegment := longestSegment
	if prompt.givesWay || !f.anyOtherWaitingLocked(&wait) {
		maxSegment = forcedSegment
	} else if wait.StartBy.Sub(now) < time.Duration(finalShare*float64(wait.StartWithin)) {
		maxSegment = finalSegment
	}
	// Segments of up to preferredSegment are tried first, then longer segments on fewer engines.
	for n := preferredEngines; n >= 1; n-- {
		segment := prefill / time.Duration(n)
		if segment > maxSegment && n < maxEngines {
			break
		}
		free := f.freeEngines(candidates, segment, n, s)
		if len(free) < n || !fits(free[:n], neededTokens) {
			continue
		}
		// Fewer engines have longer segments. If those would miss the target, the prompt waits for more engines.
		if prompt.Waited+free[n-1].expectedTTFT(segment) > prompt.TTFTTarget {
			break
		}
		return free[:n], nil
	}
	startWithin := wait.StartBy.Sub(now) + prompt.Waited
	if !prompt.givesWay && prompt.Waited < time.Duration(smallSegmentsShare*float64(startWithin)) {
		prompt.Waiter.recordFewFree(candidates, prefill/time.Duration(maxEngines))
		return nil, errWait
	}
	// Smaller segments on more engines can fit between the events of streams that accept only short token gaps.
	for n := preferredEngines + 1; n <= maxEngines; n++ {
		if chosen := f.selectFree(candidates, prefill, neededTokens, n, s); chosen != nil {
			return chosen, nil
		}
	}
	prompt.Waiter.recordFewFree(candidates, prefill/time.Duration(maxEngines))
	return nil, errWait
}

// selectFree returns n free engines that prefill a prompt in equal segments without disturbing a stream, or nil.
func (f *Fleet) selectFree(candidates []candidate, prefill time.Duration, neededTokens, n int, s *Service) []candidate {
	free := f.freeEngines(candidates, prefill/time.Duration(n), n, s)
	if len(free) < n || !fits(free[:n], neededTokens) {
		return nil
	}
	return free[:n]
}

// errWait is the refusal of a prompt that should wait, because it may find engines later.
var errWait = customer.Refuse(customer.ReasonQueueFull, "the engines are busy with other prompts", customer.RetryAfter(retryFull))

// selectForLate returns engines for a prompt that can no longer meet its TTFT target. Until forceShare of the prompt's time limit
// has passed, the prompt lets those precede that can still meet their targets, and uses only engines whose streams it does not
// disturb. After that, it may also use engines where it disturbs the fewest streams. A prompt whose size lags waits beside the others until
// then instead of being refused for them, but disturbs no stream unless an attempt was interrupted. A prompt of a customer that exceeds its share is refused.
func (f *Fleet) selectForLate(now time.Time, wait *WaitingPrompt, candidates []candidate, prefill time.Duration, neededTokens, maxEngines int, s *Service, prompt Prompt) ([]candidate, *customer.Refusal) {
	if prompt.exceeds {
		return nil, refuseLate(prompt, "its target is missed")
	}
	forced := prompt.Waited >= time.Duration(forceShare*float64(prompt.TimeLimit))
	size := f.promptSizeLocked(now, s, prompt.TTFTTarget, wait.Prefill)
	lags := size.Lags() && !prompt.Interrupted
	if lags && forced {
		return nil, refuseLate(prompt, "its target is missed"+size.suffix())
	}
	if !forced && !prompt.Retried && !lags {
		// The engines are left to prompts that can still meet their targets.
		if preceding := f.precedingPrefillLocked(wait, now, s); preceding > 0 {
			return nil, refuseLate(prompt, fmt.Sprintf("its target is missed, and waiting prompts with %v of prefill precede it%s", preceding.Round(time.Millisecond), size.suffix()))
		}
	}
	if forced || !f.hasPrecedingLocked(wait, now, s) {
		if chosen := f.nonDisruptiveEngines(candidates, prefill, neededTokens, maxEngines); chosen != nil {
			return chosen, nil
		}
	}
	if !forced {
		return nil, errWait
	}
	if prompt.givesWay {
		// While capacity is scarce, a late prompt that finds no such engine is refused after half of its time limit, which bounds its wait.
		candidates = withoutUrgentStreams(s, candidates)
		if maxEngines = min(maxEngines, len(candidates)); maxEngines == 0 {
			return nil, errWait
		}
	}
	chosen := f.leastDisruptiveEngines(candidates, prefill, neededTokens, maxEngines)
	if chosen == nil {
		return nil, errWait // the engines that one prompt may use have too little free memory
	}
	if disturbedStreams(chosen, prefill) <= maxDisturbed || prompt.Waited >= time.Duration(lateWaitShare*float64(prompt.TimeLimit)) {
		return chosen, nil
	}
	return nil, errWait
}

// refuseLate returns the refusal of a prompt that cannot be prefilled in time, for the given cause. Its retry time is proportional to the
// time left until the prompt's time limit.
func refuseLate(prompt Prompt, cause string) *customer.Refusal {
	left := prompt.TimeLimit - prompt.Waited
	return customer.Refuse(customer.ReasonDeadline, "the engines cannot prefill the prompt in time: "+cause,
		customer.RetryAfter(time.Duration(retryAfterShare*float64(left))))
}

// outlook is the prediction for a prompt that has just arrived.
type outlook struct {
	feasible                      bool
	prefill                       time.Duration // prefill time of the prompt on one engine
	preceding                     time.Duration // total prefill time of the waiting prompts that precede it
	queueWait                     time.Duration // predicted wait for them and for the prefills in progress
	longestWait                   time.Duration // longest wait at which the prompt is accepted
	relaxedEngines, strictEngines int           // engines without and with streams that accept only short token gaps
	retried                       bool
	size                          SizeShare
}

// String returns the figures of the prediction for logs.
func (o *outlook) String() string {
	round := func(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
	return fmt.Sprintf("prefill %v, predicted wait %v of at most %v, %v of it for waiting prompts, on %d relaxed and %d strict engines, retried %t%s",
		round(o.prefill), round(o.queueWait), round(o.longestWait), round(o.preceding), o.relaxedEngines, o.strictEngines, o.retried, o.size.suffix())
}

// outlook predicts whether a prompt that has just arrived can start by its latest start or, if its caller came back after a refusal,
// within retriedWaitShare or laggingWaitShare of its time limit. It cannot if the prompts that precede it and the prefills in progress take too long on
// the engines available to long prompts, or if its segments would be too long. Such a prompt is refused at once, so that its caller
// does not wait in vain.
func (f *Fleet) outlook(now time.Time, wait *WaitingPrompt, candidates []candidate, neededTokens int, s *Service, prompt Prompt) outlook {
	o := outlook{prefill: wait.Prefill, preceding: f.unavoidablePrefillLocked(wait, now, s), longestWait: wait.StartBy.Sub(now), retried: prompt.Retried}
	o.size = f.promptSizeLocked(now, s, prompt.TTFTTarget, wait.Prefill)
	strictSegment := stepBudget(s)
	if prompt.Retried {
		strictSegment = 0 // late in any case, so it uses only engines where it disturbs no stream
		waitShare := retriedWaitShare
		if o.size.Lags() {
			waitShare = laggingWaitShare
		}
		o.longestWait = time.Duration(waitShare * float64(prompt.TimeLimit))
	}
	queuedTime, capacity := o.preceding, 0.0
	for i := range candidates {
		c := &candidates[i]
		queuedTime += c.load.backlog
		if c.nonDisruptive(preferredSegment) {
			capacity += relaxedCapacity
			o.relaxedEngines++
		} else {
			capacity += strictCapacity
			o.strictEngines++
		}
	}
	o.queueWait = time.Duration(float64(queuedTime) / capacity)
	if prompt.givesWay && f.betweenEvents(now, wait, candidates, neededTokens, s) != nil {
		o.feasible = true
		return o
	}
	if o.preceding == 0 {
		// Engines that are free now suffice, whatever the load on the others is.
		most := int((o.prefill + preferredSegment - 1) / preferredSegment)
		if prompt.givesWay {
			most = len(candidates) // small segments fit between the events of urgent streams
		}
		for n := min(most, maxHelpers+1); n >= 1 && o.prefill/time.Duration(n) <= forcedSegment; n-- {
			if f.selectFree(candidates, o.prefill, neededTokens, n, s) != nil {
				o.feasible = true
				return o
			}
		}
	}
	relaxedSegment := longestSegment
	if prompt.givesWay || o.queueWait <= idleQueueWait {
		relaxedSegment = forcedSegment
	}
	if o.relaxedEngines > maxHelpers {
		// No more engines than these can prefill one prompt, so the segments of the longest prompts are longer however many are free.
		relaxedSegment = max(relaxedSegment, o.prefill/(maxHelpers+1))
	}
	available := time.Duration(o.relaxedEngines)*relaxedSegment + time.Duration(o.strictEngines)*strictSegment
	o.feasible = o.prefill <= available && o.queueWait <= o.longestWait
	return o
}

// disturbedStreams returns the number of streams whose token gap exceeds the accepted one if the engines prefill a prompt in equal
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

// free reports whether the engine has hardly any prefill to do, is healthy and can prefill a segment without disturbing a stream.
func (c *candidate) free(segment time.Duration) bool {
	return c.load.backlog <= maxFreeBacklog && c.member.health.failureRate < failureWeight && c.nonDisruptive(segment)
}

// freeEngines returns the free and healthy engines whose streams a prefill of one segment does not disturb, in order of increasing
// load. n is how many of them the prompt needs; see sortByDataCentre.
func (f *Fleet) freeEngines(candidates []candidate, segment time.Duration, n int, s *Service) []candidate {
	var free []candidate
	for _, c := range candidates {
		if c.free(segment) {
			c.score = c.load.backlog + time.Duration(c.load.running)*time.Millisecond + time.Duration(f.random()*float64(jitter))
			free = append(free, c)
		}
	}
	if f.weighs(s) && n > 1 {
		f.sortByDataCentre(free, n, s)
		return free
	}
	slices.SortFunc(free, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
	return free
}

// nonDisruptiveEngines returns engines, busy or free, that prefill a late prompt without disturbing a stream, or nil. It uses as
// many engines as segments of longestSegment require, or else fewer engines with longer segments.
func (f *Fleet) nonDisruptiveEngines(candidates []candidate, prefill time.Duration, neededTokens, maxEngines int) []candidate {
	for n := min(int((prefill+longestSegment-1)/longestSegment), maxEngines); n >= 1; n-- {
		segment := prefill / time.Duration(n)
		var undisturbed []candidate
		for _, c := range candidates {
			if c.nonDisruptive(segment) {
				c.score = c.load.backlog + time.Duration(c.member.health.failureRate*float64(failurePenalty))
				undisturbed = append(undisturbed, c)
			}
		}
		if len(undisturbed) < n {
			continue
		}
		slices.SortFunc(undisturbed, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
		if fits(undisturbed[:n], neededTokens) {
			return undisturbed[:n]
		}
	}
	return nil
}

// leastDisruptiveEngines returns the engines with the best scores for a prompt that cannot wait any longer, or nil if the engines
// that one prompt may use have too little free memory.
func (f *Fleet) leastDisruptiveEngines(candidates []candidate, prefill time.Duration, neededTokens, maxEngines int) []candidate {
	n := min(int((prefill+forcedSegment-1)/forcedSegment), maxEngines)
	segment := prefill / time.Duration(n)
	for i := range candidates {
		candidates[i].score = f.score(&candidates[i], segment)
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
	for ; n <= maxEngines; n++ {
		if fits(candidates[:n], neededTokens) {
			return candidates[:n]
		}
	}
	// The engines with the best scores have too little free memory, so those with the most free memory are tried.
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.freeTokens, a.freeTokens) })
	if fits(candidates[:maxEngines], neededTokens) {
		return candidates[:maxEngines]
	}
	return nil
}

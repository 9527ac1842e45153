package forward

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/apex/log"

	"goldcrestpath/customer"
	"goldcrestpath/endpoint"
)

const (
	// soundAfter is how long an engine has to go on with an answer for the prompt to count as sound. A part that crashes engines does
	// so when the answer begins.
	soundAfter = 300 * time.Millisecond
	// endedProbeTimeout limits the connections that show whether an engine has ended.
	endedProbeTimeout = 3 * dialTimeout
)

// Trials grants trials: a single prompt with a quarantined part that is sent to show whether the part is sound. Of all VMs, at most one gets
// a trial.
type Trials interface {
	// TakeTrial asks for a trial and reports whether this VM has got it.
	TakeTrial(part endpoint.PromptPart) bool
	// Release ends the quarantine of a part after a trial was answered.
	Release(part endpoint.PromptPart)
}

// WithQuarantine sets the quarantine of parts of prompts, and who grants trials. Without it, no prompt is quarantined.
func WithQuarantine(quarantine *endpoint.Quarantine, trials Trials) Option {
	return func(h *Handler) { h.quarantine, h.trials = quarantine, trials }
}

// consideredParts returns the parts of a prompt that are considered: all, or the first and the last ones if there are more than
// MaxSharedParts.
func consideredParts(parts []endpoint.PromptPart) []endpoint.PromptPart {
	const half = MaxSharedParts / 2
	if len(parts) <= MaxSharedParts {
		return parts
	}
	return slices.Concat(parts[:half], parts[len(parts)-half:])
}

// checkParts returns a refusal if the prompt has a part in quarantine, unless the prompt is a trial. It is called before each send,
// because a part may be quarantined while the prompt waits or an attempt runs.
func (q *request) checkParts() *customer.Refusal {
	if q.h.quarantine == nil || len(q.call.SharedParts) == 0 {
		return nil
	}
	blocked := q.h.quarantine.Blocked(q.call.SharedParts)
	if len(blocked) == 0 {
		return nil
	}
	part := blocked[0]
	if q.trial && len(blocked) == 1 && part == q.trialPart && !q.mayHaveRun {
		return nil // the single send of a trial
	}
	wait, state, stillBlocked := q.h.quarantine.UntilTrial(time.Now(), part)
	switch {
	case !stillBlocked && len(blocked) == 1:
		return nil // released since
	case q.trial || q.mayHaveRun || len(blocked) > 1 || wait > 0:
	case q.h.trials.TakeTrial(part):
		q.trial, q.trialPart = true, part
		q.log().WithFields(log.Fields{"part": partName(part), "trials": state.Trials + 1}).Info("forward: a prompt with a quarantined part is let through as a trial")
		return nil
	}
	q.log().WithFields(log.Fields{"part": partName(part), "trials": state.Trials, "trialInMs": wait.Milliseconds()}).
		Info("forward: the prompt has a quarantined part")
	return customer.Refuse(customer.ReasonQuarantined, "engines ended under prompts that share a part with this one", customer.RetryAfter(max(wait, retryQuarantined)))
}

// retryQuarantined is the least time after which a caller may send a prompt with a quarantined part again.
const retryQuarantined = 5 * time.Second

// partName returns the form of a part in log lines.
func partName(part endpoint.PromptPart) string { return strconv.FormatUint(uint64(part), 16) }

// promptProgress follows one attempt of a prompt from the head of the answer on, which the engine sends when it begins to answer.
type promptProgress struct {
	q       *request
	beganAt time.Time // arrival of the head, zero before
	sound   bool
}

// began records the head of the answer.
func (p *promptProgress) began() { p.beganAt = time.Now() }

// goesOn records an event. Once the answer has gone on for soundAfter, or has ended, the prompt is sound.
func (p *promptProgress) goesOn(ended bool) {
	if p.sound || p.beganAt.IsZero() || p.q.h.quarantine == nil || !ended && time.Since(p.beganAt) < soundAfter {
		return
	}
	p.sound = true
	if len(p.q.call.SharedParts) == 0 {
		return
	}
	p.q.h.quarantine.ReportSound(p.beganAt, p.q.call.SharedParts)
	if p.q.trial {
		p.q.log().WithField("part", partName(p.q.trialPart)).Info("forward: the trial was answered; the part is released")
		p.q.h.trials.Release(p.q.trialPart)
	}
}

// brokeOff reports the prompt as suspect if the engine has ended. A connection to an engine that has ended is refused; other
// failures that break connections leave the engine accepting new ones.
func (p *promptProgress) brokeOff(target endpoint.Target) {
	h, call := p.q.h, p.q.call
	if p.sound || h.quarantine == nil || len(call.SharedParts) == 0 {
		return
	}
	s := endpoint.SuspectPrompt{Endpoint: endpoint.KeyOf(target.ID), EndedAt: time.Now(), Began: !p.beganAt.IsZero(), Parts: call.SharedParts}
	logger := p.q.log()
	h.inBackground(func() {
		ctx, cancel := context.WithTimeout(context.Background(), endedProbeTimeout)
		defer cancel()
		ended, err := h.hasEnded(ctx, target)
		if err == nil && !ended {
			return
		}
		if err != nil {
			logger.WithError(err).WithField("endpoint", target.ID).Debug("forward: not known whether the engine ended")
			return
		}
		names := make([]string, min(len(s.Parts), maxLoggedParts))
		for i := range names {
			names[i] = partName(s.Parts[i])
		}
		logger.WithFields(log.Fields{"endpoint": target.ID, "began": s.Began, "parts": names, "partCount": len(s.Parts)}).
			Info("forward: the engine ended under the prompt")
		h.quarantine.ReportEnd(s)
	})
}

// maxLoggedParts limits the parts in one log line.
const maxLoggedParts = 16

package standin

import (
	"time"
)

// backlog returns the pending prefill of all streams in tokens and the number of these streams.
func (e *Engine) backlog() (tokens, prompts int) {
	for _, s := range e.prefillQueue {
		tokens += s.pendingPrefill
	}
	return tokens, len(e.prefillQueue)
}

// countLeaks counts each reservation once if its holder had no running grouped stream on any peer for longer than LeakAfter.
func (e *Engine) countLeaks(now time.Time) {
	e.mu.Lock()
	n, peers := len(e.reservations), e.peers
	e.mu.Unlock()
	if n == 0 {
		return
	}
	holders := map[string]bool{}
	for _, p := range peers {
		p.mu.Lock()
		for _, s := range p.streams {
			if s.grouped && s.state == streamRunning {
				holders[s.holder] = true
			}
		}
		p.mu.Unlock()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.reservations {
		if holders[r.holder] {
			r.lastUsed = now
		} else if !r.leaked && now.Sub(r.lastUsed) > e.cfg.LeakAfter {
			r.leaked = true
			e.counters.Leaks++
		}
	}
}

// engineReport is a load report.
type engineReport struct {
	Instance       uint64           `json:"instance"`
	Sequence       uint64           `json:"sequence"`
	AgeMillis      int64            `json:"ageMillis"`
	Model          string           `json:"model"`
	Version        string           `json:"version"`
	Adapters       []string         `json:"adapters"`
	Role           string           `json:"role"`
	Cold           bool             `json:"cold"`
	KVTokens       int              `json:"kvTokens"`
	KVUsed         int              `json:"kvUsed"`
	Sequences      int              `json:"sequences"`
	Running        int              `json:"running"`
	Waiting        int              `json:"waiting"`
	PrefillBacklog int              `json:"prefillBacklog"`
	Streams        []reportedStream `json:"streams"`
}

// reportedStream is a running stream or a reservation in a load report.
type reportedStream struct {
	ID     string `json:"id"`
	Holder string `json:"holder"`
	Tokens int    `json:"tokens"`

	Reservation bool `json:"reservation,omitempty"`
}

// updateReport replaces the load report by a snapshot of the engine's present state.
func (e *Engine) updateReport(now time.Time) {
	r := engineReport{
		Instance: e.instance, Sequence: e.report.Sequence + 1, Model: e.model, Version: e.version,
		Adapters: append([]string{}, e.adapters...), Role: e.role, Cold: e.cold, KVTokens: e.cfg.KVTokens, KVUsed: e.usedTokens,
		Sequences: e.cfg.BatchSlots, Streams: []reportedStream{},
	}
	for id, s := range e.streams {
		if s.state != streamRunning {
			continue
		}
		if s.hasSlot {
			r.Running++
		} else {
			r.Waiting++
		}
		r.Streams = append(r.Streams, reportedStream{ID: id, Holder: s.holder, Tokens: s.reservedTokens})
	}
	for id, v := range e.reservations {
		r.Streams = append(r.Streams, reportedStream{ID: id, Holder: v.holder, Tokens: v.tokens, Reservation: true})
	}
	r.PrefillBacklog, _ = e.backlog()
	e.report, e.reportedAt = r, now
}

package endpoint

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"goldcrestpath/customer"
)

// Parameters of the shares by size.
const (
	// sizeWindow is the time constant with which earlier placements lose weight.
	sizeWindow = 30 * time.Second
	// forgetPlacements is the weight below which the placements of a class are forgotten.
	forgetPlacements = 0.05
	// sizesPerOctave is the number of classes into which a doubling of the prefill time is divided.
	sizesPerOctave = 2
	// maxSizeClasses bounds the classes with recent placements. Further ones are not tracked.
	maxSizeClasses = 512
	// minSizeShare is the part of the share of all prompts below which a class lags. The operators require one half, of the prompts between two
	// quantiles; the rest is margin for classes that are cut off elsewhere.
	minSizeShare = 0.7
)

// SizeClass is a group of long prompts that cost about the same. Prompts are compared with those of the same service and TTFT target.
type SizeClass struct {
	Service Key
	Target  time.Duration // TTFT target in whole milliseconds
	Size    int           // logarithm of the prefill time in seconds, in units of half an octave, rounded down
}

// MinPrefill returns the shortest prefill time of the class on one engine.
func (c SizeClass) MinPrefill() time.Duration {
	return time.Duration(math.Exp2(float64(c.Size)/sizesPerOctave) * float64(time.Second))
}

// Placement counts the prompts of a class that were placed on engines, and those that were refused because of the load. The return of a
// refused prompt that is placed then takes the refusal back, so Refused can be negative.
type Placement struct {
	Class           SizeClass
	Placed, Refused int
}

// SizeShare is the share of the prompts of a class that were placed, next to the share of all prompts with its service and target.
// Earlier prompts count for less, with a time constant of 30 s.
type SizeShare struct {
	Class    SizeClass
	Prompts  float64
	Share    float64
	ShareAll float64
}

// Lags reports whether prompts of the class are placed too rarely.
func (s *SizeShare) Lags() bool {
	return s.Share < minSizeShare*s.ShareAll
}

// suffix returns the shares as the last part of the cause of a refusal, or "" without placements.
func (s *SizeShare) suffix() string {
	if s.Prompts == 0 {
		return ""
	}
	return fmt.Sprintf("; %.2f of %.1f prompts of its size were placed, %.2f of all", s.Share, s.Prompts, s.ShareAll)
}

// placements are the weighted placements of a class.
type placements struct {
	placed, refused float64
	at              time.Time // time for which the weights hold
}

// decay reduces the weights to those that hold at now.
func (c *placements) decay(now time.Time) {
	if d := now.Sub(c.at); d > 0 {
		weight := math.Exp(-float64(d) / float64(sizeWindow))
		c.placed, c.refused, c.at = c.placed*weight, c.refused*weight, now
	}
}

// sizes is a fleet's knowledge of placements by size. It is part of Fleet and guarded by its mutex.
type sizes struct {
	recent map[SizeClass]*placements // by all VMs of the cell
	unsent map[SizeClass]Placement   // by this VM, not reported to peers yet
}

// newSizes returns sizes without placements.
func newSizes() sizes {
	return sizes{recent: map[SizeClass]*placements{}, unsent: map[SizeClass]Placement{}}
}

// sizeClass returns the class of a prompt. ok is false for prompts that are too short to wait for engines.
func sizeClass(service string, target, prefill time.Duration) (class SizeClass, ok bool) {
	if prefill <= preferredSegment {
		return SizeClass{}, false
	}
	size := int(math.Floor(sizesPerOctave * math.Log2(prefill.Seconds())))
	return SizeClass{Service: KeyOf(service), Target: target.Truncate(time.Millisecond), Size: size}, true
}

// RecordPlacement records that engines were selected for a prompt if refusal is nil, or else the refusal. A refusal counts only if it is
// due to the load, and only the first one of a prompt.
func (f *Fleet) RecordPlacement(now time.Time, service string, prompt Prompt, refusal *customer.Refusal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.services[service]
	if s == nil || s.Engine == nil {
		return
	}
	class, ok := sizeClass(service, prompt.TTFTTarget, s.Engine.PrefillTime(prompt.Tokens))
	if !ok {
		return
	}
	p := Placement{Class: class}
	switch {
	case refusal == nil && prompt.Retried:
		p.Placed, p.Refused = 1, -1
	case refusal == nil:
		p.Placed = 1
	case !prompt.Retried && (refusal.Reason() == customer.ReasonDeadline || refusal.Reason() == customer.ReasonQueueFull):
		p.Refused = 1
	default:
		return
	}
	f.addPlacementLocked(now, p)
	unsent := f.sizes.unsent[class]
	f.sizes.unsent[class] = Placement{Class: class, Placed: unsent.Placed + p.Placed, Refused: unsent.Refused + p.Refused}
	f.signalStateChangedLocked()
}

// addPlacementLocked adds a report to the placements of its class.
func (f *Fleet) addPlacementLocked(now time.Time, p Placement) {
	c := f.sizes.recent[p.Class]
	if c == nil {
		if len(f.sizes.recent) >= maxSizeClasses {
			return
		}
		c = &placements{at: now}
		f.sizes.recent[p.Class] = c
	}
	c.decay(now)
	c.placed = max(c.placed+float64(p.Placed), 0)
	c.refused = max(c.refused+float64(p.Refused), 0)
}

// TakePlacements returns the placements by this VM since the last call.
func (f *Fleet) TakePlacements() []Placement {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Placement
	for _, p := range f.sizes.unsent {
		out = append(out, p)
	}
	clear(f.sizes.unsent)
	return out
}

// MergePlacements adds placements that a peer reported. Each report must be merged once; a lost one is missing from the shares.
func (f *Fleet) MergePlacements(now time.Time, reports []Placement) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range reports {
		f.addPlacementLocked(now, p)
	}
}

// SizeShares returns the shares of all classes with recent placements, by service, target and size.
func (f *Fleet) SizeShares(now time.Time) []SizeShare {
	f.mu.Lock()
	defer f.mu.Unlock()
	var shares []SizeShare
	for class, c := range f.sizes.recent {
		if c.decay(now); c.placed+c.refused < forgetPlacements {
			delete(f.sizes.recent, class)
			continue
		}
		shares = append(shares, f.sizeShareLocked(now, class))
	}
	slices.SortFunc(shares, func(a, b SizeShare) int {
		return cmp.Or(cmp.Compare(a.Class.Service, b.Class.Service), cmp.Compare(a.Class.Target, b.Class.Target), cmp.Compare(a.Class.Size, b.Class.Size))
	})
	return shares
}

// sizeShareLocked returns the share of a class. Both shares are 1 without placements.
func (f *Fleet) sizeShareLocked(now time.Time, class SizeClass) SizeShare {
	s := SizeShare{Class: class, Share: 1, ShareAll: 1}
	var placed, refused float64
	for other, c := range f.sizes.recent {
		if other.Service != class.Service || other.Target != class.Target {
			continue
		}
		c.decay(now)
		placed += c.placed
		refused += c.refused
		if n := c.placed + c.refused; other == class && n > 0 {
			s.Prompts, s.Share = n, c.placed/n
		}
	}
	if n := placed + refused; n > 0 {
		s.ShareAll = placed / n
	}
	return s
}

// promptSizeLocked returns the share of the prompts that are about as long as a prompt with that target and prefill time.
func (f *Fleet) promptSizeLocked(now time.Time, s *Service, target, prefill time.Duration) SizeShare {
	class, ok := sizeClass(s.Name, target, prefill)
	if !ok {
		return SizeShare{Share: 1, ShareAll: 1}
	}
	return f.sizeShareLocked(now, class)
}

// ServiceName returns the name of a configured service, or "" if the key is that of no configured one.
func (f *Fleet) ServiceName(key Key) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name := range f.services {
		if KeyOf(name) == key {
			return name
		}
	}
	return ""
}

// gainsPlaceLocked reports whether a prompt of a size that lags gains from an earlier place in the order of waiting prompts. One whose
// segments disturb even streams like its own needs engines without any, and would keep the others waiting for them.
func (f *Fleet) gainsPlaceLocked(now time.Time, s *Service, p Prompt, prefill time.Duration) bool {
	step := s.Engine.StepTime(s.Engine.Slots/2, s.Engine.KVTokens/8)
	if p.GapLimit > 0 && prefill/(maxHelpers+1)+step > p.GapLimit-gapMargin {
		return false
	}
	size := f.promptSizeLocked(now, s, p.TTFTTarget, prefill)
	return size.Lags()
}

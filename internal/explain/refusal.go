package explain

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// refusalInputs are the fields of a request line that the scheduler's refusal adds. Those
// that are nil are missing from the line.
type refusalInputs struct {
	Used            *int64 `json:"used"`
	Nominal         *int64 `json:"nominal"`
	Effective       *int64 `json:"effective"`
	Reports         int    `json:"reports"`
	ReportsAgeMS    int64  `json:"reports_age_ms"`
	Decisions       int    `json:"decisions"`
	DecidedAgoMS    int64  `json:"decided_ago_ms"`
	Preferred       string `json:"preferred"`
	PreferredWaitMS int64  `json:"preferred_wait_ms"`
	WaitLimitMS     int64  `json:"wait_limit_ms"`
	SlotLimit       int    `json:"slot_limit"`
	ShortestWaitMS  int64  `json:"shortest_wait_ms"`
	Running         int    `json:"preferred_running"`
	Slots           int    `json:"preferred_slots"`
	Retries         int64  `json:"retries"`
	RetriesAllowed  *int64 `json:"retries_allowed"`
	HeldTargets     int    `json:"held_targets"`
	HeldForMS       int64  `json:"held_for_ms"`
	RetryAfterMS    int64  `json:"retry_after_ms"`
	ProcessorMS     *int64 `json:"processor_delay_ms"`
}

// refusalTexts describes on what the scheduler's refusal rested, nothing if there was none.
func refusalTexts(l Line) []string {
	texts := suspectTexts(l)
	if l.RetryRefused != "" {
		text := fmt.Sprintf("no other target got it, after %d ms: %s", l.RetryWaitMS, cmp.Or(reasonTexts[l.RetryRefused], l.RetryRefused))
		if l.GaveUp {
			text += "; the instance had ended the run before, because the target sent nothing in time"
		}
		texts = append(texts, text)
	}
	if l.HeldTargets > 0 {
		texts = append(texts, fmt.Sprintf("%d targets were held back by a limit on the requests that they take, and the first target was to be free after %d ms",
			l.HeldTargets, l.HeldForMS))
	}
	if l.ProcessorMS != nil {
		texts = append(texts, fmt.Sprintf("work waited %d ms for the instance's processor", *l.ProcessorMS))
	}
	if l.RetryAfterMS > 0 {
		texts = append(texts, fmt.Sprintf("the caller was told to come back after %d ms", l.RetryAfterMS))
	}
	if l.RetriesAllowed != nil {
		texts = append(texts, fmt.Sprintf("the instance had used %d of its %d retries", l.Retries, *l.RetriesAllowed))
	}
	if l.Used != nil {
		text := fmt.Sprintf("the customer had used %d tokens in the window", *l.Used)
		if l.Nominal != nil && l.Effective != nil {
			text += fmt.Sprintf(", of a share of %d of the configured throughput and %d of that reached", *l.Nominal, *l.Effective)
		}
		texts = append(texts, fmt.Sprintf("%s, as counted with the reports of %d peers, the oldest %d ms old", text, l.Reports, l.ReportsAgeMS))
	}
	if l.Decisions > 0 {
		texts = append(texts, fmt.Sprintf("a target was sought %d times, last %d ms before the refusal: %s", l.Decisions, l.DecidedAgoMS, targetText(l)))
	}
	return texts
}

// limitWindow is the longest time between a request that limits held back and the changes of
// limits that are listed with it.
const limitWindow = 10 * time.Second

// limits writes, for a request that limits held back, which limits had changed at its instance
// before.
func (w *writer) limits(lines []Line, l Line) {
	if l.HeldTargets == 0 {
		return
	}
	w.section("limits that targets named, as they changed at the instance", filter(lines, func(other Line) bool {
		return other.Event == eventLimit && other.Instance == l.Instance && !other.Time.After(l.Time) && within(other, l, limitWindow)
	}))
}

// targetText describes the target that placement preferred, and whether another idled.
func targetText(l Line) string {
	if l.Preferred == "" {
		return "none had room"
	}
	text := fmt.Sprintf("%s was preferred, with a wait of %d ms where %d ms were allowed, and %d of %d slots taken; the shortest wait at any target with room was %d ms",
		l.Preferred, l.PreferredWaitMS, l.WaitLimitMS, l.Running, l.Slots, l.ShortestWaitMS)
	if l.SlotLimit > 0 {
		text += fmt.Sprintf("; up to %d running requests were allowed", l.SlotLimit)
	}
	if l.PreferredWaitMS > l.WaitLimitMS && l.ShortestWaitMS <= l.WaitLimitMS {
		text += ", so that another target idled"
	}
	return text
}

// shareState holds the field of a shares line that is not in refusalInputs.
type shareState struct {
	Largest []customerShare `json:"largest"`
}

// customerShare is the demand and usage of one customer, as one instance knows them.
type customerShare struct {
	Customer     string `json:"customer"`
	Demand       int64  `json:"demand"`
	Used         int64  `json:"used"`
	OwnRequested int64  `json:"own_requested"`
	OwnStarted   int64  `json:"own_started"`
}

// shareWindow is the longest time between a request and the shares that are listed with it.
const shareWindow = 1500 * time.Millisecond

// shares writes, for a request that the scheduler refused, what each instance knew of the
// customer's usage at that time and of the customer with the largest.
func (w *writer) shares(lines []Line, l Line) {
	if l.Used == nil {
		return
	}
	nearest := make(map[string]Line)
	for _, other := range lines {
		if other.Event != eventShares || !within(other, l, shareWindow) {
			continue
		}
		if known, ok := nearest[other.Instance]; !ok || other.Time.Sub(l.Time).Abs() < known.Time.Sub(l.Time).Abs() {
			nearest[other.Instance] = other
		}
	}
	if len(nearest) == 0 {
		return
	}
	instances := make([]string, 0, len(nearest))
	for id := range nearest {
		instances = append(instances, id)
	}
	slices.Sort(instances)
	w.line("tokens in the window as the instances knew them:")
	for _, id := range instances[:min(len(instances), maxSectionLines)] {
		w.line("  %s", shareText(nearest[id], l.Customer))
	}
	if more := len(instances) - maxSectionLines; more > 0 {
		w.line("  and %d more instances", more)
	}
}

// shareText describes one instance's shares line for a customer.
func shareText(s Line, customer string) string {
	text := fmt.Sprintf("%s at %s, %d peers' reports, the oldest %d ms old:", s.Instance, s.Time.Format("15:04:05.000"), s.Reports, s.ReportsAgeMS)
	if len(s.Largest) == 0 {
		return text + " no demand"
	}
	if i := slices.IndexFunc(s.Largest, func(c customerShare) bool { return c.Customer == customer }); i >= 0 {
		text += customerText(s.Largest[i]) + ";"
	} else {
		text += fmt.Sprintf(" %s is not among the %d with the largest demand;", customer, len(s.Largest))
	}
	most := slices.MaxFunc(s.Largest, func(a, b customerShare) int { return cmp.Compare(a.Used, b.Used) })
	return text + " most used by" + customerText(most)
}

func customerText(c customerShare) string {
	return fmt.Sprintf(" %s: %d of %d asked, of which in the last second here %d of %d", c.Customer, c.Used, c.Demand, c.OwnStarted, c.OwnRequested)
}

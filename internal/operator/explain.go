package operator

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"net/url"
	"slices"
	"strings"
	"time"
)

// Explanation lists the decisions that the fleet made for one request.
type Explanation struct {
	Request string     `json:"request"`
	Steps   []Step     `json:"steps"`
	Silent  []SilentOn `json:"silent,omitempty"`
}

// Step is one decision on one host.
type Step struct {
	Host             string `json:"host"`
	AvailabilityZone string `json:"availability_zone"`
	// After is the time since the first step. Steps on different hosts are put in order by the age of the decisions,
	// which is accurate to about half the time that the host took to answer.
	After    Age      `json:"after_ms"`
	Decision string   `json:"decision"`
	Reasons  []Reason `json:"reasons,omitempty"`
}

// SilentOn is a host whose decisions are missing.
type SilentOn struct {
	Host string `json:"host"`
	Text string `json:"text"`
}

// Explain collects the decisions for a request from the whole fleet. The kind of the error is KindUnreachable.
func (c *Client) Explain(ctx context.Context, requestID string) (*Explanation, error) {
	s := &survey{client: c, hosts: make(map[string]*observation)}
	errs := s.learnMembers(ctx, c.opts.Addresses)
	if len(errs) == len(c.opts.Addresses) {
		return nil, wrapError("explain", KindUnreachable, errs[0], "none of %d daemons answered; the first", len(errs))
	}
	hosts := slices.Sorted(maps.Keys(s.hosts))
	steps, silent := make([][]timedStep, len(hosts)), make([]error, len(hosts))
	jobs := make([]func(), len(hosts))
	for i, host := range hosts {
		jobs[i] = func() { steps[i], silent[i] = c.decisionsOf(ctx, s.hosts[host].member, requestID) }
	}
	runAll(c.opts.Parallel, jobs)

	e := &Explanation{Request: requestID, Steps: inOrder(slices.Concat(steps...))}
	for i, err := range silent {
		if err != nil {
			e.Silent = append(e.Silent, SilentOn{Host: hosts[i], Text: err.Error()})
		}
	}
	return e, nil
}

type timedStep struct {
	Step
	at time.Time
}

// decisionsOf asks one host. The ages that it tells are taken to hold halfway between question and answer.
func (c *Client) decisionsOf(ctx context.Context, m Member, requestID string) ([]timedStep, error) {
	var answer decisionsAnswer
	asked := c.opts.Timers.Now()
	query := url.Values{requestParameter: {requestID}}
	if err := c.get(ctx, m.Operator, pathDecisions, query, &answer); err != nil {
		return nil, err
	}
	middle := asked.Add(c.opts.Timers.Now().Sub(asked) / 2)
	var steps []timedStep
	for _, d := range answer.Decisions {
		steps = append(steps, timedStep{at: middle.Add(-d.Age.Duration()), Step: Step{
			Host:             answer.Host,
			AvailabilityZone: answer.AvailabilityZone,
			Decision:         d.Decision,
			Reasons:          d.Reasons,
		}})
	}
	return steps, nil
}

func inOrder(timed []timedStep) []Step {
	slices.SortStableFunc(timed, func(a, b timedStep) int { return a.at.Compare(b.at) })
	steps := []Step{}
	for _, s := range timed {
		s.After = Age(s.at.Sub(timed[0].at))
		steps = append(steps, s.Step)
	}
	return steps
}

// String returns the explanation as text, one line for each step.
func (e *Explanation) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s: %d decisions", e.Request, len(e.Steps))
	for _, s := range e.Steps {
		fmt.Fprintf(&b, "\n+%-8s %s (%s): %s", s.After.Duration().Round(time.Millisecond/10), s.Host, s.AvailabilityZone,
			describe(s.Decision, s.Reasons))
	}
	for _, s := range e.Silent {
		fmt.Fprintf(&b, "\nno answer from %s: %s", s.Host, s.Text)
	}
	return b.String()
}

// describe returns the decision with its reason first and the other facts behind it.
func describe(decision string, reasons []Reason) string {
	text, facts := decision, []string(nil)
	for _, r := range reasons {
		if r.Key == "reason" {
			text += ", because " + r.Value
			continue
		}
		facts = append(facts, r.Key+"="+cmp.Or(r.Value, `""`))
	}
	if len(facts) > 0 {
		text += " (" + strings.Join(facts, ", ") + ")"
	}
	return text
}

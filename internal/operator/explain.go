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

// Explanation lists the decisions of the fleet on one request.
type Explanation struct {
	Request      string             `json:"request"`
	Steps        []Step             `json:"steps"`
	Unresponsive []UnresponsiveHost `json:"silent,omitempty"`
}

// Step is one decision on one host.
type Step struct {
	Host             string `json:"host"`
	AvailabilityZone string `json:"availability_zone"`
	// After is the time since the first step. Steps on different hosts are ordered by the age of the decisions, which is
	// accurate to about half the time that the host took to respond.
	After    Age      `json:"after_ms"`
	Decision string   `json:"decision"`
	Reasons  []Reason `json:"reasons,omitempty"`
}

// UnresponsiveHost is a host whose decisions could not be fetched.
type UnresponsiveHost struct {
	Host string `json:"host"`
	// Text is the text of the error.
	Text string `json:"text"`
}

// Explain collects the decisions on the request from the whole fleet. The kind of the error is KindUnreachable.
func (c *Client) Explain(ctx context.Context, requestID string) (*Explanation, error) {
	q := &fleetQuery{client: c, hosts: make(map[string]*hostResult)}
	memberErrs := q.fetchMembers(ctx, c.opts.Addresses)
	if len(memberErrs) == len(c.opts.Addresses) {
		return nil, wrapError("explain", KindUnreachable, memberErrs[0], "none of %d daemons responded; first error",
			len(memberErrs))
	}
	hosts := slices.Sorted(maps.Keys(q.hosts))
	steps, hostErrs := make([][]timedStep, len(hosts)), make([]error, len(hosts))
	jobs := make([]func(), len(hosts))
	for i, host := range hosts {
		jobs[i] = func() { steps[i], hostErrs[i] = c.fetchDecisions(ctx, q.hosts[host].member, requestID) }
	}
	runJobs(c.opts.Parallel, jobs)

	e := &Explanation{Request: requestID, Steps: sortSteps(slices.Concat(steps...))}
	for i, err := range hostErrs {
		if err != nil {
			e.Unresponsive = append(e.Unresponsive, UnresponsiveHost{Host: hosts[i], Text: err.Error()})
		}
	}
	return e, nil
}

// timedStep is a step with its approximate time on the client's clock.
type timedStep struct {
	Step
	at time.Time
}

// fetchDecisions fetches the decisions of one host on the request. The ages in the response are assumed to be correct
// halfway between the sending of the HTTP request and the arrival of the response.
func (c *Client) fetchDecisions(ctx context.Context, m Member, requestID string) ([]timedStep, error) {
	var response decisionsResponse
	sentAt := c.opts.Timers.Now()
	query := url.Values{requestParameter: {requestID}}
	if err := c.getJSON(ctx, m.Operator, pathDecisions, query, &response); err != nil {
		return nil, err
	}
	midpoint := sentAt.Add(c.opts.Timers.Now().Sub(sentAt) / 2)
	var steps []timedStep
	for _, d := range response.Decisions {
		steps = append(steps, timedStep{at: midpoint.Add(-d.Age.Duration()), Step: Step{
			Host:             response.Host,
			AvailabilityZone: response.AvailabilityZone,
			Decision:         d.Decision,
			Reasons:          d.Reasons,
		}})
	}
	return steps, nil
}

// sortSteps sorts the steps by time and sets their After.
func sortSteps(timed []timedStep) []Step {
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
			formatDecision(s.Decision, s.Reasons))
	}
	for _, s := range e.Unresponsive {
		fmt.Fprintf(&b, "\nno answer from %s: %s", s.Host, s.Text)
	}
	return b.String()
}

// formatDecision returns the decision followed by the value under the key "reason" and then the other facts.
func formatDecision(decision string, reasons []Reason) string {
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

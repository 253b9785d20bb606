package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
)

// Control calls the control API of a server in another process. It is safe for concurrent use.
type Control struct {
	base string
}

// NewControl returns a client for the server at the address, as IP:port.
func NewControl(address string) *Control { return &Control{base: "http://" + address + "/control/"} }

// Publish sets the values in one step.
func (c *Control) Publish(ctx context.Context, values map[string][]byte) error {
	return c.send(ctx, http.MethodPost, "publish", values, nil)
}

// SetFaults replaces the faults.
func (c *Control) SetFaults(ctx context.Context, faults Faults) error {
	return c.send(ctx, http.MethodPost, "faults", faults, nil)
}

// Freeze keeps the present state for the fault "stale".
func (c *Control) Freeze(ctx context.Context) error {
	return c.send(ctx, http.MethodPost, "freeze", nil, nil)
}

// Mute lets the watches that are held now never answer.
func (c *Control) Mute(ctx context.Context) error {
	return c.send(ctx, http.MethodPost, "mute", nil, nil)
}

// Counts returns the calls that the server has seen.
func (c *Control) Counts(ctx context.Context) (Counts, error) {
	var counts Counts
	err := c.send(ctx, http.MethodGet, "counts", nil, &counts)
	return counts, err
}

func (c *Control) send(ctx context.Context, method, path string, body, answer any) error {
	var encoded bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&encoded).Encode(body); err != nil {
			return wrapError(path, KindControl, err, "encoding")
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, &encoded)
	if err != nil {
		return wrapError(path, KindControl, err, "request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return wrapError(path, KindControl, err, "call")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
		return newError(path, KindControl, "status %d: %s", response.StatusCode, text)
	}
	if answer == nil {
		return nil
	}
	if err := json.NewDecoder(response.Body).Decode(answer); err != nil {
		return wrapError(path, KindControl, err, "decoding the answer")
	}
	return nil
}

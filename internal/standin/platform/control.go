package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
)

// Control is a client of the control API of a Server in another process. It is safe for concurrent use.
type Control struct {
	baseURL string
}

// NewControl returns a client for the server at the address, as IP:port.
func NewControl(address string) *Control { return &Control{baseURL: "http://" + address + "/control/"} }

// Publish sets the values, a map by key, atomically.
func (c *Control) Publish(ctx context.Context, values map[string][]byte) error {
	return c.call(ctx, http.MethodPost, "publish", values, nil)
}

// SetFaults replaces the faults of the server.
func (c *Control) SetFaults(ctx context.Context, faults Faults) error {
	return c.call(ctx, http.MethodPost, "faults", faults, nil)
}

// Freeze copies the current values for the fault "stale". See Server.Freeze.
func (c *Control) Freeze(ctx context.Context) error {
	return c.call(ctx, http.MethodPost, "freeze", nil, nil)
}

// SuppressWatches suppresses the responses to the watches that are waiting. See Server.SuppressWatches.
func (c *Control) SuppressWatches(ctx context.Context) error {
	return c.call(ctx, http.MethodPost, "mute", nil, nil)
}

// Counts returns the numbers of calls that the server has received.
func (c *Control) Counts(ctx context.Context) (Counts, error) {
	var counts Counts
	err := c.call(ctx, http.MethodGet, "counts", nil, &counts)
	return counts, err
}

func (c *Control) call(ctx context.Context, method, path string, body, result any) error {
	var encoded bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&encoded).Encode(body); err != nil {
			return wrapError(path, KindControl, err, "encoding the request")
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, &encoded)
	if err != nil {
		return wrapError(path, KindControl, err, "creating the request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return wrapError(path, KindControl, err, "sending the request")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
		return newError(path, KindControl, "status %d: %s", response.StatusCode, text)
	}
	if result == nil {
		return nil
	}
	if err := json.NewDecoder(response.Body).Decode(result); err != nil {
		return wrapError(path, KindControl, err, "decoding the response")
	}
	return nil
}

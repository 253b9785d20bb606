package cicadacross

import "context"

// The keys in the key-value service of the platform. The value under KeyHosts is the platform's list of running and
// leaving hosts. KeyPartPrefix is followed by the digest of a part.
const (
	KeyManifest   = "manifest"
	KeyHosts      = "hosts"
	KeyPartPrefix = "parts/"
)

// MaxValueSize is the size limit of a value in the platform's key-value service, in bytes.
const MaxValueSize = 1 << 20

// Revision is the write counter of the platform's key-value service or registry. With the key-value service it only
// shows whether a value changed since the last read; it doesn't order configurations, since a rebuilt platform starts
// at 1 again.
type Revision uint64

// Value is a value of the platform's key-value service with its revision.
type Value struct {
	data     []byte
	revision Revision
}

// NewValue returns a value. The caller must not change data afterwards.
func NewValue(data []byte, revision Revision) Value { return Value{data: data, revision: revision} }

// Data returns the bytes, which the caller must not change.
func (v Value) Data() []byte { return v.data }

// Revision returns the revision of the last write of the value.
func (v Value) Revision() Revision { return v.revision }

// Source reads the key-value service of the platform. Implementations are safe for concurrent use.
type Source interface {
	// Get returns the current value of the key.
	Get(ctx context.Context, key string) (Value, error)
	// Watch waits until the revision of the key is greater than after, or until the service ends the wait, and returns
	// the current value, which may be unchanged.
	Watch(ctx context.Context, key string, after Revision) (Value, error)
}

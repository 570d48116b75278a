package caller

import "sync/atomic"

// Memory is a bounded budget of bytes that many requests share. It is safe for
// concurrent use; nobody waits for it.
type Memory struct {
	limit int64
	used  atomic.Int64
}

// NewMemory returns a budget of limit bytes.
func NewMemory(limit int64) *Memory { return &Memory{limit: limit} }

// Reserve takes n bytes, or returns false when they are not there.
func (m *Memory) Reserve(n int64) bool {
	if m.used.Add(n) <= m.limit {
		return true
	}
	m.used.Add(-n)
	return false
}

// Release gives n bytes back.
func (m *Memory) Release(n int64) { m.used.Add(-n) }

// Used returns the bytes taken.
func (m *Memory) Used() int64 { return m.used.Load() }

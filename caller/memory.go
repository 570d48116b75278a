package caller

import "sync/atomic"

// Memory is a limit in bytes that concurrent requests share. It only counts and
// allocates nothing. It is safe for concurrent use and never blocks.
type Memory struct {
	limit int64
	used  atomic.Int64
}

// NewMemory returns a Memory with a limit in bytes.
func NewMemory(limit int64) *Memory { return &Memory{limit: limit} }

// Reserve reserves n bytes. It reserves nothing and returns false when fewer
// than n bytes are left.
func (m *Memory) Reserve(n int64) bool {
	if m.used.Add(n) <= m.limit {
		return true
	}
	m.used.Add(-n)
	return false
}

// Release returns n reserved bytes.
func (m *Memory) Release(n int64) { m.used.Add(-n) }

// Used returns the number of bytes reserved.
func (m *Memory) Used() int64 { return m.used.Load() }

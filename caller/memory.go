package caller

import "sync/atomic"

// Memory is a limit in bytes that concurrent requests share. It only counts and
// allocates nothing. It is safe for concurrent use and never blocks.
type Memory struct {
	limit int64
	used  atomic.Int64
	// parent also counts what is reserved here; nil for none.
	parent *Memory
	// transfers are aborted when a reservation that can grow fails; nil for none.
	transfers *Transfers
}

// NewMemory returns a Memory with a limit in bytes.
func NewMemory(limit int64) *Memory { return &Memory{limit: limit} }

// NewPart returns a Memory with a limit of its own whose bytes also count in m, such as
// that of one connection. A nil Memory has no parts.
func (m *Memory) NewPart(limit int64) *Memory {
	if m == nil {
		return nil
	}
	return &Memory{limit: limit, parent: m, transfers: m.transfers}
}

// Limit returns the limit in bytes.
func (m *Memory) Limit() int64 { return m.limit }

// Reserve reserves n bytes. It reserves nothing and returns false when fewer
// than n bytes are left.
func (m *Memory) Reserve(n int64) bool {
	if m.used.Add(n) <= m.limit && (m.parent == nil || m.parent.Reserve(n)) {
		return true
	}
	m.used.Add(-n)
	return false
}

// Release returns n reserved bytes.
func (m *Memory) Release(n int64) {
	m.used.Add(-n)
	if m.parent != nil {
		m.parent.Release(n)
	}
}

// Used returns the number of bytes reserved.
func (m *Memory) Used() int64 { return m.used.Load() }

// relieve aborts the slowest transfer of the memory that lacks n bytes, which may be m itself or
// its parent. It returns false if there is none that is slow.
func (m *Memory) relieve(n int64) bool {
	if m.transfers == nil {
		return false
	}
	if m.parent != nil && m.used.Load()+n > m.limit {
		return m.transfers.abortSlowest(m)
	}
	return m.transfers.abortSlowest(nil)
}

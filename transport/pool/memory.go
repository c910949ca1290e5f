package pool

import (
	"sync"
	"sync/atomic"
	"time"
)

// trackedSize is the memory in bytes from which on a response can be chosen as the largest one. Smaller ones are not tracked, so that an ordinary response takes no lock.
const trackedSize = 64 << 10

// Memory bounds the memory of all responses that are being read, over any number of pools. The bound holds
// whatever the other ends send: what exceeds it is not allocated before the largest response has been ended,
// with ErrTooLarge. A response that has been returned is not counted any more. It is safe for concurrent use.
type Memory struct {
	limit int64
	// used is the memory of all responses that are being read, in bytes.
	used atomic.Int64

	mu sync.Mutex
	// tracked are the connections whose response can be chosen as the largest one.
	tracked map[*conn]struct{}
	// ending are those whose response has been ended and still has its memory. released is signalled when one
	// of them is released or chosen.
	ending   map[*conn]struct{}
	released *sync.Cond
	ended    uint64
}

// NewMemory returns a bound of the given number of bytes.
func NewMemory(limit int64) *Memory {
	m := &Memory{limit: limit, tracked: make(map[*conn]struct{}), ending: make(map[*conn]struct{})}
	m.released = sync.NewCond(&m.mu)
	return m
}

// MemoryStats are the counters of a Memory.
type MemoryStats struct {
	// Used is the memory in bytes of all responses that are being read.
	Used int64
	// Ended counts the responses that were ended because all together would have exceeded the limit.
	Ended uint64
}

// Stats returns the current counters.
func (m *Memory) Stats() MemoryStats {
	m.mu.Lock()
	defer m.mu.Unlock()
	return MemoryStats{Used: m.used.Load(), Ended: m.ended}
}

// add counts memory for the response on a connection, before it is allocated. It is called by the goroutine
// that reads the response, and waits for the end of another response if that must make room. It returns
// ErrTooLarge if this one is ended. The receiver may be nil.
func (m *Memory) add(c *conn, n int64) error {
	if m == nil || n == 0 {
		return nil
	}
	if c.memory.Load()+n < trackedSize && m.tryAdd(c, n) {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tracked[c], c.tracked = struct{}{}, true
	for !m.tryAdd(c, n) {
		if len(m.ending) == 0 {
			m.end(m.largest(c, n))
		}
		if c.overMemory.Load() {
			return ErrTooLarge
		}
		m.released.Wait()
	}
	return nil
}

// tryAdd counts memory for the response on a connection if the limit allows it.
func (m *Memory) tryAdd(c *conn, n int64) bool {
	for {
		used := m.used.Load()
		if used+n > m.limit {
			return false
		}
		if m.used.CompareAndSwap(used, used+n) {
			c.memory.Add(n)
			return true
		}
	}
}

// largest returns the tracked connection with the largest response. The response on the connection asking counts
// with the n bytes that it asks for. The lock is held and no response is ending.
func (m *Memory) largest(asking *conn, n int64) *conn {
	largest, most := asking, asking.memory.Load()+n
	for c := range m.tracked {
		if size := c.memory.Load(); size > most {
			largest, most = c, size
		}
	}
	return largest
}

// end ends the response on a connection, which is not used again. The lock is held.
func (m *Memory) end(c *conn) {
	m.ending[c] = struct{}{}
	m.ended++
	c.overMemory.Store(true)
	// A deadline in the past interrupts a pending read.
	_ = c.SetDeadline(time.Unix(1, 0))
	m.released.Broadcast()
}

// release stops counting the response on a connection and reports whether it was ended. It is called by the
// goroutine that has read the response. The receiver may be nil.
func (m *Memory) release(c *conn) (ended bool) {
	if m == nil {
		return false
	}
	m.used.Add(-c.memory.Swap(0))
	if !c.tracked {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.tracked, c)
	delete(m.ending, c)
	c.tracked = false
	m.released.Broadcast()
	return c.overMemory.Load()
}

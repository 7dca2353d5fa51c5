package memory

import "time"

// bufferSizes are the sizes of buffers in bytes: powers of two, the largest body that is buffered with
// its header, and the largest message.
var bufferSizes = [...]int{2 << 10, 4 << 10, 8 << 10, 16 << 10, 32 << 10, 72 << 10, 104 << 10}

// usualBufferBytes is the size up to which a buffer is charged as part of a request of usual size.
const usualBufferBytes = 8 << 10

// idleBuffers holds buffers for reuse, by the index of their size. The Budget's lock protects it.
type idleBuffers struct {
	bySize [len(bufferSizes)][][]byte
	bytes  int64
}

// take returns an idle buffer, or nil.
func (p *idleBuffers) take(index int) []byte {
	last := len(p.bySize[index]) - 1
	if last < 0 {
		return nil
	}
	buf := p.bySize[index][last]
	p.bySize[index][last] = nil
	p.bySize[index] = p.bySize[index][:last]
	p.bytes -= int64(len(buf))
	return buf
}

// trim drops buffers, the largest first, until they have no more than bytes.
func (p *idleBuffers) trim(bytes int64) {
	for index := len(bufferSizes) - 1; index >= 0; index-- {
		for p.bytes > bytes && p.take(index) != nil {
		}
	}
}

// sizeIndex returns the index of the smallest size of at least n bytes.
func sizeIndex(n int) int {
	index := 0
	for bufferSizes[index] < n {
		index++
	}
	return index
}

// useOf returns what a buffer is charged for.
func useOf(size int) Use {
	if size <= usualBufferBytes {
		return Request
	}
	return Buffer
}

// GetBuffer returns a buffer of the smallest size of at least n bytes after charging it, for which it waits
// up to timeout. It returns nil if there is no memory for it. Its content is undefined.
func (b *Budget) GetBuffer(n int, timeout time.Duration) []byte {
	size := bufferSizes[sizeIndex(n)]
	if b == nil {
		return make([]byte, size)
	}
	if !b.Charge(useOf(size), int64(size), timeout) {
		return nil
	}
	return b.allocate(n)
}

// allocate returns an idle buffer or a new one, which has been charged.
func (b *Budget) allocate(n int) []byte {
	index := sizeIndex(n)
	b.mu.Lock()
	buf := b.idle.take(index)
	b.mu.Unlock()
	if buf == nil {
		buf = make([]byte, bufferSizes[index])
	}
	return buf
}

// PutBuffer takes back a buffer of GetBuffer and its charge. Nothing may refer to it any more.
func (b *Budget) PutBuffer(buf []byte) {
	if b == nil || buf == nil {
		return
	}
	size := int64(len(buf))
	b.mu.Lock()
	defer b.mu.Unlock()
	b.keepIdle(buf)
	b.add(useOf(len(buf)), -size)
	b.grantWaiting()
}

// keepIdle keeps a buffer for reuse, if there is room. The caller holds mu.
func (b *Budget) keepIdle(buf []byte) {
	size := int64(len(buf))
	if b.idle.bytes+size > b.part(idleBufferShare) {
		return
	}
	index := sizeIndex(len(buf))
	b.idle.bySize[index] = append(b.idle.bySize[index], buf)
	b.idle.bytes += size
}

// GetPrepaid returns a buffer of the smallest size, which has been charged with its connection.
func (b *Budget) GetPrepaid() []byte {
	if b == nil {
		return make([]byte, bufferSizes[0])
	}
	return b.allocate(1)
}

// PutPrepaid takes back a buffer of GetPrepaid.
func (b *Budget) PutPrepaid(buf []byte) {
	if b == nil || buf == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.keepIdle(buf)
}

// Hold is memory that is released together. The zero value holds nothing.
type Hold struct {
	budget  *Budget
	buffers [][]byte
	charged int64 // beside the buffers, for Request
}

// NewHold returns an empty Hold of a budget.
func NewHold(budget *Budget) Hold { return Hold{budget: budget} }

// AddBuffer adds a buffer of GetBuffer.
func (h *Hold) AddBuffer(buf []byte) { h.buffers = append(h.buffers, buf) }

// RemoveBuffer takes out the buffer that was added last, or returns nil.
func (h *Hold) RemoveBuffer() []byte {
	last := len(h.buffers) - 1
	if last < 0 {
		return nil
	}
	buf := h.buffers[last]
	h.buffers = h.buffers[:last]
	return buf
}

// Bytes returns how much is held.
func (h *Hold) Bytes() int64 {
	bytes := h.charged
	for _, buf := range h.buffers {
		bytes += int64(len(buf))
	}
	return bytes
}

// Charge charges bytes for a request, for which it waits up to timeout, and reports whether there was
// room.
func (h *Hold) Charge(bytes int64, timeout time.Duration) bool {
	if !h.budget.Charge(Request, bytes, timeout) {
		return false
	}
	h.charged += bytes
	return true
}

// Release releases all that is held. Nothing may refer to the buffers any more.
func (h *Hold) Release() {
	for _, buf := range h.buffers {
		h.budget.PutBuffer(buf)
	}
	h.budget.Release(Request, h.charged)
	h.buffers, h.charged = nil, 0
}

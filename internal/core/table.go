package core

// Ref identifies a slot of a Table: the slot number in the low 32 bits, its generation in the high 32 bits. Once a slot is freed,
// its old Ref no longer matches, so a late callback finds nothing. Zero refers to no slot.
type Ref uint64

// Table stores values in numbered slots. A slot that is used again gets a new generation.
type Table[T any] struct {
	slots []slot[T]
	free  []uint32
	limit int
}

type slot[T any] struct {
	gen   uint32
	used  bool
	value T
}

// NewTable returns a table that holds at most limit values.
func NewTable[T any](limit int) *Table[T] { return &Table[T]{limit: limit} }

// SetLimit changes how many values the table holds at most. Values beyond a lower limit stay until they are freed.
func (t *Table[T]) SetLimit(limit int) { t.limit = limit }

// Put stores a value and returns its Ref, or false if the table is full.
func (t *Table[T]) Put(v T) (Ref, bool) {
	if t.Len() >= t.limit {
		return 0, false
	}
	var n uint32
	if last := len(t.free) - 1; last >= 0 {
		n, t.free = t.free[last], t.free[:last]
	} else {
		n = uint32(len(t.slots))
		t.slots = append(t.slots, slot[T]{})
	}
	s := &t.slots[n]
	// A generation has 20 bits, so that a Ref stays below 2^52 as the module's ids must. 0 is never used.
	if s.gen = (s.gen + 1) & (1<<20 - 1); s.gen == 0 {
		s.gen = 1
	}
	s.used, s.value = true, v
	return Ref(s.gen)<<32 | Ref(n), true
}

// Get returns the value that r refers to, or the zero value and false.
func (t *Table[T]) Get(r Ref) (v T, ok bool) {
	if n := uint32(r); uint64(n) < uint64(len(t.slots)) {
		if s := &t.slots[n]; s.used && s.gen == uint32(r>>32) {
			return s.value, true
		}
	}
	return v, false
}

// Free releases the slot that r refers to, and reports whether r referred to a slot in use.
func (t *Table[T]) Free(r Ref) bool {
	if _, ok := t.Get(r); !ok {
		return false
	}
	s := &t.slots[uint32(r)]
	var zero T
	s.used, s.value = false, zero
	t.free = append(t.free, uint32(r))
	return true
}

// Len returns the number of slots in use.
func (t *Table[T]) Len() int { return len(t.slots) - len(t.free) }

// Each calls f for every stored value, in the order of the slots. f may free the slot it is given.
func (t *Table[T]) Each(f func(Ref, T)) {
	for n := range t.slots {
		if s := &t.slots[n]; s.used {
			f(Ref(s.gen)<<32|Ref(n), s.value)
		}
	}
}

package budgeter

import "strings"

// StartCall counts a call that starts on this VM and returns the kind of its first arrival. It returns ErrSpent if the call
// is made by the run of a retry and must not be sent. The ID of a call that a run makes is the ID of the run, a dot and a suffix.
func (b *Budgeter) StartCall(id, name string) (Kind, error) {
	end := strings.LastIndex(id, idSeparator)
	if end < 0 {
		return First, nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.update()
	parent := b.runs.find(id[:end], t.now)
	return b.startNested(t, name, parent, parent == nil && b.runs.mayHaveForgotten(t.now))
}

// StartNestedCall does the same for a call whose caller says which run makes it and whether that is a retry.
func (b *Budgeter) StartNestedCall(parentID string, ofRetry bool, name string) (Kind, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.update()
	return b.startNested(t, name, b.runs.find(parentID, t.now), ofRetry)
}

// startNested counts a call that a run makes. The run is nil if it is not known.
func (b *Budgeter) startNested(t tick, name string, parent *run, ofRetry bool) (Kind, error) {
	s := b.service(t, name)
	switch {
	case ofRetry || parent != nil && parent.retry:
		return Caused, b.payNested(t, s, parent, name)
	case parent == nil:
		return First, nil
	}
	parent.countCall(name)
	s.nested.addCall(t.bucket, nestedShare)
	return Nested, nil
}

// payNested takes a call of a retried run from what is reserved for the run, or from what is left. The run may be unknown.
func (b *Budgeter) payNested(t tick, s *service, parent *run, name string) error {
	others := s.reserved
	if parent != nil {
		parent.countCall(name)
		if parent.reserved[name] > 0 {
			parent.reserved[name]--
			s.reserved--
			others = 0
		}
	}
	if s.nested.room(t.limits.Ratio, 0) < float64(others+1) {
		return ErrSpent
	}
	s.nested.addGrant()
	return nil
}

// canReserve reports whether there is room for the calls that a retried run on the route will probably make.
func (b *Budgeter) canReserve(t tick, route string) bool {
	for name, calls := range b.runs.expectedCalls(route) {
		s := b.service(t, name)
		if s.nested.room(t.limits.Ratio, 0) < float64(s.reserved+calls) {
			return false
		}
	}
	return true
}

// reserve reserves room for these calls.
func (b *Budgeter) reserve(t tick, route string) map[string]int {
	reserved := b.runs.expectedCalls(route)
	for name, calls := range reserved {
		b.service(t, name).reserved += calls
	}
	return reserved
}

// How far the replica of a slot is.

package disk

// Held is the number up to which the disk holds a slot, 0 if it holds none.
func (s *Store) Held(slot uint32) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if held := s.replicas[slot]; held != nil {
		return held.Seq
	}
	return 0
}

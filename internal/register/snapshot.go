// What an owner keeps in memory of its slots.

package register

// Kept is about what this core holds in memory of the slots that it owns: their
// content, and the changes that a disk or a follower may still need.
func (o *Owner) Kept() int {
	sum := 0
	for _, s := range o.slots {
		s.mu.Lock()
		if s.held != nil {
			s.held.Each(func(key, value any) { sum += len(key.(string)) + len(value.([]byte)) })
		}
		for _, entry := range s.buffer {
			sum += entry.weight()
		}
		s.mu.Unlock()
	}
	return sum
}

// What this node believes a model worker keeps of prompts: the parts it was
// sent, those longest unused giving way when its memory is full. A part counts
// only if every part before it is kept as well.
package relay

import "container/list"

type partKey struct{ model, id string }

type keptPart struct {
	key    partKey
	tokens int
}

type prefixes struct {
	parts  map[partKey]*list.Element
	recent *list.List // the most recent first
	tokens int
}

func newPrefixes() *prefixes {
	return &prefixes{parts: map[partKey]*list.Element{}, recent: list.New()}
}

// kept is how many tokens of the parts need not be read.
func (p *prefixes) kept(model string, parts []Part) int {
	tokens := 0
	for _, part := range parts {
		if p.parts[partKey{model, part.ID}] == nil {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// use notes that the parts are being read or used there, and gives those that
// are new. The first part is the most recent, so that the last give way first.
func (p *prefixes) use(model string, parts []Part, most int) []partKey {
	var added []partKey
	for place := len(parts) - 1; place >= 0; place-- {
		key := partKey{model, parts[place].ID}
		if held := p.parts[key]; held != nil {
			p.recent.MoveToFront(held)
			continue
		}
		p.parts[key] = p.recent.PushFront(keptPart{key, parts[place].Tokens})
		p.tokens += parts[place].Tokens
		added = append(added, key)
	}
	for p.tokens > most && p.recent.Len() > len(parts) {
		p.remove(p.recent.Back().Value.(keptPart).key)
	}
	return added
}

func (p *prefixes) remove(key partKey) {
	if held := p.parts[key]; held != nil {
		p.tokens -= held.Value.(keptPart).tokens
		p.recent.Remove(held)
		delete(p.parts, key)
	}
}

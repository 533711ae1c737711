// What this node believes a model worker keeps of prompts: the parts it was
// sent, those longest unused giving way when its memory is full. A part counts
// only if every part before it is kept whole as well. A session's own part keeps
// its id while it grows, turn by turn; what was kept of it need not be read
// again.

package relay

import "container/list"

type partKey struct{ model, id string }

type keptPart struct {
	key    partKey
	tokens int
}

// change is what a part was before it was used, so that it can be taken back.
type change struct {
	key    partKey
	before int
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
func (p *prefixes) kept(model string, parts []PromptPart) int {
	tokens := 0
	for _, part := range parts {
		held := p.parts[partKey{model, part.ID}]
		if held == nil {
			break
		}
		have := held.Value.(*keptPart).tokens
		tokens += min(have, part.Tokens)
		if have < part.Tokens {
			break
		}
	}
	return tokens
}

// use notes that the parts are being read or used there, and gives what
// changed. The first part is the most recent, so that the last give way first.
func (p *prefixes) use(model string, parts []PromptPart, most int) []change {
	var changes []change
	for place := len(parts) - 1; place >= 0; place-- {
		key := partKey{model, parts[place].ID}
		before := 0
		if held := p.parts[key]; held != nil {
			before = held.Value.(*keptPart).tokens
			p.recent.MoveToFront(held)
		} else {
			p.parts[key] = p.recent.PushFront(&keptPart{key: key})
		}
		if before < parts[place].Tokens {
			changes = append(changes, change{key, before})
			p.set(key, parts[place].Tokens)
		}
	}
	for p.tokens > most && p.recent.Len() > len(parts) {
		p.set(p.recent.Back().Value.(*keptPart).key, 0)
	}
	return changes
}

// set makes a part that long; one without a token is not kept.
func (p *prefixes) set(key partKey, tokens int) {
	held := p.parts[key]
	if held == nil {
		return
	}
	part := held.Value.(*keptPart)
	p.tokens += tokens - part.tokens
	part.tokens = tokens
	if tokens <= 0 {
		p.recent.Remove(held)
		delete(p.parts, key)
	}
}

// grow adds what was put out after a prompt to its last part.
func (p *prefixes) grow(model string, parts []PromptPart, tokens int) {
	if len(parts) == 0 {
		return
	}
	last := parts[len(parts)-1]
	if held := p.parts[partKey{model, last.ID}]; held != nil {
		if part := held.Value.(*keptPart); part.tokens == last.Tokens {
			p.set(part.key, last.Tokens+tokens)
		}
	}
}

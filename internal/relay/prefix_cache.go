package relay

import "container/list"

// partKey identifies a part; caches are separate for each model.
type partKey struct{ model, id string }

// cachedPart is a part, or the beginning of one, that a worker has cached.
type cachedPart struct {
	key    partKey
	tokens int
}

// cacheChange records the length of a part before a request extended it, so that
// the change can be undone.
type cacheChange struct {
	key          partKey
	tokensBefore int
}

// prefixCache is this node's estimate of a model worker's prefix cache: the parts
// that it was sent, evicted in least-recently-used order when the cache is full. A
// part counts as cached only if every part before it is cached completely. A
// session's own part keeps its id while it grows from turn to turn; the tokens
// cached of it need no new prefill.
type prefixCache struct {
	parts  map[partKey]*list.Element
	lru    *list.List // the most recently used first
	tokens int
}

func newPrefixCache() *prefixCache {
	return &prefixCache{parts: map[partKey]*list.Element{}, lru: list.New()}
}

// cachedTokens returns how many tokens of the parts need no prefill.
func (p *prefixCache) cachedTokens(model string, parts []PromptPart) int {
	tokens := 0
	for _, part := range parts {
		element := p.parts[partKey{model, part.ID}]
		if element == nil {
			break
		}
		cached := element.Value.(*cachedPart).tokens
		tokens += min(cached, part.Tokens)
		if cached < part.Tokens {
			break
		}
	}
	return tokens
}

// touch marks the parts as used and cached, evicts others beyond the capacity, and
// returns the parts that became longer. The first part counts as the most recently
// used one, so that the last parts are evicted first.
func (p *prefixCache) touch(model string, parts []PromptPart, capacity int) []cacheChange {
	var changes []cacheChange
	for i := len(parts) - 1; i >= 0; i-- {
		key := partKey{model, parts[i].ID}
		before := 0
		if element := p.parts[key]; element != nil {
			before = element.Value.(*cachedPart).tokens
			p.lru.MoveToFront(element)
		} else {
			p.parts[key] = p.lru.PushFront(&cachedPart{key: key})
		}
		if before < parts[i].Tokens {
			changes = append(changes, cacheChange{key, before})
			p.setTokens(key, parts[i].Tokens)
		}
	}
	for p.tokens > capacity && p.lru.Len() > len(parts) {
		p.setTokens(p.lru.Back().Value.(*cachedPart).key, 0)
	}
	return changes
}

// setTokens sets the cached length of a part; a part of no tokens is removed.
func (p *prefixCache) setTokens(key partKey, tokens int) {
	element := p.parts[key]
	if element == nil {
		return
	}
	part := element.Value.(*cachedPart)
	p.tokens += tokens - part.tokens
	part.tokens = tokens
	if tokens <= 0 {
		p.lru.Remove(element)
		delete(p.parts, key)
	}
}

// extendLast adds the output generated for a prompt to its last part.
func (p *prefixCache) extendLast(model string, parts []PromptPart, tokens int) {
	if len(parts) == 0 {
		return
	}
	last := parts[len(parts)-1]
	if element := p.parts[partKey{model, last.ID}]; element != nil {
		if part := element.Value.(*cachedPart); part.tokens == last.Tokens {
			p.setTokens(part.key, last.Tokens+tokens)
		}
	}
}

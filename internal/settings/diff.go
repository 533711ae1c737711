// What a document would change: the values that differ, by path.

package settings

import (
	"encoding/json"

	"fordseam/internal/base"
)

// Difference is one value that differs; Was or Now is empty where the path is
// only in the other document.
type Difference struct {
	Path string `json:"path"`
	Old  string `json:"was,omitempty"`
	New  string `json:"now,omitempty"`
}

// Diff compares two documents that were checked before.
func Diff(was, now []byte) []Difference {
	former, next := map[string]string{}, map[string]string{}
	flatten("$", was, former)
	flatten("$", now, next)
	paths := map[string]bool{}
	for path := range former {
		paths[path] = true
	}
	for path := range next {
		paths[path] = true
	}
	found := []Difference{}
	for _, path := range base.SortedKeys(paths) {
		if former[path] != next[path] {
			found = append(found, Difference{path, former[path], next[path]})
		}
	}
	return found
}

func flatten(path string, raw []byte, into map[string]string) {
	var inner map[string]json.RawMessage
	if json.Unmarshal(raw, &inner) == nil && len(inner) > 0 {
		for name, value := range inner {
			flatten(path+"."+name, value, into)
		}
		return
	}
	var value any
	if json.Unmarshal(raw, &value) == nil && value != nil {
		into[path] = string(base.Encode(value))
	}
}

package settings

import (
	"encoding/json"

	"fordseam/internal/base"
)

// Difference is one value that differs. Old or New is empty if only the other
// document has the path.
type Difference struct {
	Path string `json:"path"`
	Old  string `json:"was,omitempty"`
	New  string `json:"now,omitempty"`
}

// Diff returns the values that differ between two valid documents, by path.
func Diff(oldDocument, newDocument []byte) []Difference {
	oldValues, newValues := map[string]string{}, map[string]string{}
	flatten("$", oldDocument, oldValues)
	flatten("$", newDocument, newValues)
	paths := map[string]bool{}
	for path := range oldValues {
		paths[path] = true
	}
	for path := range newValues {
		paths[path] = true
	}
	differences := []Difference{}
	for _, path := range base.SortedKeys(paths) {
		if oldValues[path] != newValues[path] {
			differences = append(differences, Difference{path, oldValues[path], newValues[path]})
		}
	}
	return differences
}

// flatten adds the values of a document to values, by path.
func flatten(path string, raw []byte, values map[string]string) {
	var members map[string]json.RawMessage
	if json.Unmarshal(raw, &members) == nil && len(members) > 0 {
		for name, value := range members {
			flatten(path+"."+name, value, values)
		}
		return
	}
	var value any
	if json.Unmarshal(raw, &value) == nil && value != nil {
		values[path] = string(base.MustMarshal(value))
	}
}

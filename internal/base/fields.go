// Reading of JSON objects field by field, for callers', the platform's and
// operators' requests: unknown, repeated, ill-typed and out-of-range fields
// are each declined by name before anything is done.

package base

import (
	"math"

	"github.com/go-faster/jx"
)

// FieldReader reads one field's value; path is its name for complaints.
type FieldReader = func(path string, d *jx.Decoder) error

// ReadFields reads a JSON object field by field: unknown, repeated and ill-typed
// fields are declined by name.
func ReadFields(body []byte, known map[string]FieldReader) error {
	decoder := jx.DecodeBytes(body)
	if decoder.Next() != jx.Object {
		return DeclineField("body", "must be a JSON object")
	}
	seen := map[string]bool{}
	err := decoder.ObjBytes(func(decoder *jx.Decoder, raw []byte) error {
		key := string(raw)
		read, ok := known[key]
		if !ok {
			return DeclineField(key, "unknown field")
		}
		if seen[key] {
			return DeclineField(key, "given twice")
		}
		seen[key] = true
		return read(key, decoder)
	})
	if err != nil {
		if v := FindRequestError(err); v != nil {
			return v
		}
		return DeclineField("body", "not valid JSON")
	}
	if decoder.Skip() == nil {
		return DeclineField("body", "more than one JSON value")
	}
	return nil
}

// FindRequestError finds a verdict inside a wrapped error.
func FindRequestError(err error) *RequestError {
	for err != nil {
		if v, ok := err.(*RequestError); ok {
			return v
		}
		wrapped, ok := err.(interface{ Unwrap() error })
		if !ok {
			return nil
		}
		err = wrapped.Unwrap()
	}
	return nil
}

// StringField reads a string of bounded length.
func StringField(into *string, most int) FieldReader {
	return func(path string, d *jx.Decoder) error {
		if d.Next() != jx.String {
			return DeclineField(path, "must be a string")
		}
		value, err := d.Str()
		if err == nil && len(value) > most {
			return DeclineField(path, "must be at most %d bytes", most)
		}
		*into = value
		return err
	}
}

// NumberField reads a number within a range.
func NumberField(into *float64, low, high float64, whole bool) FieldReader {
	return func(path string, d *jx.Decoder) error {
		if d.Next() != jx.Number {
			return DeclineField(path, "must be a number")
		}
		value, err := d.Float64()
		if err != nil {
			return DeclineField(path, "must be a number")
		}
		if value < low || value > high || (whole && value != math.Trunc(value)) {
			return DeclineField(path, "must be between %v and %v%s", low, high, map[bool]string{true: ", whole", false: ""}[whole])
		}
		*into = value
		return nil
	}
}

// BoolField reads a boolean.
func BoolField(into *bool) FieldReader {
	return func(path string, d *jx.Decoder) error {
		if d.Next() != jx.Bool {
			return DeclineField(path, "must be true or false")
		}
		value, err := d.Bool()
		*into = value
		return err
	}
}

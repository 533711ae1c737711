package base

import (
	"math"

	"github.com/go-faster/jx"
)

// FieldReader reads the value of one field; path names the field in errors.
type FieldReader = func(path string, d *jx.Decoder) error

// ReadFields parses a JSON object, such as the request of a caller, the platform
// or an operator, with one reader per field. Unknown, repeated, ill-typed and
// out-of-range fields are each rejected by name.
func ReadFields(body []byte, readers map[string]FieldReader) error {
	decoder := jx.DecodeBytes(body)
	if decoder.Next() != jx.Object {
		return DeclineField("body", "must be a JSON object")
	}
	seen := map[string]bool{}
	err := decoder.ObjBytes(func(decoder *jx.Decoder, raw []byte) error {
		key := string(raw)
		read, ok := readers[key]
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
		if requestErr := FindRequestError(err); requestErr != nil {
			return requestErr
		}
		return DeclineField("body", "not valid JSON")
	}
	if decoder.Skip() == nil {
		return DeclineField("body", "more than one JSON value")
	}
	return nil
}

// FindRequestError returns the RequestError that err is or wraps, or nil.
func FindRequestError(err error) *RequestError {
	for err != nil {
		if requestErr, ok := err.(*RequestError); ok {
			return requestErr
		}
		wrapped, ok := err.(interface{ Unwrap() error })
		if !ok {
			return nil
		}
		err = wrapped.Unwrap()
	}
	return nil
}

// StringField reads a string of at most maxBytes.
func StringField(target *string, maxBytes int) FieldReader {
	return func(path string, d *jx.Decoder) error {
		if d.Next() != jx.String {
			return DeclineField(path, "must be a string")
		}
		value, err := d.Str()
		if err == nil && len(value) > maxBytes {
			return DeclineField(path, "must be at most %d bytes", maxBytes)
		}
		*target = value
		return err
	}
}

// NumberField reads a number from low to high; integer requires one without a
// fraction.
func NumberField(target *float64, low, high float64, integer bool) FieldReader {
	return func(path string, d *jx.Decoder) error {
		if d.Next() != jx.Number {
			return DeclineField(path, "must be a number")
		}
		value, err := d.Float64()
		if err != nil {
			return DeclineField(path, "must be a number")
		}
		if value < low || value > high || (integer && value != math.Trunc(value)) {
			return DeclineField(path, "must be between %v and %v%s", low, high, map[bool]string{true: ", without a fraction", false: ""}[integer])
		}
		*target = value
		return nil
	}
}

// BoolField reads a boolean.
func BoolField(target *bool) FieldReader {
	return func(path string, d *jx.Decoder) error {
		if d.Next() != jx.Bool {
			return DeclineField(path, "must be true or false")
		}
		value, err := d.Bool()
		*target = value
		return err
	}
}

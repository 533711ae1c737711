package route

import (
	"bytes"
	"errors"
	"io"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"fordseam/internal/base"

	"github.com/go-faster/jx"
)

const (
	// maxDepth is the deepest nesting of values; a route configuration needs five
	// levels.
	maxDepth = 32
	// maxExponentDigits bounds the exponent of a number, so that it fits an int.
	maxExponentDigits = 6
	// maxPathNameBytes bounds a member's name in the path of an error.
	maxPathNameBytes = 64
)

// Canonicalize returns the canonical form of a JSON document, which equivalent
// documents share and different documents do not. It has no white space, members
// sorted by the bytes of their names, strings with the fewest escapes, and numbers
// as a coefficient without trailing zeros and a power of ten. The order of array
// elements is kept, and a member that is null differs from one that is absent. A
// document with a duplicate member name, with text that is not valid Unicode, or
// nested deeper than 32 levels has no canonical form; the error is a base.RequestError
// of status 400 that names the field by its path.
func Canonicalize(document []byte) ([]byte, error) {
	decoder := jx.DecodeBytes(document)
	canonical, err := appendValue(make([]byte, 0, len(document)), decoder, nil)
	if err != nil {
		if requestErr := base.FindRequestError(err); requestErr != nil {
			return nil, requestErr
		}
		return nil, base.DeclineField("body", "is not valid JSON: %v", err)
	}
	if err := RequireEnd(decoder); err != nil {
		return nil, err
	}
	return canonical, nil
}

// RequireEnd returns an error if anything but white space follows the document's value.
func RequireEnd(decoder *jx.Decoder) error {
	// A truncated value also ends with io.EOF, so check whether a value starts here.
	valueStarts := decoder.Next() != jx.Invalid
	err := decoder.Skip()
	switch {
	case err == nil:
		return base.DeclineField("body", "more than one JSON value")
	case valueStarts || !errors.Is(err, io.EOF):
		return base.DeclineField("body", "unexpected data after the JSON value")
	}
	return nil
}

// path is the location of a value in the document; nil is the document itself.
type path struct {
	parent   *path
	isMember bool   // a member of an object, otherwise an element of an array
	name     string // of the member
	index    int    // of the element
}

func (p *path) depth() int {
	depth := 0
	for ; p != nil; p = p.parent {
		depth++
	}
	return depth
}

// String returns the path in the usual notation, such as routes[2].name.
func (p *path) String() string {
	switch {
	case p == nil:
		return "body"
	case !p.isMember:
		prefix := ""
		if p.parent != nil {
			prefix = p.parent.String()
		}
		return prefix + "[" + strconv.Itoa(p.index) + "]"
	}
	name := strings.ToValidUTF8(p.name[:min(len(p.name), maxPathNameBytes)], "\uFFFD")
	if p.parent == nil {
		return name
	}
	return p.parent.String() + "." + name
}

func appendValue(dst []byte, decoder *jx.Decoder, location *path) ([]byte, error) {
	if location.depth() > maxDepth {
		return nil, base.DeclineField(location.String(), "is nested deeper than %d levels", maxDepth)
	}
	switch decoder.Next() {
	case jx.Object:
		return appendObject(dst, decoder, location)
	case jx.Array:
		return appendArray(dst, decoder, location)
	case jx.String:
		return appendString(dst, decoder, location)
	case jx.Number:
		return appendNumber(dst, decoder, location)
	}
	raw, err := decoder.Raw() // true, false, null, or invalid
	return append(dst, raw...), err
}

// member is a member of an object. Its value is a range of a shared buffer.
type member struct {
	name       string
	start, end int
}

func appendObject(dst []byte, decoder *jx.Decoder, location *path) ([]byte, error) {
	var members []member
	var values []byte
	memberPath := &path{parent: location}
	err := decoder.ObjBytes(func(decoder *jx.Decoder, key []byte) (err error) {
		name := string(key)
		memberPath.name, memberPath.isMember = name, true
		if !utf8.ValidString(name) || strings.ContainsRune(name, utf8.RuneError) {
			return base.DeclineField(memberPath.String(), "the member's name is not valid Unicode text")
		}
		start := len(values)
		values, err = appendValue(values, decoder, memberPath)
		members = append(members, member{name, start, len(values)})
		return err
	})
	if err != nil {
		return nil, err
	}
	slices.SortFunc(members, func(a, b member) int { return strings.Compare(a.name, b.name) })
	dst = append(dst, '{')
	for i, m := range members {
		if i > 0 {
			if members[i-1].name == m.name {
				memberPath.name, memberPath.isMember = m.name, true
				return nil, base.DeclineField(memberPath.String(), "duplicate member")
			}
			dst = append(dst, ',')
		}
		dst = appendQuoted(dst, m.name)
		dst = append(dst, ':')
		dst = append(dst, values[m.start:m.end]...)
	}
	return append(dst, '}'), nil
}

func appendArray(dst []byte, decoder *jx.Decoder, location *path) ([]byte, error) {
	dst = append(dst, '[')
	elementPath := &path{parent: location, index: -1}
	err := decoder.Arr(func(decoder *jx.Decoder) (err error) {
		if elementPath.index++; elementPath.index > 0 {
			dst = append(dst, ',')
		}
		dst, err = appendValue(dst, decoder, elementPath)
		return err
	})
	return append(dst, ']'), err
}

func appendString(dst []byte, decoder *jx.Decoder, location *path) ([]byte, error) {
	raw, err := decoder.Raw()
	if err != nil {
		return nil, err
	}
	if !utf8.Valid(raw) || !surrogatesPaired(raw) {
		return nil, base.DeclineField(location.String(), "is not valid Unicode text")
	}
	text, err := jx.DecodeBytes(raw).Str()
	return appendQuoted(dst, text), err
}

// appendQuoted appends a string literal with the fewest escapes.
func appendQuoted(dst []byte, text string) []byte {
	writer := jx.Writer{Buf: dst}
	writer.Str(text)
	return writer.Buf
}

// surrogatesPaired reports whether every surrogate escaped in a string literal is
// part of a pair. All unpaired surrogates decode to the same replacement character,
// so that different documents would get one canonical form.
func surrogatesPaired(literal []byte) bool {
	for i := 0; i < len(literal); i++ {
		if literal[i] != '\\' {
			continue
		}
		unit, escaped := unicodeEscape(literal[i:])
		switch {
		case !escaped:
			i++ // the escaped character, which may be a backslash
		case unit >= 0xDC00 && unit <= 0xDFFF:
			return false
		case unit >= 0xD800 && unit <= 0xDBFF:
			low, escaped := unicodeEscape(literal[i+escapeLength:])
			if !escaped || low < 0xDC00 || low > 0xDFFF {
				return false
			}
			i += 2*escapeLength - 1
		default:
			i += escapeLength - 1
		}
	}
	return true
}

// escapeLength is the length of a \uXXXX escape.
const escapeLength = 6

// unicodeEscape returns the code unit of the \uXXXX escape that text starts with.
func unicodeEscape(text []byte) (unit uint64, ok bool) {
	if len(text) < escapeLength || !bytes.HasPrefix(text, []byte(`\u`)) {
		return 0, false
	}
	unit, err := strconv.ParseUint(string(text[2:escapeLength]), 16, 16)
	return unit, err == nil
}

// appendNumber appends a number as its coefficient and power of ten: 60.0, 6e1
// and 60 all become 6e1. No precision is lost: numbers that differ in any digit
// stay different.
func appendNumber(dst []byte, decoder *jx.Decoder, location *path) ([]byte, error) {
	raw, err := decoder.Raw()
	if err != nil {
		return nil, err
	}
	text, negative := strings.CutPrefix(string(raw), "-")
	power := 0
	if mantissa, exponent, ok := cutAny(text, "eE"); ok {
		digits := strings.TrimLeft(strings.TrimLeft(exponent, "+-"), "0")
		if len(digits) > maxExponentDigits {
			return nil, base.DeclineField(location.String(), "the number's exponent is out of range")
		}
		if power, err = strconv.Atoi(strings.TrimPrefix(exponent, "+")); err != nil {
			return nil, base.DeclineField(location.String(), "is not a number")
		}
		text = mantissa
	}
	integer, fraction, _ := strings.Cut(text, ".")
	power -= len(fraction)
	digits := strings.TrimLeft(integer+fraction, "0")
	if digits == "" {
		return append(dst, '0'), nil
	}
	coefficient := strings.TrimRight(digits, "0")
	power += len(digits) - len(coefficient)
	if negative {
		dst = append(dst, '-')
	}
	dst = append(dst, coefficient...)
	if power == 0 {
		return dst, nil
	}
	dst = append(dst, 'e')
	return strconv.AppendInt(dst, int64(power), 10), nil
}

// cutAny is strings.Cut at the first of several characters.
func cutAny(text, chars string) (before, after string, found bool) {
	if i := strings.IndexAny(text, chars); i >= 0 {
		return text[:i], text[i+1:], true
	}
	return text, "", false
}

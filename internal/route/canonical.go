// The canonical form of a JSON document: what two spellings of the same
// document have in common, and what no two different documents share.

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
	// depthLimit bounds how deep values may be nested; a configuration of routes
	// needs five levels.
	depthLimit = 32
	// exponentDigits bounds the exponent of a number, so that it fits an int.
	exponentDigits = 6
	// pathNameLimit bounds a member's name in the path of a complaint.
	pathNameLimit = 64
)

// Canonicalize gives the canonical form of a JSON document: no white space,
// members sorted by the bytes of their names, strings with the fewest escapes,
// and numbers as a coefficient without trailing zeros and a power of ten. The
// order of array elements is kept, and a member that is null differs from one
// that is absent. A document with a repeated member name, with text that is not
// Unicode, or nested deeper than 32 levels has no canonical form; the error is a
// base.Verdict of status 400 that names the field by its path.
func Canonicalize(document []byte) ([]byte, error) {
	decoder := jx.DecodeBytes(document)
	canonical, err := appendValue(make([]byte, 0, len(document)), decoder, nil)
	if err != nil {
		if verdict := base.VerdictIn(err); verdict != nil {
			return nil, verdict
		}
		return nil, base.DeclineField("body", "cannot be read: %v", err)
	}
	if err := RequireEnd(decoder); err != nil {
		return nil, err
	}
	return canonical, nil
}

// RequireEnd declines a document that has anything but white space after its value.
func RequireEnd(decoder *jx.Decoder) error {
	// A value that is cut short ends the document as well, so its beginning counts.
	begins := decoder.Next() != jx.Invalid
	err := decoder.Skip()
	switch {
	case err == nil:
		return base.DeclineField("body", "more than one JSON value")
	case begins || !errors.Is(err, io.EOF):
		return base.DeclineField("body", "something follows the JSON value")
	}
	return nil
}

// path is where a value stands in the document; nil is the whole of it.
type path struct {
	parent *path
	member bool   // of an object; an array's element otherwise
	name   string // of a member
	index  int    // of an element
}

func (p *path) depth() int {
	depth := 0
	for ; p != nil; p = p.parent {
		depth++
	}
	return depth
}

// String writes the path as operators write it, such as routes[2].name.
func (p *path) String() string {
	switch {
	case p == nil:
		return "body"
	case !p.member:
		prefix := ""
		if p.parent != nil {
			prefix = p.parent.String()
		}
		return prefix + "[" + strconv.Itoa(p.index) + "]"
	}
	name := strings.ToValidUTF8(p.name[:min(len(p.name), pathNameLimit)], "\uFFFD")
	if p.parent == nil {
		return name
	}
	return p.parent.String() + "." + name
}

func appendValue(into []byte, decoder *jx.Decoder, at *path) ([]byte, error) {
	if at.depth() > depthLimit {
		return nil, base.DeclineField(at.String(), "is nested deeper than %d levels", depthLimit)
	}
	switch decoder.Next() {
	case jx.Object:
		return appendObject(into, decoder, at)
	case jx.Array:
		return appendArray(into, decoder, at)
	case jx.String:
		return appendString(into, decoder, at)
	case jx.Number:
		return appendNumber(into, decoder, at)
	}
	raw, err := decoder.Raw() // true, false, null, or nothing that JSON knows
	return append(into, raw...), err
}

// member is one of an object's, its value as a stretch of a shared buffer.
type member struct {
	name     string
	from, to int
}

func appendObject(into []byte, decoder *jx.Decoder, at *path) ([]byte, error) {
	var members []member
	var values []byte
	inner := &path{parent: at}
	err := decoder.ObjBytes(func(decoder *jx.Decoder, key []byte) (err error) {
		name := string(key)
		inner.name, inner.member = name, true
		if !utf8.ValidString(name) || strings.ContainsRune(name, utf8.RuneError) {
			return base.DeclineField(inner.String(), "the member's name is not Unicode text")
		}
		from := len(values)
		values, err = appendValue(values, decoder, inner)
		members = append(members, member{name, from, len(values)})
		return err
	})
	if err != nil {
		return nil, err
	}
	slices.SortFunc(members, func(a, b member) int { return strings.Compare(a.name, b.name) })
	into = append(into, '{')
	for place, one := range members {
		if place > 0 {
			if members[place-1].name == one.name {
				inner.name, inner.member = one.name, true
				return nil, base.DeclineField(inner.String(), "given twice")
			}
			into = append(into, ',')
		}
		into = appendText(into, one.name)
		into = append(into, ':')
		into = append(into, values[one.from:one.to]...)
	}
	return append(into, '}'), nil
}

func appendArray(into []byte, decoder *jx.Decoder, at *path) ([]byte, error) {
	into = append(into, '[')
	inner := &path{parent: at, index: -1}
	err := decoder.Arr(func(decoder *jx.Decoder) (err error) {
		if inner.index++; inner.index > 0 {
			into = append(into, ',')
		}
		into, err = appendValue(into, decoder, inner)
		return err
	})
	return append(into, ']'), err
}

func appendString(into []byte, decoder *jx.Decoder, at *path) ([]byte, error) {
	raw, err := decoder.Raw()
	if err != nil {
		return nil, err
	}
	if !utf8.Valid(raw) || !surrogatesPaired(raw) {
		return nil, base.DeclineField(at.String(), "is not Unicode text")
	}
	text, err := jx.DecodeBytes(raw).Str()
	return appendText(into, text), err
}

func appendText(into []byte, text string) []byte {
	writer := jx.Writer{Buf: into}
	writer.Str(text)
	return writer.Buf
}

// surrogatesPaired tells whether every surrogate that a string literal escapes
// has its other half: one alone would be read as the replacement character, as
// any other one alone.
func surrogatesPaired(literal []byte) bool {
	for at := 0; at < len(literal); at++ {
		if literal[at] != '\\' {
			continue
		}
		unit, escaped := unicodeEscape(literal[at:])
		switch {
		case !escaped:
			at++ // the escaped character, which may be a backslash
		case unit >= 0xDC00 && unit <= 0xDFFF:
			return false
		case unit >= 0xD800 && unit <= 0xDBFF:
			low, escaped := unicodeEscape(literal[at+escapeLength:])
			if !escaped || low < 0xDC00 || low > 0xDFFF {
				return false
			}
			at += 2*escapeLength - 1
		default:
			at += escapeLength - 1
		}
	}
	return true
}

// escapeLength is the length of a \uXXXX escape.
const escapeLength = 6

func unicodeEscape(text []byte) (unit uint64, ok bool) {
	if len(text) < escapeLength || !bytes.HasPrefix(text, []byte(`\u`)) {
		return 0, false
	}
	unit, err := strconv.ParseUint(string(text[2:escapeLength]), 16, 16)
	return unit, err == nil
}

// appendNumber writes a number as its coefficient and power of ten: 60.0, 6e1
// and 60 are all 6e1. No precision is lost, so that two numbers that differ in
// any digit stay different.
func appendNumber(into []byte, decoder *jx.Decoder, at *path) ([]byte, error) {
	raw, err := decoder.Raw()
	if err != nil {
		return nil, err
	}
	text, negative := strings.CutPrefix(string(raw), "-")
	power := 0
	if mantissa, exponent, ok := cutAny(text, "eE"); ok {
		digits := strings.TrimLeft(strings.TrimLeft(exponent, "+-"), "0")
		if len(digits) > exponentDigits {
			return nil, base.DeclineField(at.String(), "the number's exponent is out of range")
		}
		if power, err = strconv.Atoi(strings.TrimPrefix(exponent, "+")); err != nil {
			return nil, base.DeclineField(at.String(), "is not a number")
		}
		text = mantissa
	}
	whole, fraction, _ := strings.Cut(text, ".")
	power -= len(fraction)
	digits := strings.TrimLeft(whole+fraction, "0")
	if digits == "" {
		return append(into, '0'), nil
	}
	coefficient := strings.TrimRight(digits, "0")
	power += len(digits) - len(coefficient)
	if negative {
		into = append(into, '-')
	}
	into = append(into, coefficient...)
	if power == 0 {
		return into, nil
	}
	into = append(into, 'e')
	return strconv.AppendInt(into, int64(power), 10), nil
}

func cutAny(text, marks string) (before, after string, found bool) {
	if at := strings.IndexAny(text, marks); at >= 0 {
		return text[:at], text[at+1:], true
	}
	return text, "", false
}

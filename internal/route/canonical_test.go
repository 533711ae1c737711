package route_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"fordseam/internal/base"
	"fordseam/internal/route"

	"github.com/matryer/is"
)

// TestEquivalentDocumentsHaveOneCanonicalForm checks documents that differ only in white
// space, order of members, escapes and notation of numbers.
func TestEquivalentDocumentsHaveOneCanonicalForm(t *testing.T) {
	is := is.New(t)
	for canonical, spellings := range map[string][]string{
		`{"a":1,"b":[6e1,-25e-1,0,true,null,""]}`: {
			` { "b" : [ 60.0 , -2.50, 0.0e5 , true , null , "" ] , "a" : 1.000 } `,
			"{\"a\":10e-1,\n\t\"b\":[0.6E+2,-25e-1,-0,true,null,\"\"]}\r\n",
			`{"\u0062":[60,-2.5,0,true,null,""],"\u0061":1}`,
		},
		`{"é":"a/b\n😀"}`: {`{"\u00e9":"a\/b\u000a\ud83d\ude00"}`, "{\"é\":\"a/b\\n😀\"}"},
		`{}`:             {"{}", " {\n} "},
		`1e24`:           {`1000000000000000000000000`, `1.0e24`, `0.0001E28`},
	} {
		for _, spelling := range spellings {
			found, err := route.Canonicalize([]byte(spelling))
			is.NoErr(err)
			is.Equal(string(found), canonical)
		}
	}
}

// TestDifferentDocumentsHaveDifferentCanonicalForms guards against a change that is taken
// for a repetition of another one.
func TestDifferentDocumentsHaveDifferentCanonicalForms(t *testing.T) {
	is := is.New(t)
	seen := map[string]string{}
	for _, document := range []string{
		`{"a":1}`, `{"a":"1"}`, `{"a":1.0000000000000000000001}`, `{"a":-1}`, `{"a":null}`, `{}`, `{"a":[1]}`, `{"a":[]}`, `{"a":{}}`, `{"a":true}`, `{"a":false}`,
		`{"a":9007199254740992}`, `{"a":9007199254740993}`, `{"a":1e400}`, `{"a":1e401}`, `{"a":1e-400}`, `{"a":0}`,
		`{"a":[1,2]}`, `{"a":[2,1]}`, `{"a":[12]}`, `{"a":"b","c":"d"}`, `{"a":"b\",\"c\":\"d"}`, `{"A":1}`, `{"a":"\u0000"}`, `{"a":""}`, `{"a":"é"}`, `{"a":"e\u0301"}`,
	} {
		canonical, err := route.Canonicalize([]byte(document))
		is.NoErr(err)
		is.Equal(seen[string(canonical)], "") // no other document has this form
		seen[string(canonical)] = document
	}
}

// TestInvalidDocumentIsRejectedWithItsPath checks that the error names the field by its
// path, and that deep nesting and long names are bounded.
func TestInvalidDocumentIsRejectedWithItsPath(t *testing.T) {
	is := is.New(t)
	for document, field := range map[string]string{
		`{"a":1,"a":1}`: "a",
		`{"list":[{},{"inner":{"x":1,"y":2,"\u0078":3}}]}`: "list[1].inner.x",
		"{\"list\":[\"ok\",\"\xff\"]}":                     "list[1]",
		"{\"a\":{\"b\xff\":1}}":                            "a.b\uFFFD",
		`{"a":"\ud800"}`:                                   "a",
		`{"a":"\udc00\ud800"}`:                             "a",
		`{"a":"\ud800\u0041"}`:                             "a",
		`{"a":"\\\ud800"}`:                                 "a",
		`{"a":1e9999999}`:                                  "a",
		`{"a":1e-9999999}`:                                 "a",
		`{"a":1`:                                           "body",
		`{"a":1}{}`:                                        "body",
		`{"a":1}}`:                                         "body",
		`{"a":1} x`:                                        "body",
		`{"a":01}`:                                         "body",
		`{"a":NaN}`:                                        "body",
		`{"a":1.}`:                                         "body",
		`{"a":1,}`:                                         "body",
		``:                                                 "body",
		strings.Repeat("[", 1<<20):                         "[0]" + strings.Repeat("[0]", 32),
		strings.Repeat(`{"a":`, 1<<20):                     "a" + strings.Repeat(".a", 32),
		`{"` + strings.Repeat("k", 1<<20) + `":"\ud800"}`:       strings.Repeat("k", 64),
		`{"a":{"b":[` + strings.Repeat(`[`, 40) + `"\ud800"]}}`: "a.b" + strings.Repeat("[0]", 31),
	} {
		_, err := route.Canonicalize([]byte(document))
		requestErr := base.FindRequestError(err)
		is.True(requestErr != nil)
		is.Equal(requestErr.Status, 400)
		is.Equal(requestErr.Field, field)
	}
}

// reformat returns the same document in another format: indented, with other escapes
// and with the members in another order.
func reformat(t *testing.T, document []byte) []byte {
	decoder := json.NewDecoder(bytes.NewReader(document))
	decoder.UseNumber()
	var tree any
	if err := decoder.Decode(&tree); err != nil {
		t.Fatalf("%q: %v", document, err)
	}
	formatted, err := json.MarshalIndent(tree, " ", "\t")
	if err != nil {
		t.Fatal(err)
	}
	return formatted
}

// FuzzCanonical checks that the canonical form does not depend on the format of the
// document and is its own canonical form.
func FuzzCanonical(f *testing.F) {
	for _, document := range []string{`{"a":1.50,"b":["x",null,true,{"c":-0.0e-7}]}`, `"\ud83d\ude00\/\u0000"`, `[1e5,100000,1E+5]`, `{"a":1,"a":2}`, `{"<":"&\u2028"}`, "\"\x7f\"", `[]`, `-0`, `{"":{"":[]}}`} {
		f.Add([]byte(document))
	}
	f.Fuzz(func(t *testing.T, document []byte) {
		canonical, err := route.Canonicalize(document)
		if err != nil {
			if requestErr := base.FindRequestError(err); requestErr == nil || requestErr.Status != 400 || requestErr.Field == "" {
				t.Fatalf("%q: declined without naming a field: %v", document, err)
			}
			return
		}
		if !json.Valid(document) || !json.Valid(canonical) {
			t.Fatalf("%q became %q", document, canonical)
		}
		for _, variant := range [][]byte{canonical, reformat(t, document), reformat(t, canonical)} {
			again, err := route.Canonicalize(variant)
			if err != nil || !bytes.Equal(again, canonical) {
				t.Fatalf("the canonical form of %q is %q, but that of %q is %q (%v)", document, canonical, variant, again, err)
			}
		}
	})
}

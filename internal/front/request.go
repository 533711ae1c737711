// Package front is the face of the data plane to callers and the platform:
// it reads a request into a plan, made whole as data and checked before
// anything is done, and then carries the plan out. It knows no transport; the
// daemons put fasthttp in front of it and the simulator calls it as it is.
package front

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"fordseam/internal/base"
	"fordseam/internal/session"

	"github.com/go-faster/jx"
)

// Request is one HTTP request, its header names in lower case.
type Request struct {
	Method string
	Path   string
	Query  map[string]string
	Header map[string]string
	Body   []byte
}

// Response is whole, or carries a stream of events.
type Response struct {
	Status int
	Header map[string]string
	Body   []byte
	Stream *session.Reader
}

func answer(status int, body any) *Response {
	return &Response{Status: status, Header: map[string]string{"Content-Type": "application/json"}, Body: append(base.Encode(body), '\n')}
}

// ErrorResponse shows a verdict to a caller.
func ErrorResponse(err error) *Response {
	v := base.FromWire(err)
	status := v.Status
	if status == 0 {
		status = 500
	}
	response := answer(status, map[string]any{"error": v})
	if v.RetryAfter > 0 {
		response.Header["Retry-After"] = strconv.Itoa(v.RetryAfter)
	}
	return response
}

func bearer(r *Request) string {
	token, ok := strings.CutPrefix(r.Header["authorization"], "Bearer ")
	if !ok || token == "" {
		return ""
	}
	return base.Digest([]byte(token))
}

// messages reads a list of role and content and keeps it in one form.
func messages(into *json.RawMessage) base.FieldReader {
	return func(path string, d *jx.Decoder) error {
		if d.Next() != jx.Array {
			return base.DeclineField(path, "must be a list")
		}
		type message struct {
			Role    string `json:"role"`
			Content string `json:"content"`
		}
		list := []message{}
		err := d.Arr(func(d *jx.Decoder) error {
			at := fmt.Sprintf("%s[%d]", path, len(list))
			if d.Next() != jx.Object {
				return base.DeclineField(at, "must be an object")
			}
			var one message
			err := d.ObjBytes(func(d *jx.Decoder, key []byte) error {
				switch string(key) {
				case "role":
					return base.Text(&one.Role, 64)(at+".role", d)
				case "content":
					return base.Text(&one.Content, 1<<24)(at+".content", d)
				}
				return base.DeclineField(at+"."+string(key), "unknown field")
			})
			if err != nil {
				return err
			}
			if one.Role != "system" && one.Role != "user" && one.Role != "assistant" && one.Role != "tool" {
				return base.DeclineField(at+".role", `must be "system", "user", "assistant" or "tool"`)
			}
			list = append(list, one)
			return nil
		})
		if err != nil {
			return err
		}
		if len(list) == 0 {
			return base.DeclineField(path, "must not be empty")
		}
		*into = base.Encode(list)
		return nil
	}
}

const cursorMark = "v1:"

// cursor is opaque to callers: a version, the session and the last place.
func makeCursor(sessionID string, place uint64) string {
	if place == 0 {
		return ""
	}
	return base64.RawURLEncoding.EncodeToString([]byte(cursorMark + sessionID + ":" + strconv.FormatUint(place, 10)))
}

func readCursor(sessionID, given string) (uint64, error) {
	if given == "" {
		return 0, nil
	}
	raw, err := base64.RawURLEncoding.DecodeString(given)
	bad := base.DeclineField("cursor", "not a cursor of this listing")
	if err != nil {
		return 0, bad
	}
	rest, ok := strings.CutPrefix(string(raw), cursorMark+sessionID+":")
	if !ok {
		return 0, bad
	}
	place, err := strconv.ParseUint(rest, 10, 64)
	if err != nil || place == 0 {
		return 0, bad
	}
	return place, nil
}

func readLimit(given string) (int, error) {
	if given == "" {
		return 100, nil
	}
	limit, err := strconv.Atoi(given)
	if err != nil || limit < 1 || limit > 1000 {
		return 0, base.DeclineField("limit", "must be between 1 and 1000")
	}
	return limit, nil
}

func checkName(field, given string) error {
	if given == "" || len(given) > 128 {
		return base.DeclineField(field, "must be 1 to 128 characters")
	}
	for _, c := range given {
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_' || c == '.' || c == ':') {
			return base.DeclineField(field, "may hold letters, digits and -_.: only")
		}
	}
	return nil
}

// Package front implements the gateway's HTTP API for callers and the platform. A
// request is first parsed and validated completely, and then carried out. The
// package does not depend on a transport: the daemons serve it with fasthttp, and
// the simulator calls it directly.
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

// Request is one HTTP request. The names in Header are in lower case.
type Request struct {
	Method string
	Path   string
	Query  map[string]string
	Header map[string]string
	Body   []byte
}

// Response is an HTTP response with either a complete body or a stream of events.
type Response struct {
	Status int
	Header map[string]string
	Body   []byte
	Stream *session.Reader
}

// jsonResponse is a response with a JSON body.
func jsonResponse(status int, body any) *Response {
	return &Response{Status: status, Header: map[string]string{"Content-Type": "application/json"}, Body: append(base.MustMarshal(body), '\n')}
}

// ErrorResponse converts an error to the response that a caller gets.
func ErrorResponse(err error) *Response {
	requestErr := base.ToRequestError(err)
	status := requestErr.Status
	if status == 0 {
		status = 500
	}
	response := jsonResponse(status, map[string]any{"error": requestErr})
	if requestErr.RetryAfter > 0 {
		response.Header["Retry-After"] = strconv.Itoa(requestErr.RetryAfter)
	}
	return response
}

// bearerDigest returns the digest of the request's bearer token, or "" without one.
func bearerDigest(r *Request) string {
	token, ok := strings.CutPrefix(r.Header["authorization"], "Bearer ")
	if !ok || token == "" {
		return ""
	}
	return base.Digest([]byte(token))
}

// readMessages reads a list of messages, each with a role and content, and stores it
// in normalized JSON.
func readMessages(dst *json.RawMessage) base.FieldReader {
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
			itemPath := fmt.Sprintf("%s[%d]", path, len(list))
			if d.Next() != jx.Object {
				return base.DeclineField(itemPath, "must be an object")
			}
			var item message
			err := d.ObjBytes(func(d *jx.Decoder, key []byte) error {
				switch string(key) {
				case "role":
					return base.StringField(&item.Role, 64)(itemPath+".role", d)
				case "content":
					return base.StringField(&item.Content, 1<<24)(itemPath+".content", d)
				}
				return base.DeclineField(itemPath+"."+string(key), "unknown field")
			})
			if err != nil {
				return err
			}
			if item.Role != "system" && item.Role != "user" && item.Role != "assistant" && item.Role != "tool" {
				return base.DeclineField(itemPath+".role", `must be "system", "user", "assistant" or "tool"`)
			}
			list = append(list, item)
			return nil
		})
		if err != nil {
			return err
		}
		if len(list) == 0 {
			return base.DeclineField(path, "must not be empty")
		}
		*dst = base.MustMarshal(list)
		return nil
	}
}

// cursorPrefix is the version of the cursor format.
const cursorPrefix = "v1:"

// encodeCursor returns a cursor, which is opaque to callers: the version of its
// format, the session and the last position listed. The cursor of position 0 is "".
func encodeCursor(sessionID string, position uint64) string {
	if position == 0 {
		return ""
	}
	return base64.RawURLEncoding.EncodeToString([]byte(cursorPrefix + sessionID + ":" + strconv.FormatUint(position, 10)))
}

// decodeCursor returns the position in a cursor of the session's listing.
func decodeCursor(sessionID, encoded string) (uint64, error) {
	if encoded == "" {
		return 0, nil
	}
	raw, err := base64.RawURLEncoding.DecodeString(encoded)
	invalid := base.DeclineField("cursor", "not a valid cursor for this listing")
	if err != nil {
		return 0, invalid
	}
	rest, ok := strings.CutPrefix(string(raw), cursorPrefix+sessionID+":")
	if !ok {
		return 0, invalid
	}
	position, err := strconv.ParseUint(rest, 10, 64)
	if err != nil || position == 0 {
		return 0, invalid
	}
	return position, nil
}

// parseLimit returns the page size, by default 100.
func parseLimit(text string) (int, error) {
	if text == "" {
		return 100, nil
	}
	limit, err := strconv.Atoi(text)
	if err != nil || limit < 1 || limit > 1000 {
		return 0, base.DeclineField("limit", "must be between 1 and 1000")
	}
	return limit, nil
}

// validateName checks a name or id that a caller chose.
func validateName(field, name string) error {
	if name == "" || len(name) > 128 {
		return base.DeclineField(field, "must be 1 to 128 characters")
	}
	for _, c := range name {
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_' || c == '.' || c == ':') {
			return base.DeclineField(field, "may contain only letters, digits and -_.:")
		}
	}
	return nil
}

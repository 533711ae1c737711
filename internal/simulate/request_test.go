package simulate

import "fordseam/internal/front"

func requestOf(method, path, secret string, query map[string]string) *front.Request {
	return &front.Request{Method: method, Path: path, Query: query, Header: map[string]string{"authorization": "Bearer " + secret}}
}

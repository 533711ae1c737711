package sockets

import (
	"net/url"

	"fordseam/internal/standin/platform"

	"github.com/valyala/fasthttp"
)

// CallControl sends a request to the control API of a node and follows redirects. A
// status of 0 means that the outcome is unknown.
func CallControl(method, address, path string, header [][2]string, body []byte) (status int, responseBody []byte) {
	target := "http://" + address + path
	for redirects := 0; ; redirects++ {
		request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		request.Header.SetMethod(method)
		request.SetRequestURI(target)
		request.SetConnectionClose()
		if body != nil {
			request.Header.SetContentType("application/json")
			request.SetBody(body)
		}
		for _, field := range header {
			request.Header.Set(field[0], field[1])
		}
		err := fasthttp.DoTimeout(request, response, platform.OrderTimeout(len(body)))
		status, responseBody = response.StatusCode(), append([]byte(nil), response.Body()...)
		location := string(response.Header.Peek("Location"))
		fasthttp.ReleaseRequest(request)
		fasthttp.ReleaseResponse(response)
		if err != nil {
			return 0, nil
		}
		if status != 307 || redirects >= platform.MaxRedirects {
			return status, responseBody
		}
		if parsed, err := url.Parse(location); err != nil || parsed.Host == "" {
			return status, responseBody
		}
		target = location
	}
}

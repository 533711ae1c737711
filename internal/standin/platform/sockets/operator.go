// The operator's calls over HTTP, with their redirects.

package sockets

import (
	"net/url"

	"fordseam/internal/standin/platform"

	"github.com/valyala/fasthttp"
)

// CallControl makes one call to a node that serves control, with its
// redirects; status 0 is no clear answer.
func CallControl(method, address, path string, header [][2]string, body []byte) (status int, answer []byte) {
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
		for _, line := range header {
			request.Header.Set(line[0], line[1])
		}
		err := fasthttp.DoTimeout(request, response, platform.OrderTimeout(len(body)))
		status, answer = response.StatusCode(), append([]byte(nil), response.Body()...)
		location := string(response.Header.Peek("Location"))
		fasthttp.ReleaseRequest(request)
		fasthttp.ReleaseResponse(response)
		if err != nil {
			return 0, nil
		}
		if status != 307 || redirects >= platform.MaxRedirects {
			return status, answer
		}
		if parsed, err := url.Parse(location); err != nil || parsed.Host == "" {
			return status, answer
		}
		target = location
	}
}

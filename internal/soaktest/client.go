package soaktest

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"tamarindlead/internal/wire"
)

const (
	// maxIdleConnsPerController limits the idle connections that are kept to one controller.
	maxIdleConnsPerController = 64
	idleConnTimeout           = 10 * time.Second
)

// httpClient sends requests to the controllers.
type httpClient struct{ client *http.Client }

func newHTTPClient() *httpClient {
	return &httpClient{&http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxIdleConnsPerController, IdleConnTimeout: idleConnTimeout,
	}}}
}

// send sends a request and returns its result. It waits for at most timeout.
func (h *httpClient) send(ctx context.Context, method, addr, target string, body []byte, timeout time.Duration) callResult {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+addr+target, bytes.NewReader(body))
	if err != nil {
		return callResult{failure: failureRefused}
	}
	request.Header.Set("Content-Type", wire.ContentType)
	response, err := h.client.Do(request)
	if err != nil {
		return callResult{failure: failureTimeout}
	}
	defer func() { _ = response.Body.Close() }() // the body has been read
	data, err := io.ReadAll(io.LimitReader(response.Body, maxMessageBytes))
	if err != nil {
		return callResult{failure: failureTimeout}
	}
	return callResult{status: response.StatusCode, body: data, retryAfter: response.Header.Get("Retry-After")}
}

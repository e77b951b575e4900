package httpwire

import "testing"

func TestAppendRequest(t *testing.T) {
	tests := []struct {
		name string
		req  OutgoingRequest
		want string
	}{
		{
			"without body",
			OutgoingRequest{Method: "GET", Target: "/kv?prefix=a/", Host: "h:1", ContentType: "application/cbor"},
			"GET /kv?prefix=a/ HTTP/1.1\r\nHost: h:1\r\nContent-Length: 0\r\n\r\n",
		},
		{
			"with body",
			OutgoingRequest{Method: "POST", Target: "/a", Host: "h:1", ContentType: "application/cbor", Body: []byte("abc")},
			"POST /a HTTP/1.1\r\nHost: h:1\r\nContent-Type: application/cbor\r\nContent-Length: 3\r\n\r\nabc",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := string(AppendRequest([]byte("before"), tt.req)); got != "before"+tt.want {
				t.Errorf("got %q, want \"before\" followed by %q", got, tt.want)
			}
		})
	}
}

func TestAppendResponse(t *testing.T) {
	tests := []struct {
		name string
		resp OutgoingResponse
		want string
	}{
		{
			"without body",
			OutgoingResponse{Status: 200, ContentType: "text/plain"},
			"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		},
		{
			"with body",
			OutgoingResponse{Status: 413, ContentType: "text/plain", Body: []byte("hi")},
			"HTTP/1.1 413 Content Too Large\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nhi",
		},
		{
			"retry and close",
			OutgoingResponse{Status: 503, RetryAfter: 7, Close: true},
			"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 7\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		},
		{
			"status without a reason phrase",
			OutgoingResponse{Status: 409},
			"HTTP/1.1 409 Status\r\nContent-Length: 0\r\n\r\n",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := string(AppendResponse([]byte("before"), tt.resp)); got != "before"+tt.want {
				t.Errorf("got %q, want \"before\" followed by %q", got, tt.want)
			}
		})
	}
}

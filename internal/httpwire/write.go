package httpwire

import (
	"net/http"
	"strconv"
)

// AppendRequest appends a request to dst and returns the extended slice.
func AppendRequest(dst []byte, req OutgoingRequest) []byte {
	dst = append(dst, req.Method...)
	dst = append(dst, ' ')
	dst = append(dst, req.Target...)
	dst = append(dst, " HTTP/1.1\r\nHost: "...)
	dst = append(dst, req.Host...)
	return appendBody(dst, req.ContentType, req.Body, false)
}

// AppendResponse appends a response to dst and returns the extended slice.
func AppendResponse(dst []byte, resp OutgoingResponse) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(resp.Status), 10)
	dst = append(dst, ' ')
	dst = append(dst, reasonPhrase(resp.Status)...)
	if resp.RetryAfter > 0 {
		dst = append(dst, "\r\nRetry-After: "...)
		dst = strconv.AppendInt(dst, int64(resp.RetryAfter), 10)
	}
	return appendBody(dst, resp.ContentType, resp.Body, resp.Close)
}

// appendBody appends the headers that requests and responses share, and the body.
func appendBody(dst []byte, contentType string, body []byte, closeConnection bool) []byte {
	if len(body) > 0 {
		dst = append(dst, "\r\nContent-Type: "...)
		dst = append(dst, contentType...)
	}
	if closeConnection {
		dst = append(dst, "\r\nConnection: close"...)
	}
	dst = append(dst, "\r\nContent-Length: "...)
	dst = strconv.AppendInt(dst, int64(len(body)), 10)
	dst = append(dst, "\r\n\r\n"...)
	return append(dst, body...)
}

// reasonPhrase returns the text after the status. It does not use http.StatusText, which returns
// other texts for some statuses, since peers have always received these texts.
func reasonPhrase(status int) string {
	switch status {
	case http.StatusOK:
		return "OK"
	case http.StatusCreated:
		return "Created"
	case http.StatusBadRequest:
		return "Bad Request"
	case http.StatusNotFound:
		return "Not Found"
	case http.StatusMethodNotAllowed:
		return "Method Not Allowed"
	case http.StatusRequestEntityTooLarge:
		return "Content Too Large"
	case http.StatusMisdirectedRequest:
		return "Misdirected Request"
	case http.StatusUnprocessableEntity:
		return "Unprocessable Content"
	case http.StatusTooManyRequests:
		return "Too Many Requests"
	case http.StatusServiceUnavailable:
		return "Service Unavailable"
	default:
		return "Status"
	}
}

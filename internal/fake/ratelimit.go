package fake

import (
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// tokenBucket limits a rate, with bursts of the amount of one second.
type tokenBucket struct {
	used      float64 // of the amount of one second
	updatedAt micros.Micros
}

// take takes n tokens, and reports whether that many were left. Without a rate there is no limit.
func (b *tokenBucket) take(n int, rate float64, now micros.Micros) bool {
	if rate <= 0 {
		*b = tokenBucket{updatedAt: now}
		return true
	}
	b.used = max(0, b.used-rate*(now-b.updatedAt).Seconds())
	b.updatedAt = now
	if b.used+float64(n) > rate {
		return false
	}
	b.used += float64(n)
	return true
}

// throttle counts a request beyond a rate and returns its response.
func (s *KVStore) throttle() Response {
	s.Throttled++
	return newErrorResponse(wire.StatusTooManyRequests, "too many")
}

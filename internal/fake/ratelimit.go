package fake

import (
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// tokenBucket limits a rate. Its capacity, which limits bursts, is the amount of one second.
type tokenBucket struct {
	used      float64 // tokens taken and not refilled yet
	updatedAt micros.Micros
}

// take takes n tokens if that many are left, and reports whether it did. A rate of 0 means no limit.
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

// throttle counts a request that exceeds a rate, and returns its error response.
func (s *KVStore) throttle() Response {
	s.Throttled++
	return newErrorResponse(wire.StatusTooManyRequests, "too many")
}

// Package micros holds the one type for times and durations in this project:
// whole microseconds. Conversions happen at the edges only.
package micros

import (
	"math"
	"time"
)

// Micros is a point in time (since an arbitrary but fixed start) or a duration,
// in whole microseconds.
type Micros int64

// Usual durations.
const (
	Millisecond Micros = 1000
	Second      Micros = 1000 * Millisecond
	Minute      Micros = 60 * Second
	Hour        Micros = 60 * Minute
)

// FromSeconds converts decimal seconds, rounding to the nearest microsecond.
func FromSeconds(s float64) Micros { return Micros(math.Round(s * 1e6)) }

// FromMillis converts decimal milliseconds.
func FromMillis(ms float64) Micros { return Micros(math.Round(ms * 1e3)) }

// FromDuration converts from the standard library's type.
func FromDuration(d time.Duration) Micros { return Micros(d / time.Microsecond) }

// Seconds returns m in decimal seconds.
func (m Micros) Seconds() float64 { return float64(m) / 1e6 }

// Millis returns m in whole milliseconds.
func (m Micros) Millis() int64 { return int64(m / Millisecond) }

// Duration converts to the standard library's type.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// Time places m on the standard library's time line, for libraries that want one.
func (m Micros) Time() time.Time { return time.UnixMicro(int64(m)) }

// String prints m in seconds.
func (m Micros) String() string { return m.Duration().String() }

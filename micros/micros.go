// Package micros defines Micros, the type of all points in time and durations in this
// project: whole microseconds. Values are converted only where they enter or leave the
// process (settings, wire formats) and for the standard library, so that arithmetic is exact
// and a simulated clock is a plain integer. The package reads no clock.
package micros

import (
	"math"
	"time"
)

// Micros is a duration, or a point in time since an arbitrary but fixed epoch, in whole
// microseconds.
type Micros int64

// Common durations.
const (
	Millisecond Micros = 1000
	Second      Micros = 1000 * Millisecond
	Minute      Micros = 60 * Second
	Hour        Micros = 60 * Minute
)

// FromSeconds converts decimal seconds, rounding to the nearest microsecond.
func FromSeconds(seconds float64) Micros { return Micros(math.Round(seconds * float64(Second))) }

// FromMillis converts decimal milliseconds, rounding to the nearest microsecond.
func FromMillis(millis float64) Micros { return Micros(math.Round(millis * float64(Millisecond))) }

// FromDuration converts a time.Duration, truncating to whole microseconds.
func FromDuration(d time.Duration) Micros { return Micros(d / time.Microsecond) }

// Seconds returns m in decimal seconds.
func (m Micros) Seconds() float64 { return float64(m) / float64(Second) }

// Millis returns m in milliseconds, truncated to a whole number.
func (m Micros) Millis() int64 { return int64(m / Millisecond) }

// Duration returns m as a time.Duration.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// Time returns m as a time.Time, with the Unix epoch as the start.
func (m Micros) Time() time.Time { return time.UnixMicro(int64(m)) }

// String formats m like a time.Duration, for example "1m30s".
func (m Micros) String() string { return m.Duration().String() }

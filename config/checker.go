package config

import (
	"errors"
	"math"
	"net/netip"

	"tamarindlead/micros"
)

// checker validates values and keeps the first error, so that callers can read a whole
// file and check for an error at the end.
type checker struct{ err error }

// require records an error unless the condition holds.
func (c *checker) require(ok bool, key, problem string) {
	if !ok && c.err == nil {
		c.err = &KeyError{Key: key, Err: errors.New(problem)}
	}
}

// text requires a string that is not empty.
func (c *checker) text(key, value string) string {
	c.require(value != "", key, "missing")
	return value
}

// addr requires an IP address with a port.
func (c *checker) addr(key, value string) string {
	_, err := netip.ParseAddrPort(c.text(key, value))
	c.require(err == nil, key, "must be an IP address and a port")
	return value
}

// positive requires a finite number above 0.
func (c *checker) positive(key string, value float64) float64 {
	c.require(value > 0 && !math.IsInf(value, 0), key, "must be above 0")
	return value
}

// atLeastZero requires a finite number that is not negative.
func (c *checker) atLeastZero(key string, value float64) float64 {
	c.require(value >= 0 && !math.IsInf(value, 0), key, "must not be negative")
	return value
}

// seconds requires a duration above 0, given in decimal seconds.
func (c *checker) seconds(key string, value float64) micros.Micros {
	return micros.FromSeconds(c.positive(key, value))
}

// secondsAtLeastZero requires a duration that is not negative, given in decimal seconds.
func (c *checker) secondsAtLeastZero(key string, value float64) micros.Micros {
	return micros.FromSeconds(c.atLeastZero(key, value))
}

package kv

import "tamarindlead/micros"

// route is the path that a node's calls take to the store.
type route int

const (
	routeDirect route = iota
	routePeer
)

// Thresholds for switching from the direct route to a peer and back.
const (
	maxDirectFailures    = 2                        // consecutive failures before the switch to a peer
	directFailureTimeout = 500 * micros.Millisecond // time without a success before that switch
	probeInterval        = micros.Second            // time between probes of the direct route
)

// DirectlyConnected reports whether the store serves this node by the direct route.
func (c *Client) DirectlyConnected() bool {
	return c.route == routeDirect && c.directFailures < maxDirectFailures
}

// UsesPeerRoute reports whether calls go through a peer now.
func (c *Client) UsesPeerRoute() bool { return c.relayPeer() != "" }

// relayPeer returns the peer that calls go through now, or "" for the direct route.
func (c *Client) relayPeer() string {
	if c.route != routePeer {
		return ""
	}
	return c.host.ConnectedPeer()
}

// Unavailable reports whether the store serves neither this node nor a peer that could relay
// calls. User requests are then refused immediately. Renewals of the node's lease continue and
// detect when the store responds again.
func (c *Client) Unavailable() bool {
	return c.directFailures >= 2*maxDirectFailures && c.sinceSuccess() >= 2*directFailureTimeout && c.host.ConnectedPeer() == ""
}

// LastSuccess returns the time at which the store last responded by the direct route.
func (c *Client) LastSuccess() micros.Micros { return c.lastSuccess }

func (c *Client) sinceSuccess() micros.Micros { return c.host.Now() - c.lastSuccess }

// Tick switches to the route through a peer if the direct route fails, and probes the direct
// route after that.
func (c *Client) Tick() {
	switch c.route {
	case routeDirect:
		if c.directFailures >= maxDirectFailures && c.sinceSuccess() >= directFailureTimeout && c.host.ConnectedPeer() != "" {
			c.setRoute(routePeer)
		}
	case routePeer:
		c.probeDirectRoute()
	}
}

func (c *Client) probeDirectRoute() {
	now := c.host.Now()
	if c.probing || now < c.nextProbe {
		return
	}
	c.probing, c.nextProbe = true, now+probeInterval
	c.host.Send(c.probe, CallTimeout, func(r Response) {
		c.probing = false
		c.recordDirectResponse(r)
	})
}

// recordDirectResponse records the result of a call by the direct route. After any response of
// the store, the client uses that route again.
func (c *Client) recordDirectResponse(r Response) {
	if !r.storeResponded() {
		c.directFailures++
		return
	}
	c.directFailures, c.lastSuccess = 0, c.host.Now()
	c.setRoute(routeDirect)
}

func (c *Client) setRoute(r route) {
	if c.route == r {
		return
	}
	c.route = r
	c.log.Info("route to the key-value store changed", "via_peer", r == routePeer)
}

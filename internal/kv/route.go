package kv

import "tamarindlead/micros"

// DirectlyConnected tells whether the state service serves this node itself.
func (c *Client) DirectlyConnected() bool {
	return c.route == routeDirect && c.failures < maxDirectFailures
}

// UsesPeerRoute tells whether calls go through a peer now.
func (c *Client) UsesPeerRoute() bool { return c.route == routePeer && c.host.ConnectedPeer() != "" }

// Unavailable tells that the state service answers neither this node nor a peer that could relay.
// Users are then refused at once. Renewals of the node's lease go on and show when it answers
// again.
func (c *Client) Unavailable() bool {
	return c.failures >= 2*maxDirectFailures && c.sinceSuccess() >= 2*directFailureTimeout && c.host.ConnectedPeer() == ""
}

// LastSuccess is when the state service last answered this node itself.
func (c *Client) LastSuccess() micros.Micros { return c.lastSuccess }

func (c *Client) sinceSuccess() micros.Micros { return c.host.Now() - c.lastSuccess }

// Tick leaves the direct route when it does not work, and tries to return to it.
func (c *Client) Tick() {
	if c.route == routeDirect {
		if c.failures >= maxDirectFailures && c.sinceSuccess() >= directFailureTimeout && c.host.ConnectedPeer() != "" {
			c.setRoute(routePeer)
		}
		return
	}
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

// recordDirectResponse notes the end of a call by the direct route.
func (c *Client) recordDirectResponse(r Response) {
	if !r.answered() {
		c.failures++
		return
	}
	c.failures, c.lastSuccess = 0, c.host.Now()
	c.setRoute(routeDirect)
}

func (c *Client) setRoute(r route) {
	if c.route == r {
		return
	}
	c.route = r
	c.log.Info("route to the state service", "through_peer", r == routePeer)
}

package store

import "tamarindlead/micros"

// Served tells whether the state service serves this node itself.
func (c *Client) Served() bool {
	return c.route == routeDirect && c.failures < routeFailures
}

// ThroughPeer tells whether calls go through a peer now.
func (c *Client) ThroughPeer() bool { return c.route == routePeer && c.host.ServedPeer() != "" }

// Down tells that the state service answers neither this node nor a peer that could relay.
// Users are then refused at once. Renewals of the node's lease go on and show when it answers
// again.
func (c *Client) Down() bool {
	return c.failures >= 2*routeFailures && c.sinceSuccess() >= 2*routeSilence && c.host.ServedPeer() == ""
}

// LastSuccess is when the state service last answered this node itself.
func (c *Client) LastSuccess() micros.Micros { return c.lastSuccess }

func (c *Client) sinceSuccess() micros.Micros { return c.host.Now() - c.lastSuccess }

// Tick leaves the direct route when it does not work, and tries to return to it.
func (c *Client) Tick() {
	if c.route == routeDirect {
		if c.failures >= routeFailures && c.sinceSuccess() >= routeSilence && c.host.ServedPeer() != "" {
			c.setRoute(routePeer)
		}
		return
	}
	now := c.host.Now()
	if c.probing || now < c.nextProbe {
		return
	}
	c.probing, c.nextProbe = true, now+probeEvery
	c.host.Send(c.probe, Timeout, func(r Response) {
		c.probing = false
		c.noteDirect(r)
	})
}

// noteDirect notes the end of a call by the direct route.
func (c *Client) noteDirect(r Response) {
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

package controller

import (
	"tamarindlead/internal/kv"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// cloudTimeout is the timeout of a call to the cloud.
const cloudTimeout = 5 * micros.Second

// callCloud sends a request to the cloud. done gets status 0 if there is no response.
func (c *Core) callCloud(method, target string, body any, done func(status int, body []byte)) {
	var data []byte
	if body != nil {
		data = wire.Encode(body)
	}
	c.call(Call{
		Addr: c.cfg.CloudAddr, Method: method, Target: target, Body: data,
		Timeout: cloudTimeout, MaxBody: kv.MaxResponseBytes,
	}, func(e CallDone) { done(e.Status, e.Body) })
}

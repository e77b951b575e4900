package reactor

import (
	"net"
	"slices"
	"sync"
	"time"
)

// idleConnTimeout is the time for which an idle connection may be reused: servers close
// connections that are idle for longer.
const idleConnTimeout = 20 * time.Second

// idlePool holds the idle connections of a client by address. It limits their number for each
// address and in total, since hundreds of machines must not use up the node's sockets.
type idlePool struct {
	maxPerAddr int
	maxTotal   int

	mu     sync.Mutex
	byAddr map[string][]idleConn // the most recently used last
	total  int
	// order has the address of every connection that was put, the longest idle first. Entries of
	// connections that have been taken remain until the next compaction.
	order []string
}

// idleConn is an idle connection and the time at which it became idle.
type idleConn struct {
	conn  net.Conn
	since time.Time
}

func (c idleConn) expired() bool { return time.Since(c.since) >= idleConnTimeout }

func newIdlePool(maxPerAddr, maxTotal int) *idlePool {
	return &idlePool{maxPerAddr: maxPerAddr, maxTotal: maxTotal, byAddr: map[string][]idleConn{}}
}

// take removes and returns the most recently used connection to an address.
func (p *idlePool) take(addr string) (net.Conn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conns := p.byAddr[addr]; len(conns) > 0; conns = p.byAddr[addr] {
		last := conns[len(conns)-1]
		p.byAddr[addr] = conns[:len(conns)-1]
		p.total--
		if !last.expired() {
			return last.conn, true
		}
		discard(last.conn)
	}
	delete(p.byAddr, addr)
	return nil, false
}

// put adds a connection that has become idle, or closes it if there are already maxPerAddr
// connections to its address.
func (p *idlePool) put(addr string, conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.byAddr[addr]) >= p.maxPerAddr {
		discard(conn)
		return
	}
	p.evictLongestIdle()
	p.byAddr[addr] = append(p.byAddr[addr], idleConn{conn, time.Now()})
	p.total++
	p.order = append(p.order, addr)
	if len(p.order) > 4*p.maxTotal {
		p.compact()
	}
}

// evictLongestIdle closes the connections that have been idle for the longest time until another
// one can be added. The caller holds the lock.
func (p *idlePool) evictLongestIdle() {
	for len(p.order) > 0 && p.total >= p.maxTotal {
		addr := p.order[0]
		p.order = p.order[1:]
		if conns := p.byAddr[addr]; len(conns) > 0 {
			discard(conns[0].conn)
			p.byAddr[addr] = conns[1:]
			p.total--
		}
	}
}

// closeExpired closes the connections that have been idle for idleConnTimeout.
func (p *idlePool) closeExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.compact()
}

// compact closes expired connections and rebuilds the order from the remaining ones. The caller
// holds the lock.
func (p *idlePool) compact() {
	type entry struct {
		addr  string
		since time.Time
	}
	var entries []entry
	for addr, conns := range p.byAddr {
		unexpired := discardExpired(conns)
		if len(unexpired) == 0 {
			delete(p.byAddr, addr)
			continue
		}
		p.byAddr[addr] = unexpired
		for _, c := range unexpired {
			entries = append(entries, entry{addr, c.since})
		}
	}
	slices.SortFunc(entries, func(a, b entry) int { return a.since.Compare(b.since) })
	p.order = nil
	for _, e := range entries {
		p.order = append(p.order, e.addr)
	}
	p.total = len(entries)
}

// discardExpired closes the expired connections and returns the others in a new slice, since the
// old one may have a large capacity.
func discardExpired(conns []idleConn) []idleConn {
	var unexpired []idleConn
	for _, c := range conns {
		if c.expired() {
			discard(c.conn)
		} else {
			unexpired = append(unexpired, c)
		}
	}
	return unexpired
}

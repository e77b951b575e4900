package soaktest

import "fmt"

// links are the links between the parties of a run, except those to the workers.
type links struct {
	kvStore    []*link   // from each controller
	cloud      []*link   // from each controller
	users      []*link   // from users to each controller
	heartbeats []*link   // from workers to each controller
	peers      [][]*link // peers[i][j] is from controller i to controller j
}

// newLinks returns the links of a run with a number of controllers. Each link has its own stream of
// random numbers. The streams are numbered in the order in which the links are created.
func newLinks(seed uint64, controllers int) links {
	stream := streamLinks
	add := func(format string, args ...any) *link {
		stream++
		return newLink(fmt.Sprintf(format, args...), seed, stream)
	}
	var l links
	for i := range controllers {
		name := controllerName(i)
		l.kvStore = append(l.kvStore, add("%s to the key-value store", name))
		l.cloud = append(l.cloud, add("%s to the cloud", name))
		l.users = append(l.users, add("users to %s", name))
		l.heartbeats = append(l.heartbeats, add("workers to %s", name))
		var peers []*link
		for j := range controllers {
			peers = append(peers, add("%s to %s", name, controllerName(j)))
		}
		l.peers = append(l.peers, peers)
	}
	return l
}

// all returns all links.
func (l *links) all() []*link {
	var all []*link
	for _, list := range append([][]*link{l.kvStore, l.cloud, l.users, l.heartbeats}, l.peers...) {
		all = append(all, list...)
	}
	return all
}

// betweenPeers returns all links between a controller and the others.
func (l *links) betweenPeers(controller int) []*link {
	between := append([]*link{}, l.peers[controller]...)
	for from := range l.peers {
		between = append(between, l.peers[from][controller])
	}
	return between
}

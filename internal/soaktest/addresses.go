package soaktest

import (
	"errors"
	"fmt"
	"net"
)

// Hosts (the last octet of an address) and ports in the network of a run. The ports are below the
// range from which the system picks the ports of outgoing connections.
const (
	fakeHost       = 1
	workerHost     = 2
	controllerHost = 10   // first controller; each further one has the next host
	kvStorePort    = 7000 // plus the index of the controller that connects
	cloudPort      = 7100 // plus the index of the controller that connects
	peerPort       = 7200 // plus an offset for each pair of controllers
	usersPort      = 8080
	peersPort      = 8081
	workerPort     = 10000 // first worker; each further one has the next port
	workerPortEnd  = 32000 // end of the range; worker numbers wrap around before it
)

// maxNetworkAttempts limits how many loopback networks findNetwork tries.
const maxNetworkAttempts = 50

// errNoNetwork reports that every network that was tried is in use.
var errNoNetwork = errors.New("no loopback network is free")

// addresses determines the addresses of a run's parties. Each run has its own loopback network.
type addresses struct{ network string }

// findNetwork returns a loopback network that no other run uses. pick returns a random number below n.
func findNetwork(pick func(n int) int) (addresses, error) {
	for range maxNetworkAttempts {
		a := addresses{fmt.Sprintf("127.%d.%d", 1+pick(250), pick(250))}
		probe, err := net.Listen("tcp4", a.kvStore(0))
		if err != nil {
			continue
		}
		if err := probe.Close(); err != nil {
			return addresses{}, fmt.Errorf("network %s: %w", a.network, err)
		}
		return a, nil
	}
	return addresses{}, errNoNetwork
}

func (a addresses) at(host, port int) string { return fmt.Sprintf("%s.%d:%d", a.network, host, port) }

// kvStore returns the address at which a controller reaches the key-value store.
func (a addresses) kvStore(controller int) string { return a.at(fakeHost, kvStorePort+controller) }

// cloud returns the address at which a controller reaches the cloud.
func (a addresses) cloud(controller int) string { return a.at(fakeHost, cloudPort+controller) }

// peer returns the address at which one controller reaches another.
func (a addresses) peer(from, to int) string {
	return a.at(fakeHost, peerPort+from*maxControllers+to)
}

// users returns the address at which a controller listens for users and workers.
func (a addresses) users(controller int) string { return a.at(controllerHost+controller, usersPort) }

// peers returns the address at which a controller listens for its peers.
func (a addresses) peers(controller int) string { return a.at(controllerHost+controller, peersPort) }

// worker returns the address at which the n-th worker listens for commands.
func (a addresses) worker(n int) string {
	return a.at(workerHost, workerPort+n%(workerPortEnd-workerPort))
}

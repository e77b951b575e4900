package soaktest

import (
	"errors"
	"fmt"
	"net"
)

// Hosts and ports of a run's network. The ports are below those of outgoing connections.
const (
	fakeHost       = 1
	workerHost     = 2
	controllerHost = 10 // of the first controller; the others follow
	kvStorePort    = 7000
	cloudPort      = 7100
	peerPort       = 7200 // of the first pair of controllers; the others follow
	usersPort      = 8080
	peersPort      = 8081
	workerPort     = 10000 // of the first worker; the others follow
	lastWorkerPort = 32000
)

// maxNetworkAttempts limits the networks that are tried.
const maxNetworkAttempts = 50

// errNoNetwork reports that every network that was tried is in use.
var errNoNetwork = errors.New("no loopback network is free")

// addresses are the addresses of a run's parties, in a loopback network of its own.
type addresses struct{ network string }

// findNetwork returns a loopback network that no other run uses.
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
	return a.at(workerHost, workerPort+n%(lastWorkerPort-workerPort))
}

package soaktest

import "math/rand/v2"

// The streams of random numbers of a run. Each of its parts has its own stream, so that the draws of
// one do not depend on the timing of another.
const (
	streamHarness uint64 = iota + 1
	streamFaults
	streamJobs
	streamLinks // the links use the streams after this one

	streamLateCommands uint64 = 1 << 32 // above the streams of all links
)

func newRandom(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

// forkRandom returns a source of random numbers for another goroutine.
func forkRandom(rng *rand.Rand) *rand.Rand { return newRandom(rng.Uint64(), rng.Uint64()) }

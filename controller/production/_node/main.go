// Command node runs controller cores of the version whose tree it is built in, for tests of
// a later one: events come in on the standard input, effects go out on the standard output.
// The tests build it in a copy of the tree of the version in production.
package main

import (
	"encoding/gob"
	"io"
	"log/slog"
	"os"

	"tamarindlead/config"
	"tamarindlead/controller"
	"tamarindlead/micros"
)

// Ask is one order of a test; what is set tells what is asked.
type Ask struct {
	Node     int
	Now      micros.Micros
	Settings *config.Settings // a node starts
	Seed     uint64
	Debug    bool
	Request  *controller.Request  // an event for the node
	Done     *controller.CallDone // another one; none: the time passes
	Read     bool                 // a record is to be read
	Key      string
	Value    []byte
	Message  bool // Value is a message between siblings, to be read
}

// Answer is what became of it.
type Answer struct {
	Effects []Effect
	Owner   int // a number that changes with every new owner, 0: it owns nothing
	Active  bool
	Text    string
}

// Effect is either of the two.
type Effect struct {
	Call    *controller.Call
	Respond *controller.Respond
}

func main() {
	in, out := gob.NewDecoder(os.Stdin), gob.NewEncoder(os.Stdout)
	cores := map[int]*controller.Core{}
	for {
		var a Ask
		if err := in.Decode(&a); err != nil {
			if err == io.EOF {
				return
			}
			panic(err)
		}
		if err := out.Encode(handle(cores, &a)); err != nil {
			panic(err)
		}
	}
}

func handle(cores map[int]*controller.Core, a *Ask) Answer {
	switch {
	case a.Read:
		return Answer{Text: controller.ReadRecord(a.Key, a.Value)}
	case a.Message:
		return Answer{Text: controller.ReadMessage(a.Value)}
	case a.Settings != nil:
		w := io.Discard
		if a.Debug {
			w = os.Stderr
		}
		log := slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: slog.LevelDebug})).With("node", a.Settings.Node, "version", "production")
		cores[a.Node] = controller.New(a.Settings, a.Seed, log, a.Now, a.Now)
		return Answer{}
	}
	var ev controller.Event = controller.Tick{}
	if a.Request != nil {
		ev = *a.Request
	} else if a.Done != nil {
		ev = *a.Done
	}
	var out Answer
	for _, e := range cores[a.Node].Handle(a.Now, a.Now, ev) {
		switch e := e.(type) {
		case controller.Call:
			out.Effects = append(out.Effects, Effect{Call: &e})
		case controller.Respond:
			out.Effects = append(out.Effects, Effect{Respond: &e})
		}
	}
	out.Owner, out.Active = cores[a.Node].Owning()
	return out
}

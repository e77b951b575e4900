// Command node runs controller cores of the version whose source tree it is built in, for tests of
// a later version. It reads events from standard input and writes their effects to standard output.
// The tests build it in a copy of the source tree of the version in production.
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

// NodeRequest is a request of a test. The fields that are set select the operation.
type NodeRequest struct {
	Node     int
	Now      micros.Micros
	Settings *config.Settings // set: start a node
	Seed     uint64
	Debug    bool
	Request  *controller.Request  // an event for the node
	Done     *controller.CallDone // an event for the node; without Request and Done, the event is a Tick
	Read     bool                 // decode the record with key Key and value Value
	Key      string
	Value    []byte
	Message  bool // decode Value, a message between peers
}

// NodeResponse is the result of a request.
type NodeResponse struct {
	Effects []Effect
	Owner   int // changes with each new owner; 0 if the node owns no teams
	Active  bool
	Text    string // what was decoded
}

// Effect is an effect of an event: exactly one of the fields is set.
type Effect struct {
	Call    *controller.Call
	Respond *controller.Respond
}

func main() {
	in, out := gob.NewDecoder(os.Stdin), gob.NewEncoder(os.Stdout)
	cores := map[int]*controller.Core{}
	for {
		var request NodeRequest
		if err := in.Decode(&request); err != nil {
			if err == io.EOF {
				return
			}
			panic(err)
		}
		if err := out.Encode(handle(cores, &request)); err != nil {
			panic(err)
		}
	}
}

func handle(cores map[int]*controller.Core, request *NodeRequest) NodeResponse {
	switch {
	case request.Read:
		return NodeResponse{Text: controller.ReadRecord(request.Key, request.Value)}
	case request.Message:
		return NodeResponse{Text: controller.ReadMessage(request.Value)}
	case request.Settings != nil:
		logOutput := io.Discard
		if request.Debug {
			logOutput = os.Stderr
		}
		log := slog.New(slog.NewTextHandler(logOutput, &slog.HandlerOptions{Level: slog.LevelDebug})).With("node", request.Settings.Node, "version", "production")
		cores[request.Node] = controller.New(request.Settings, request.Seed, log, request.Now, request.Now)
		return NodeResponse{}
	}
	var ev controller.Event = controller.Tick{}
	if request.Request != nil {
		ev = *request.Request
	} else if request.Done != nil {
		ev = *request.Done
	}
	var response NodeResponse
	for _, e := range cores[request.Node].Handle(request.Now, request.Now, ev) {
		switch e := e.(type) {
		case controller.Call:
			response.Effects = append(response.Effects, Effect{Call: &e})
		case controller.Respond:
			response.Effects = append(response.Effects, Effect{Respond: &e})
		}
	}
	response.Owner, response.Active = cores[request.Node].Ownership()
	return response
}

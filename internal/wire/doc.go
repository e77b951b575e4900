// Package wire defines the CBOR messages that controllers exchange with users, workers and the
// cloud, and validates those that come from users and workers. It owns the encoding and the
// bounds of messages; it knows neither who sends a message nor what follows from one.
//
// The package is the edge at which the protocol's words end: they occur here, in tags, constants
// and error texts, and in the requests and messages of package kv. Everywhere else the code uses
// the terms of the field. The fields whose names differ from the words are:
//
//	word            Go term
//
//	apart           Spread
//	awaits          Dependencies
//	baton           FencingToken
//	berth           Machine
//	berths          Machines
//	build           Type
//	builds          MachineTypes, Entries
//	bundle          Image
//	cards           GPUs
//	desk            Team
//	dueS            DeadlineS
//	expectS         EstimateS
//	foreman         HeartbeatNode
//	hall            Zone
//	halls           Zones
//	heldS           AgeS
//	hire            RequestID
//	hourly          HourlyPrice
//	kept            Checkpointed
//	leg             Task
//	legs            Tasks
//	loaners         Spot
//	localGb         CacheGB
//	marketPrice     SpotPrice
//	orders          Commands
//	queue           Class
//	recallS         PreemptionNoticeS
//	ref             ID, Name
//	samePlace       OneZone
//	shift           AgentEpoch
//	sizeGb          ImageGB
//	snapshotS       CheckpointIntervalS
//	status          Phase
//	stowS           CheckpointDurationS
//	tick            HeartbeatSeq
//	try             Attempt
//	urgency         Priority
//	windDownS       GraceS
//
// Those of the key-value store, in package kv:
//
//	data            Value
//	failed          FailedPreconditions
//	guards          Preconditions
//	k               Key
//	ledger          Revision
//	stamp           Version
//	tenancy         Lease
//	ttlMs           TTLMillis
//
// Words that are values or paths have constants next to the type that they belong to, such as
// JobCancelled for "withdrawn" and PathHeartbeat for "/hello".
package wire

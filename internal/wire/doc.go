// Package wire defines the CBOR messages that controllers exchange with users, workers and the
// cloud, and validates those that come from users and workers. It defines the encoding and the
// bounds of messages; it does not depend on who sends a message or how it is handled.
//
// Some names in the protocol differ from the standard terms that the Go code uses. The names of
// the protocol occur only here, in tags, constants and error texts, and in the requests and
// messages of package kv. The fields whose Go names differ from their names in the protocol are:
//
//	protocol name   Go name
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
// The corresponding fields of the key-value store's protocol, in package kv, are:
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
// Values and paths of the protocol have constants, such as JobCancelled for "withdrawn" and
// PathHeartbeat for "/hello". The constants of values are next to their type.
package wire

package wire

// Paths of the HTTP interfaces of controllers, workers and the cloud.
const (
	PathJobs         = "/api/jobs" // on a controller: submissions, and below it jobs by id
	PathCancelSuffix = "/cancel"   // after a job's path
	PathHealth       = "/up"       // on a controller
	PathHeartbeat    = "/hello"    // on a controller: heartbeats of workers
	PathCommands     = "/orders"   // on a worker: commands sent directly
	PathInspect      = "/inspect"  // on a worker: returns a heartbeat, takes no commands
	PathMachineTypes = "/machine_types"
	PathRentals      = "/rentals" // on the cloud: scale-out requests, and the list of machines
	PathRelease      = "/rentals/release"
)

// Status is the status of an HTTP response.
type Status = int

// Statuses that the protocol uses.
const (
	StatusOK               Status = 200
	StatusCreated          Status = 201 // a new job was accepted
	StatusBadRequest       Status = 400
	StatusNotFound         Status = 404
	StatusMethodNotAllowed Status = 405
	StatusConflict         Status = 409 // a precondition, fencing token or agent epoch did not match
	StatusCompacted        Status = 410 // the revision to watch from is too old
	StatusMisdirected      Status = 421 // another controller handles the worker's heartbeats
	StatusUnprocessable    Status = 422 // the job can never run
	StatusTooManyRequests  Status = 429
	StatusUnavailable      Status = 503
)

package wire

// Paths of the interfaces.
const (
	PathJobs         = "/api/jobs" // on a controller: submissions, and below it jobs by id
	PathCancelSuffix = "/cancel"   // after a job's path
	PathHealth       = "/up"
	PathHeartbeat    = "/hello"   // on a controller: a worker reports
	PathCommands     = "/orders"  // on a worker: commands sent directly
	PathInspect      = "/inspect" // on a worker: its report, without commands
	PathMachineTypes = "/machine_types"
	PathRentals      = "/rentals" // on the cloud: requests for machines, and their list
	PathRelease      = "/rentals/release"
)

// Status is the status of an HTTP response.
type Status = int

// Statuses that the protocol uses.
const (
	StatusOK               Status = 200
	StatusAccepted         Status = 201 // a new job was accepted
	StatusBadRequest       Status = 400
	StatusNotFound         Status = 404
	StatusMethodNotAllowed Status = 405
	StatusConflict         Status = 409 // a guard, token or session did not match
	StatusCompacted        Status = 410 // the revision to watch from is too old
	StatusMisdirected      Status = 421 // a worker should report to another controller
	StatusUnprocessable    Status = 422 // the job can never run
	StatusTooManyRequests  Status = 429
	StatusUnavailable      Status = 503
)

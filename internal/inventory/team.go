package inventory

import (
	"tamarindlead/config"
	"tamarindlead/internal/cluster"
	"tamarindlead/sched"
)

// Team is a team that this owner owns.
type Team struct {
	Record   cluster.Team
	Used     sched.Resources // by the attempts of the team's jobs
	Stopping sched.Resources // the part of Used whose attempts are being stopped
	config.Team
}

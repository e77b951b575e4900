package inventory

import (
	"tamarindlead/config"
	"tamarindlead/internal/cluster"
	"tamarindlead/sched"
)

// Team is a team that this node owns.
type Team struct {
	Record   cluster.Team
	Used     sched.Resources
	Stopping sched.Resources // the part of it that is being stopped
	config.Team
}

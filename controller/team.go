package controller

import (
	"tamarindlead/config"
	"tamarindlead/internal/cluster"
	"tamarindlead/sched"
)

// team is a team that this node owns.
type team struct {
	record   cluster.Team
	used     sched.Resources
	stopping sched.Resources // the part of it that is being stopped
	config.Team
}

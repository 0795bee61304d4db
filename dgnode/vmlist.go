package dgnode

import (
	"context"
	"time"

	"dandeliongap.example/dandeliongap"
)

// vmListEvery is the time between two reads of the platform's VM list. The list
// lags by about as long.
const vmListEvery = 30 * time.Second

// readVMList looks for this VM in the platform's VM list. A VM that is listed as
// leaving hands its replicas over and disappears from the list of addresses
// before it is told to stop; it goes on serving callers until then. The list is
// used for nothing else, since it lags: a VM that it does not show may be new.
func (c *control) readVMList(now dandeliongap.Instant) {
	if c.vms == nil || now < c.nextVMs || c.vmLeaving.Load() {
		return
	}
	c.nextVMs = now.Add(vmListEvery/2 + time.Duration(c.rng.Int64N(int64(vmListEvery))))
	c.call(callLimit, func(ctx context.Context) {
		vms, err := c.vms.VMs(ctx)
		c.platform(err)
		for _, vm := range vms {
			if vm.Name == c.self.VM && vm.Leaving {
				c.leaveListed()
			}
		}
	})
}

func (c *control) leaveListed() {
	if c.vmLeaving.Swap(true) {
		return
	}
	c.log.Info("membership", "Rule", "M7", "Choice", "leave, as the VM list says that this VM leaves")
	c.memberEvent(c.member.Leave)
}

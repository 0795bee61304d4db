package dgnode

import (
	"context"
	"time"

	"dandeliongap.example/dandeliongap"
)

// vmListInterval is the mean time between two reads of the platform's VM list. The
// list lags behind by about as long.
const vmListInterval = 30 * time.Second

// readVMList checks whether the platform's VM list shows this VM as leaving. If so,
// the VM hands over its replicas and leaves the list of addresses before the
// platform stops it, and goes on serving callers until then. The list is used for
// nothing else because it lags behind: a VM that is missing from it may be new.
func (c *control) readVMList(now dandeliongap.Instant) {
	if c.vms == nil || now < c.nextVMList || c.vmLeaving.Load() {
		return
	}
	c.nextVMList = now.Add(vmListInterval/2 + time.Duration(c.rng.Int64N(int64(vmListInterval))))
	c.call(callTimeout, func(ctx context.Context) {
		vms, err := c.vms.VMs(ctx)
		c.recordPlatformCall(err)
		for _, vm := range vms {
			if vm.Name == c.self.VM && vm.Leaving {
				c.leaveOnVMList()
			}
		}
	})
}

func (c *control) leaveOnVMList() {
	if c.vmLeaving.Swap(true) {
		return
	}
	c.log.Info("membership", "Rule", "M7", "Choice", "leave, because the VM list shows this VM as leaving")
	c.postMemberEvent(c.member.Leave)
}

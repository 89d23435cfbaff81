package relay

import (
	"context"

	"github.com/pkg/errors"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/gate/conns"
)

// checkEnd returns an error if a body that has been read to its end may be incomplete: it
// has no length, and its target has gone down. The kernel closes the connections of a
// process that crashes like one that has sent everything, and then refuses others; a target
// that is silent or busy isn't down. The body is here, so the check outlasts ctx.
func (run *run) checkEnd(ctx context.Context, response *conns.TargetResponse, target agatestage.Endpoint) error {
	if !response.EndsWithConnection() {
		return nil
	}
	timer := run.clock.NewTimer(crashProbeDelay)
	defer timer.Stop()
	<-timer.C()
	if err := run.conns.Dial(context.WithoutCancel(ctx), target.Address); refused(err) {
		return errors.Wrap(err, "the target went down as an answer without a length ended")
	}
	return nil
}

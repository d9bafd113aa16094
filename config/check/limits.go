package check

import (
	"slices"
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/config/fleet"
	"github.com/filbertmux/filbertmux/rankgroup/experts"
)

// bufferCopies is the memory that reading a body or headers needs, relative to their size:
// the full buffer is copied to a larger one while it grows.
const bufferCopies = 2

// checkTimes reports times of routes that contradict each other.
func (f *configFindings) checkTimes() {
	for i := range f.config().Routes {
		r := &f.config().Routes[i]
		f.checkNegative(routeRef(i, fleet.FieldTimeout), "the timeout of "+routeName(r), int64(r.Timeout))
		f.checkNegative(routeRef(i, fleet.FieldLatencyObjective), "the objective of "+routeName(r), int64(r.LatencyObjective))
		f.checkNegative(routeRef(i, fleet.FieldEventGapObjective), "the event gap objective of "+routeName(r), int64(r.EventGapObjective))
		f.checkObjective(i, r)
		f.checkEventGap(i, r)
	}
}

func (f *configFindings) checkObjective(i int, r *fleet.Route) {
	if r.Timeout <= 0 || r.LatencyObjective <= 0 {
		return
	}
	if r.LatencyObjective > r.Timeout {
		f.add(ObjectiveExceedsTimeout, routeRef(i, fleet.FieldLatencyObjective),
			"%s ends requests after %v, before its objective of %v", routeName(r), r.Timeout, r.LatencyObjective)
		return
	}
	// The product may exceed the range of a duration.
	if needed := float64(r.MaxAttempts) * float64(r.LatencyObjective); r.MaxAttempts > 1 && needed > float64(r.Timeout) {
		f.add(AttemptsExceedTimeout, routeRef(i, fleet.FieldMaxAttempts),
			"%d attempts of %v each, the objective of %s, don't fit into its timeout of %v",
			r.MaxAttempts, r.LatencyObjective, routeName(r), r.Timeout)
	}
}

func (f *configFindings) checkEventGap(i int, r *fleet.Route) {
	ref := routeRef(i, fleet.FieldEventGapObjective)
	switch gap := r.EventGapObjective; {
	case gap <= 0:
	case r.Timeout > 0 && gap > r.Timeout:
		f.add(GapExceedsTimeout, ref, "%s allows %v between two events, but ends requests after %v", routeName(r), gap, r.Timeout)
	case r.LatencyObjective > 0 && gap > r.LatencyObjective:
		f.add(GapExceedsObjective, ref, "%s allows %v between two events, but only %v until the first one", routeName(r), gap, r.LatencyObjective)
	}
}

// checkNegative reports a number below 0. The processes take it for one that isn't stated.
func (f *configFindings) checkNegative(ref fleet.Ref, what string, number int64) {
	if number < 0 {
		f.add(NegativeNumber, ref, "%s is negative and counts as not stated", what)
	}
}

// checkEngines reports engines that can't meet the objectives of their routes, and those
// whose expert maps can't be planned.
func (f *configFindings) checkEngines() {
	for i, name := range f.Document.ServiceNames {
		engine := f.config().Services[name].Engine
		if engine == nil || f.lastService[name] != i {
			continue
		}
		f.checkPass(i, name, engine)
		if e := engine.Experts; e != nil {
			if err := experts.CheckSizes(e.LayerSets, e.ExpertsPerLayer, e.SlotsPerRank); err != nil {
				f.add(ExpertsExceedPlanner, serviceRef(i, fleet.FieldEngine),
					"the groups of service %s keep their initial expert map: %s", word(name), errkind.Of(err).Message)
			}
		}
	}
}

func (f *configFindings) checkPass(i int, name string, engine *fleet.Engine) {
	gap := f.config().EventGapObjective(name)
	// The product may exceed the range of a duration.
	pass := float64(engine.StepsPerPass) * float64(engine.StepTime)
	if gap <= 0 || pass <= float64(gap) {
		return
	}
	f.add(PassExceedsGap, serviceRef(i, fleet.FieldStepTime),
		"a pass of the engines of service %s takes %v without any request, but a route allows only %v between two events",
		word(name), time.Duration(min(pass, float64(maxPass))), gap)
}

// maxPass bounds the time of a pass in messages.
const maxPass = time.Duration(1 << 62)

// checkLimits reports limits for callers that contradict each other.
func (f *configFindings) checkLimits() {
	l := f.config().Limits
	f.checkNegative(limitsRef(fleet.FieldMaxHeaderBytes), "the limit for headers", int64(l.MaxHeaderBytes))
	f.checkNegative(limitsRef(fleet.FieldMaxBodyBytes), "the limit for bodies", int64(l.MaxBodyBytes))
	f.checkNegative(limitsRef(fleet.FieldHeaderTimeout), "the header timeout", int64(l.HeaderTimeout))
	f.checkNegative(limitsRef(fleet.FieldIdleTimeout), "the idle timeout", int64(l.IdleTimeout))
	if l.HeaderTimeout > l.IdleTimeout && l.IdleTimeout > 0 {
		f.add(HeaderTimeoutExceedsIdle, limitsRef(fleet.FieldHeaderTimeout),
			"a connection may stay idle for %v, but take %v for the headers of a request", l.IdleTimeout, l.HeaderTimeout)
	}
}

// checkDeployment reports limits that don't fit the settings of the platform.
func (f *configFindings) checkDeployment() {
	d := f.Deployment
	if d == nil {
		return
	}
	f.checkMemory(fleet.FieldMaxHeaderBytes, "headers", f.config().Limits.MaxHeaderBytes)
	f.checkMemory(fleet.FieldMaxBodyBytes, "bodies", f.config().Limits.MaxBodyBytes)
	if d.MaxRecordBytes > 0 && f.Document.RecordBytes > d.MaxRecordBytes {
		f.add(FileExceedsStore, fleet.Ref{}, "the store takes records of at most %d bytes, and this one has %d", d.MaxRecordBytes, f.Document.RecordBytes)
	}
	f.checkRetryRatio()
}

func (f *configFindings) checkMemory(field fleet.Field, what string, limit int) {
	memory := f.Deployment.MemoryBytes
	if memory > 0 && float64(limit) > float64(memory)/bufferCopies {
		f.add(LimitExceedsMemory, limitsRef(field), "an instance with %d bytes of memory can't read %s of %d bytes", memory, what, limit)
	}
}

// checkRetryRatio reports that routes and settings disagree whether requests are retried.
func (f *configFindings) checkRetryRatio() {
	ratio, extra := f.Deployment.RetryRatio, f.Deployment.RetryExtra
	several := slices.IndexFunc(f.config().Routes, func(r fleet.Route) bool { return r.MaxAttempts > 1 })
	switch {
	case several >= 0 && ratio <= 0 && extra <= 0:
		r := &f.config().Routes[several]
		f.add(RetryRatioUnused, routeRef(several, fleet.FieldMaxAttempts),
			"%s allows %d attempts, but the settings of the platform allow no retries", routeName(r), r.MaxAttempts)
	case several < 0 && ratio > 0 && len(f.config().Routes) > 0:
		f.add(RetryRatioUnused, fleet.Ref{Entry: fleet.EntryRoutes},
			"the settings of the platform allow %v retries for each request, but no route allows a second attempt", ratio)
	}
}

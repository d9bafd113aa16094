package check_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/filbertmux/filbertmux/config/check"
	"github.com/filbertmux/filbertmux/config/fleet"
)

// refPath stands for the path of a part of a configuration.
func refPath(ref fleet.Ref) string { return fmt.Sprint(ref) }

// findings returns the paths of the findings with one of the codes.
func findings(c *fleet.Config, deployment *fleet.Regions, codes ...check.Code) []string {
	d := check.Document{Config: c, Locate: func(ref fleet.Ref) check.Place { return check.Place{Path: refPath(ref)} }}
	for name := range c.Services {
		d.ServiceNames = append(d.ServiceNames, name)
	}
	run := check.ConfigCheck{File: "f", Document: d}
	if deployment != nil {
		run.Deployment = &check.Deployment{Regions: *deployment}
	}
	var paths []string
	for _, f := range run.Run().Findings {
		if slices.Contains(codes, f.Code) {
			paths = append(paths, f.Path)
		}
	}
	return paths
}

// Guards against a route that is called hidden or unreachable although the gateways select
// it for some request, and the reverse.
func TestUnmatchedRoutesAreThoseThatNoRequestSelects(t *testing.T) {
	hosts := rapid.SampledFrom([]string{"", "a", "A", "b", "a:80", "[::1]", "::1"})
	prefixes := rapid.SampledFrom([]string{"", "/", "/x", "/x/", "/x/y/", "x/", "/ /", "/?/", "/\n/"})
	rapid.Check(t, func(t *rapid.T) {
		c := &fleet.Config{}
		for range rapid.IntRange(0, 6).Draw(t, "routes") {
			c.Routes = append(c.Routes, fleet.Route{Host: hosts.Draw(t, "host"), PathPrefix: prefixes.Draw(t, "prefix")})
		}
		index := fleet.NewIndex(c)
		unmatched := findings(c, nil, check.HiddenRoute, check.UnreachableRoute)
		selected := 0
		for i := range c.Routes {
			r := &c.Routes[i]
			// A route that isn't selected for its own prefix is selected for no other path either.
			path := cmp.Or(r.PathPrefix, "/")
			got, ok := index.Route(r.Host, path)
			matches := ok && got == r && servable(r.Host, path)
			if matches {
				selected++
			}
			flagged := slices.Contains(unmatched, refPath(fleet.Ref{Entry: fleet.EntryRoute, Index: i, Field: fleet.FieldHost})) ||
				slices.Contains(unmatched, refPath(fleet.Ref{Entry: fleet.EntryRoute, Index: i, Field: fleet.FieldPathPrefix}))
			require.Equal(t, !matches, flagged, "route %d of %+v", i, c.Routes)
		}
		require.Len(t, unmatched, len(c.Routes)-selected)
	})
}

// servable reports whether a request can have a host and a path.
func servable(host, path string) bool {
	return host != "" && path[0] == '/' && !slices.ContainsFunc([]byte(path), func(c byte) bool { return c <= ' ' || c == '?' })
}

// Guards against a key that is said to count for another organisation although it doesn't,
// and the reverse.
func TestDuplicateKeysAreThoseOfOtherOrganisations(t *testing.T) {
	keys := rapid.SliceOfN(rapid.SampledFrom([]string{"k1", "k2", "k3", "k4"}), 0, 3)
	rapid.Check(t, func(t *rapid.T) {
		c := &fleet.Config{}
		for i := range rapid.IntRange(0, 4).Draw(t, "organisations") {
			c.Organisations = append(c.Organisations, fleet.Organisation{Name: fmt.Sprint("o", i), Keys: keys.Draw(t, "keys")})
		}
		index := fleet.NewIndex(c)
		duplicates := findings(c, nil, check.DuplicateKey)
		for i, o := range c.Organisations {
			for n, key := range o.Keys {
				holder, ok := index.Organisation(key)
				require.True(t, ok)
				repeated := slices.Contains(o.Keys[:n], key)
				ref := fleet.Ref{Entry: fleet.EntryOrganisation, Index: i, Field: fleet.FieldKey, Item: n}
				require.Equal(t, holder.Name != o.Name || repeated, slices.Contains(duplicates, refPath(ref)), "%+v", c.Organisations)
			}
		}
	})
}

// Guards against warnings at the very limit, and against limits beyond it that pass.
func TestLimitsAtTheirBounds(t *testing.T) {
	base := fleet.Route{
		Host: "a", PathPrefix: "/", Timeout: time.Second, LatencyObjective: 500 * time.Millisecond,
		EventGapObjective: 500 * time.Millisecond, MaxAttempts: 2, Targets: []fleet.Target{{Service: "s", Weight: 1}},
	}
	engine := fleet.Engine{StepsPerPass: 5, StepTime: 100 * time.Millisecond, Experts: &fleet.Experts{LayerSets: 1, ExpertsPerLayer: 1024, SlotsPerRank: 256}}
	limits := fleet.Limits{HeaderTimeout: time.Second, IdleTimeout: time.Second}
	all := []check.Code{
		check.AttemptsExceedTimeout, check.ObjectiveExceedsTimeout, check.GapExceedsTimeout, check.GapExceedsObjective,
		check.PassExceedsGap, check.ExpertsExceedPlanner, check.HeaderTimeoutExceedsIdle,
	}
	codes := func(edit func(*fleet.Route, *fleet.Engine, *fleet.Limits)) []check.Code {
		r, e, l := base, engine, limits
		experts := *engine.Experts
		e.Experts = &experts
		edit(&r, &e, &l)
		c := &fleet.Config{Routes: []fleet.Route{r}, Services: map[string]fleet.Service{"s": {Name: "s", Engine: &e}}, Limits: l}
		var found []check.Code
		for _, code := range all {
			if len(findings(c, nil, code)) > 0 {
				found = append(found, code)
			}
		}
		return found
	}
	require.Empty(t, codes(func(*fleet.Route, *fleet.Engine, *fleet.Limits) {}))
	for code, edit := range map[check.Code]func(*fleet.Route, *fleet.Engine, *fleet.Limits){
		check.AttemptsExceedTimeout:    func(r *fleet.Route, _ *fleet.Engine, _ *fleet.Limits) { r.LatencyObjective++ },
		check.ObjectiveExceedsTimeout:  func(r *fleet.Route, _ *fleet.Engine, _ *fleet.Limits) { r.LatencyObjective = r.Timeout + 1 },
		check.GapExceedsObjective:      func(r *fleet.Route, _ *fleet.Engine, _ *fleet.Limits) { r.EventGapObjective++ },
		check.GapExceedsTimeout:        func(r *fleet.Route, _ *fleet.Engine, _ *fleet.Limits) { r.EventGapObjective = r.Timeout + 1 },
		check.PassExceedsGap:           func(_ *fleet.Route, e *fleet.Engine, _ *fleet.Limits) { e.StepTime++ },
		check.ExpertsExceedPlanner:     func(_ *fleet.Route, e *fleet.Engine, _ *fleet.Limits) { e.Experts.ExpertsPerLayer++ },
		check.HeaderTimeoutExceedsIdle: func(_ *fleet.Route, _ *fleet.Engine, l *fleet.Limits) { l.HeaderTimeout++ },
	} {
		require.Equal(t, []check.Code{code}, codes(edit))
	}
	require.Empty(t, codes(func(r *fleet.Route, _ *fleet.Engine, _ *fleet.Limits) {
		r.MaxAttempts, r.LatencyObjective = 1, r.Timeout
	}))
	overflow := codes(func(r *fleet.Route, e *fleet.Engine, _ *fleet.Limits) {
		r.MaxAttempts, r.LatencyObjective, r.Timeout = 1<<62, 1<<61, 1<<61
		e.StepsPerPass, e.StepTime = 1<<62, 1<<61
	})
	require.Equal(t, []check.Code{check.AttemptsExceedTimeout, check.PassExceedsGap}, overflow)
}

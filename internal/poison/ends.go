package poison

import (
	"slices"
)

// maxEnds bounds the ends of runners kept per request.
const maxEnds = 80

// end is a runner that ended under a request.
type end struct {
	runner string
	run    Run
}

// ends returns all ends of the finding, those that count first.
func (f Finding) ends() []end {
	all := make([]end, 0, len(f.Runners)+len(f.Beside))
	for i, runner := range f.Runners {
		all = append(all, end{runner, runAt(f.Runs, i)})
	}
	for i, runner := range f.Beside {
		all = append(all, end{runner, runAt(f.BesideRuns, i)})
	}
	return all
}

// endedTrial reports whether a runner ended under a trial.
func (f Finding) endedTrial(runner string) bool {
	return slices.ContainsFunc(f.ends(), func(one end) bool { return one.runner == runner && one.run.Trial })
}

// runAt returns a run of a list that may lack it.
func runAt(runs []Run, i int) Run {
	if i < len(runs) {
		return runs[i]
	}
	return Run{}
}

// add adds an end, or what another report says of when it was, and reports whether that changed which ends
// are known or count.
func (f *Finding) add(runner string, run Run) (changed bool) {
	ends := f.ends()
	at := slices.IndexFunc(ends, func(one end) bool { return one.runner == runner })
	if at < 0 && len(ends) >= maxEnds {
		return false
	}
	if at < 0 {
		ends = append(ends, end{runner, run})
	} else {
		ends[at].run = ends[at].run.earlier(run)
	}
	counted := len(f.Runners)
	*f = f.with(ends)
	return at < 0 || len(f.Runners) != counted
}

// with returns the finding with these ends. Which of them count follows from the ends alone, so that nodes that
// know the same ends agree, in whichever order they learned of them: of those that overlap, the first one
// counts. An end of which it is not known when it was counts.
func (f Finding) with(ends []end) Finding {
	ordered := slices.Clone(ends)
	slices.SortStableFunc(ordered, func(a, b end) int { return a.run.Ended.Compare(b.run.Ended) })
	counted := make(map[string]Run, len(ends))
	for _, one := range ordered {
		beside := false
		for _, other := range counted {
			beside = beside || one.run.besides(other)
		}
		if !beside {
			counted[one.runner] = one.run
		}
	}
	f.Runners, f.Runs, f.Beside, f.BesideRuns = nil, nil, nil, nil
	for _, one := range ends {
		if _, counts := counted[one.runner]; counts {
			f.Runners, f.Runs = append(f.Runners, one.runner), append(f.Runs, one.run)
		} else {
			f.Beside, f.BesideRuns = append(f.Beside, one.runner), append(f.BesideRuns, one.run)
		}
	}
	if !slices.ContainsFunc(f.Runs, Run.known) {
		f.Runs = nil
	}
	return f
}

// Adopted returns a finding of another node as one for this node: what that node refuses is refused here as
// well, unless the times that are known here rule it out.
func (f Finding) Adopted() Finding {
	if len(f.Runners) < RefuseThreshold {
		return f
	}
	f.Runs = slices.Clone(f.Runs)
	for i := range f.Runs {
		f.Runs[i].Counted = true
	}
	return f
}

// Without returns the finding without the ends of some runners.
func (f Finding) Without(left func(runner string) bool) Finding {
	return f.with(slices.DeleteFunc(f.ends(), func(one end) bool { return left(one.runner) }))
}

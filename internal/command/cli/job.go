package cli

import (
	"fmt"
	"time"

	"snipetack/internal/transport/operator"
)

type jobList struct {
	listFlags
	Account string `long:"account" description:"all jobs of this account; without it, the jobs of all accounts with work left" value-name:"ACCOUNT"`
}

func (c jobList) run(e *environment) error {
	f, err := c.client()
	if err != nil {
		return err
	}
	jobs, err := f.Jobs(e.ctx, c.Account)
	if err != nil {
		return err
	}
	var l []any
	for _, j := range jobs {
		l = append(l, j)
	}
	return output(e, c.JSON, l, jobTable(jobs))
}

// jobFlags select one job.
type jobFlags struct {
	listFlags
	Account    string `long:"account" description:"account of the job; may be left out while it has work left" value-name:"ACCOUNT"`
	Positional struct {
		ID string `positional-arg-name:"JOB" description:"id of the job"`
	} `positional-args:"yes" required:"yes"`
}

type jobShow struct {
	jobFlags
}

func (c jobShow) run(e *environment) error {
	f, err := c.client()
	if err != nil {
		return err
	}
	j, err := f.Job(e.ctx, c.Positional.ID, c.Account)
	if err != nil {
		return err
	}
	return output(e, c.JSON, []any{j}, jobTable([]operator.Job{j}))
}

type jobCancel struct {
	jobFlags
}

func (c jobCancel) run(e *environment) error {
	f, err := c.client()
	if err != nil {
		return err
	}
	j, err := f.CancelJob(e.ctx, c.Positional.ID, c.Account)
	if err != nil {
		return err
	}
	return output(e, c.JSON, []any{j}, jobTable([]operator.Job{j}))
}

func jobTable(l []operator.Job) *table {
	t := newTable("JOB", "ACCOUNT", "MODEL", "STATUS", "ITEMS", "DONE", "FAILED", "DUE", "IN DANGER")
	for _, j := range l {
		danger := "no"
		if j.AtRisk {
			danger = "yes"
		}
		t.add(j.ID, j.Account, j.Model, j.Status, fmt.Sprint(j.Items), fmt.Sprint(j.Done), fmt.Sprint(j.Failed), formatTime(unixTime(j.Due)), danger)
	}
	return t
}

// unixTime converts Unix seconds; 0 stands for no time and becomes the zero time.
func unixTime(seconds int64) time.Time {
	if seconds == 0 {
		return time.Time{}
	}
	return time.Unix(seconds, 0)
}

package operator

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"snipetack/internal/coordination/consensus"
	"snipetack/internal/protocol/reply"
	"snipetack/internal/state/result"
	"snipetack/internal/transport/keeper"
)

// KeeperProvider sends requests to the keepers.
type KeeperProvider interface {
	// Keepers returns the report of every keeper; one that did not respond has its Error set.
	Keepers(ctx context.Context) []keeper.Report
	// Act applies an action to a VM in all groups and returns the number of groups that it changed.
	Act(ctx context.Context, a keeper.Action, vm string) (changed int, err error)
}

// KeeperReport is the JSON form of a keeper's report; Error tells why a keeper gave none.
type KeeperReport struct {
	VM      string        `json:"vm"`
	Replica string        `json:"replica,omitempty"`
	Groups  []GroupReport `json:"groups,omitempty"`
	Error   string        `json:"error,omitempty"`
}

// GroupReport is the JSON form of a keeper's view of a group. Last, Commit, Applied and Snapshot are log indexes.
type GroupReport struct {
	Group    uint32   `json:"group"`
	Leader   string   `json:"leader"`
	Term     uint64   `json:"term"`
	Leads    bool     `json:"leads"`
	Last     uint64   `json:"last"`
	Commit   uint64   `json:"commit"`
	Applied  uint64   `json:"applied"`
	Snapshot uint64   `json:"snapshot"`
	Voters   []string `json:"voters"`
	Learners []string `json:"learners"`
}

// KeeperChange is the JSON form of an action's outcome.
type KeeperChange struct {
	ChangedGroups int `json:"changed_groups"`
}

// MountKeepers adds the operators' routes for keepers to a server.
func MountKeepers(s *Server, p KeeperProvider) {
	s.Mount("GET /operator/v1/keepers", func(w http.ResponseWriter, r *http.Request, _ string) {
		l := []KeeperReport{}
		for _, k := range p.Keepers(r.Context()) {
			l = append(l, keeperReportOf(k))
		}
		reply.JSON(w, http.StatusOK, l)
	})
	actions := map[string]keeper.Action{"add": keeper.Add, "remove": keeper.Remove, "transfer": keeper.Transfer}
	for name, a := range actions {
		s.Mount("POST /operator/v1/keepers/"+name, func(w http.ResponseWriter, r *http.Request, operator string) {
			vm := r.URL.Query().Get("vm")
			if vm == "" {
				reply.Failure(w, result.New(result.MalformedRequest, "name a VM with ?vm="))
				return
			}
			n, err := p.Act(r.Context(), a, vm)
			s.d.Log.Info("keeper action", "action", name, "keeper", vm, "operator", operator, "groups", n, "error", err)
			if err != nil {
				reply.Failure(w, err)
				return
			}
			reply.JSON(w, http.StatusOK, KeeperChange{ChangedGroups: n})
		})
	}
}

// Keepers returns the report of every keeper.
func (c *Client) Keepers(ctx context.Context) ([]KeeperReport, error) {
	var l []KeeperReport
	return l, c.Get(ctx, "/operator/v1/keepers", &l)
}

// KeeperAction carries out an action on a VM's keeper: "add" makes it a member of the groups, "remove" takes it out of
// them, and "transfer" has it transfer its leaderships.
func (c *Client) KeeperAction(ctx context.Context, action, vm string) (KeeperChange, error) {
	var n KeeperChange
	err := c.Post(ctx, "/operator/v1/keepers/"+action+"?vm="+url.QueryEscape(vm), &n)
	return n, err
}

func keeperReportOf(k keeper.Report) KeeperReport {
	r := KeeperReport{VM: k.VM, Error: k.Error}
	if k.ID != 0 {
		r.Replica = fmt.Sprintf("%016x", k.ID)
	}
	for _, s := range k.Groups {
		r.Groups = append(r.Groups, GroupReport{
			Group:    s.Group,
			Leader:   s.Leader.VM,
			Term:     s.Term,
			Leads:    s.Leads,
			Last:     s.Last,
			Commit:   s.Commit,
			Applied:  s.Applied,
			Snapshot: s.Snapshot,
			Voters:   namesOf(s.Configuration.Voters),
			Learners: namesOf(s.Configuration.Learners),
		})
	}
	return r
}

func namesOf(l []consensus.Member) []string {
	n := []string{}
	for _, m := range l {
		n = append(n, m.VM)
	}
	return n
}

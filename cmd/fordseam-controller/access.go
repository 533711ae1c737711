// The operators' commands for which models teams may call. The rules are part
// of the settings tree and are changed with it.
package main

import (
	"fmt"
	"net/url"
	"strings"

	"fordseam/internal/access"
	"fordseam/internal/operate"

	"github.com/urfave/cli/v3"
)

func accessCommands() *cli.Command {
	return &cli.Command{Name: "access", Usage: "see which models teams may call; settings apply changes it", Commands: []*cli.Command{
		client("show", "show teams, their models, and who holds which settings", "", nil, showAccess),
		client("check", "tell whether a team may call a model, where, and why", "TEAM MODEL", nil, checkAccess),
		client("diff", "show what a document would give teams or take from them", "FILE", nil, diffAccess),
	}}
}

func showAccess(c *caller) error {
	var shown operate.AccessView
	if err := c.call("GET", "/v1/operator/access", nil, &shown); err != nil || c.quiet() {
		return err
	}
	if shown.Unrestricted {
		fmt.Println("no teams are set: everything is allowed")
	}
	rows := [][]string{{"TEAM", "GROUP", "UNDER", "MODELS", "DENIED"}}
	for _, one := range shown.Teams {
		rows = append(rows, []string{one.Team, one.Group, one.Parent, strings.Join(one.Models, " "), strings.Join(one.Denied, " ")})
	}
	if !shown.Unrestricted {
		table(rows)
	}
	showHolders(&shown.AccessState)
	return nil
}

func showHolders(state *operate.AccessState) {
	if state.InForce == state.Version {
		fmt.Printf("access: settings %d are in force\n", state.Version)
	} else {
		fmt.Printf("access: settings %d are being learnt, those of %d are in force\n", state.Version, state.InForce)
	}
	rows := [][]string{{"NODE", "HOLDS", "ASKED MS AGO"}}
	for _, one := range state.Holders {
		rows = append(rows, []string{one.Node, fmt.Sprint(one.Version), fmt.Sprint(one.AgoMs)})
	}
	if len(state.Holders) > 0 {
		table(rows)
	}
}

func checkAccess(c *caller) error {
	query := url.Values{"team": {c.command.Args().Get(0)}, "model": {c.command.Args().Get(1)}}
	var shown struct {
		Stamp   uint64          `json:"stamp"`
		Reasons []access.Reason `json:"reasons"`
	}
	if err := c.call("GET", "/v1/operator/access/check?"+query.Encode(), nil, &shown); err != nil || c.quiet() {
		return err
	}
	fmt.Printf("by settings %d\n", shown.Stamp)
	rows := [][]string{{"PLACE", "TEAM", "", "WHY"}}
	for _, one := range shown.Reasons {
		rows = append(rows, []string{one.Path, one.Team, map[bool]string{true: "allowed", false: "refused"}[one.Allowed], one.Why})
	}
	table(rows)
	return nil
}

func diffAccess(c *caller) error {
	content, err := document(c)
	if err != nil {
		return err
	}
	var shown struct {
		Stamp   uint64              `json:"stamp"`
		Changes []access.Difference `json:"changes"`
	}
	if err := c.call("POST", "/v1/operator/access/diff", content, &shown); err != nil || c.quiet() {
		return err
	}
	fmt.Printf("against stamp %d: %d changes\n", shown.Stamp, len(shown.Changes))
	rows := [][]string{}
	for _, one := range shown.Changes {
		rows = append(rows, []string{one.Effect, one.Team, one.Model, one.Path})
	}
	table(rows)
	return nil
}

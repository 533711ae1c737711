package main

import (
	"fmt"
	"net/url"
	"strings"

	"fordseam/internal/access"
	"fordseam/internal/operate"

	"github.com/urfave/cli/v3"
)

// accessCommands returns the operators' commands that show which models teams may
// call. The rules are part of the settings tree and are changed with it.
func accessCommands() *cli.Command {
	return &cli.Command{Name: "access", Usage: "show which models teams may call; change it with settings apply", Commands: []*cli.Command{
		clientCommand("show", "show the teams, their models, and which node holds which settings", "", nil, showAccess),
		clientCommand("check", "show whether a team may call a model, and by which rules", "TEAM MODEL", nil, checkAccess),
		clientCommand("diff", "show the access that a settings document would grant or revoke", "FILE", nil, diffAccess),
	}}
}

func showAccess(c *coreClient) error {
	var view operate.AccessView
	if err := c.call("GET", "/v1/operator/access", nil, &view); err != nil || c.jsonOutput() {
		return err
	}
	if view.Unrestricted {
		fmt.Println("no teams are configured: everything is allowed")
	}
	rows := [][]string{{"TEAM", "GROUP", "UNDER", "MODELS", "DENIED"}}
	for _, team := range view.Teams {
		rows = append(rows, []string{team.Team, team.Group, team.Parent, strings.Join(team.Models, " "), strings.Join(team.Denied, " ")})
	}
	if !view.Unrestricted {
		printTable(rows)
	}
	printAccessState(&view.AccessState)
	return nil
}

// printAccessState prints which version of the access rules is in force, and the
// version that each node holds.
func printAccessState(state *operate.AccessState) {
	if state.InForce == state.Version {
		fmt.Printf("access: settings %d are in force\n", state.Version)
	} else {
		fmt.Printf("access: settings %d are being distributed, settings %d are in force\n", state.Version, state.InForce)
	}
	rows := [][]string{{"NODE", "HOLDS", "ASKED MS AGO"}}
	for _, holder := range state.Holders {
		rows = append(rows, []string{holder.Node, fmt.Sprint(holder.Version), fmt.Sprint(holder.AgoMs)})
	}
	if len(state.Holders) > 0 {
		printTable(rows)
	}
}

func checkAccess(c *coreClient) error {
	query := url.Values{"team": {c.command.Args().Get(0)}, "model": {c.command.Args().Get(1)}}
	var reply struct {
		Stamp   uint64          `json:"stamp"`
		Reasons []access.Reason `json:"reasons"`
	}
	if err := c.call("GET", "/v1/operator/access/check?"+query.Encode(), nil, &reply); err != nil || c.jsonOutput() {
		return err
	}
	fmt.Printf("according to settings %d\n", reply.Stamp)
	rows := [][]string{{"PLACE", "TEAM", "", "WHY"}}
	for _, reason := range reply.Reasons {
		rows = append(rows, []string{reason.Path, reason.Team, map[bool]string{true: "allowed", false: "refused"}[reason.Allowed], reason.Why})
	}
	printTable(rows)
	return nil
}

func diffAccess(c *coreClient) error {
	content, err := readSettingsDocument(c)
	if err != nil {
		return err
	}
	var reply struct {
		Stamp   uint64              `json:"stamp"`
		Changes []access.Difference `json:"changes"`
	}
	if err := c.call("POST", "/v1/operator/access/diff", content, &reply); err != nil || c.jsonOutput() {
		return err
	}
	fmt.Printf("against stamp %d: %d changes\n", reply.Stamp, len(reply.Changes))
	rows := [][]string{}
	for _, change := range reply.Changes {
		rows = append(rows, []string{change.Effect, change.Team, change.Model, change.Path})
	}
	printTable(rows)
	return nil
}

// The operators' commands for routes, the roster and machines being retired.
package main

import (
	"fmt"
	"net/url"
	"os"

	"fordseam/internal/base"
	"fordseam/internal/node"
	"fordseam/internal/operate"
	"fordseam/internal/relay"

	"github.com/urfave/cli/v3"
)

func routeCommands() *cli.Command {
	return &cli.Command{Name: "routes", Usage: "read and change the configuration of routes", Commands: []*cli.Command{
		client("get", "show the configuration in force, as it was written", "", nil, getRoutes),
		client("check", "check a document without applying it", "FILE", nil, checkRoutes),
		client("apply", "put a document in force", "FILE", []cli.Flag{
			&cli.Int64Flag{Name: "based-on", Value: -1, Usage: "`VERSION` the document builds on; required"}}, applyRoutes),
	}}
}

func getRoutes(c *caller) error {
	var shown operate.RoutesView
	if err := c.call("GET", "/v1/operator/routes", nil, &shown); err != nil || c.quiet() {
		return err
	}
	fmt.Fprintf(os.Stderr, "version %d\n", shown.Version)
	fmt.Println(string(shown.Document))
	return nil
}

func readDocument(c *caller) ([]byte, error) {
	document, err := os.ReadFile(c.command.Args().First())
	if err != nil {
		return nil, cli.Exit(err.Error(), node.ExitUsage)
	}
	return document, nil
}

func checkRoutes(c *caller) error {
	document, err := readDocument(c)
	if err != nil {
		return err
	}
	var shown struct {
		Version  uint64 `json:"version"`
		Routes   int    `json:"routes"`
		Services int    `json:"services"`
	}
	if err := c.call("POST", "/v1/operator/routes/check", document, &shown); err != nil || c.quiet() {
		return err
	}
	fmt.Printf("valid: version %d, %d routes, %d services\n", shown.Version, shown.Routes, shown.Services)
	return nil
}

func applyRoutes(c *caller) error {
	based := c.command.Int64("based-on")
	if based < 0 {
		return cli.Exit("--based-on must be given", node.ExitUsage)
	}
	document, err := readDocument(c)
	if err != nil {
		return err
	}
	body := append(fmt.Appendf(nil, `{"based_on":%d,"document":`, based), document...)
	var shown struct {
		Version uint64 `json:"version"`
	}
	if err := c.call("POST", "/v1/operator/routes/apply", append(body, '}'), &shown); err != nil || c.quiet() {
		return err
	}
	fmt.Printf("version %d is in force\n", shown.Version)
	return nil
}

func showRoster(c *caller) error {
	var found map[string]relay.Worker
	if err := c.call("GET", "/v1/operator/roster", nil, &found); err != nil || c.quiet() {
		return err
	}
	rows := [][]string{{"ID", "SERVICE", "ZONE", "ADDRESS", "CAPACITY", "STATE"}}
	for _, id := range base.SortedKeys(found) {
		one := found[id]
		rows = append(rows, []string{id, one.Service, one.Zone, one.Addr, fmt.Sprint(one.Capacity), map[bool]string{true: "draining", false: "ready"}[one.Draining]})
	}
	table(rows)
	return nil
}

func emptyingMachine(c *caller) error {
	var shown struct {
		Node  string `json:"node"`
		State string `json:"state"`
	}
	err := c.call("GET", "/v1/operator/storage/empty?node="+url.QueryEscape(c.command.Args().First()), nil, &shown)
	if err == nil && !c.quiet() {
		fmt.Printf("%s: %s\n", shown.Node, shown.State)
	}
	return err
}

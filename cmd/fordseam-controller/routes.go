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

// routeCommands returns the operators' commands for the configuration of routes.
func routeCommands() *cli.Command {
	return &cli.Command{Name: "routes", Usage: "show and change the configuration of routes", Commands: []*cli.Command{
		clientCommand("get", "show the document of the configuration in force, as it was applied", "", nil, getRoutes),
		clientCommand("check", "check a document without applying it", "FILE", nil, checkRoutes),
		clientCommand("apply", "apply a document", "FILE", []cli.Flag{
			&cli.Int64Flag{Name: "based-on", Value: -1, Usage: "`VERSION` of the configuration that the document is based on; required"}}, applyRoutes),
	}}
}

func getRoutes(c *coreClient) error {
	var view operate.RoutesView
	if err := c.call("GET", "/v1/operator/routes", nil, &view); err != nil || c.jsonOutput() {
		return err
	}
	fmt.Fprintf(os.Stderr, "version %d\n", view.Version)
	fmt.Println(string(view.Document))
	return nil
}

func readDocument(c *coreClient) ([]byte, error) {
	document, err := os.ReadFile(c.command.Args().First())
	if err != nil {
		return nil, cli.Exit(err.Error(), node.ExitUsage)
	}
	return document, nil
}

func checkRoutes(c *coreClient) error {
	document, err := readDocument(c)
	if err != nil {
		return err
	}
	var reply struct {
		Version  uint64 `json:"version"`
		Routes   int    `json:"routes"`
		Services int    `json:"services"`
	}
	if err := c.call("POST", "/v1/operator/routes/check", document, &reply); err != nil || c.jsonOutput() {
		return err
	}
	fmt.Printf("valid: version %d, %d routes, %d services\n", reply.Version, reply.Routes, reply.Services)
	return nil
}

func applyRoutes(c *coreClient) error {
	basedOn := c.command.Int64("based-on")
	if basedOn < 0 {
		return cli.Exit("--based-on is required: the version of the configuration that the document is based on", node.ExitUsage)
	}
	document, err := readDocument(c)
	if err != nil {
		return err
	}
	body := append(fmt.Appendf(nil, `{"based_on":%d,"document":`, basedOn), document...)
	var reply struct {
		Version uint64 `json:"version"`
	}
	if err := c.call("POST", "/v1/operator/routes/apply", append(body, '}'), &reply); err != nil || c.jsonOutput() {
		return err
	}
	fmt.Printf("version %d is in force\n", reply.Version)
	return nil
}

func showRoster(c *coreClient) error {
	var workers map[string]relay.Worker
	if err := c.call("GET", "/v1/operator/roster", nil, &workers); err != nil || c.jsonOutput() {
		return err
	}
	rows := [][]string{{"ID", "SERVICE", "ZONE", "ADDRESS", "CAPACITY", "STATE"}}
	for _, id := range base.SortedKeys(workers) {
		worker := workers[id]
		rows = append(rows, []string{id, worker.Service, worker.Zone, worker.Addr, fmt.Sprint(worker.Capacity), map[bool]string{true: "draining", false: "ready"}[worker.Draining]})
	}
	printTable(rows)
	return nil
}

// emptyingState prints the progress of emptying a storage machine.
func emptyingState(c *coreClient) error {
	var reply struct {
		Node  string `json:"node"`
		State string `json:"state"`
	}
	err := c.call("GET", "/v1/operator/storage/empty?node="+url.QueryEscape(c.command.Args().First()), nil, &reply)
	if err == nil && !c.jsonOutput() {
		fmt.Printf("%s: %s\n", reply.Node, reply.State)
	}
	return err
}

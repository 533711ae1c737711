package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/node"
	"fordseam/internal/operate"
	"fordseam/internal/register"
	"fordseam/internal/settings"
	"fordseam/internal/worker"

	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"
)

// clientCommands returns the commands of the operators' client. Each sends one HTTP
// request to a core and prints the reply for people or, with --json, unchanged.
func clientCommands() []*cli.Command {
	return []*cli.Command{
		clientCommand("init", "form the cluster, once, from blank storage machines", "STORAGE-ADDRESS...", nil, initCluster),
		{Name: "settings", Usage: "read and change the settings tree", Commands: []*cli.Command{
			clientCommand("get", "show the settings in force", "", nil, getSettings),
			clientCommand("check", "check a document without applying it", "FILE", nil, checkSettings),
			clientCommand("diff", "show what a document would change", "FILE", nil, diffSettings),
			clientCommand("apply", "apply a document", "FILE", []cli.Flag{
				&cli.Int64Flag{Name: "based-on", Value: -1, Usage: "`STAMP` of the settings that the document is based on; required"},
				&cli.StringFlag{Name: "change", Usage: "`ID` of the change, by which to retry it or ask for its outcome; generated if not given"}}, applySettings),
			clientCommand("outcome", "show the outcome of a change", "CHANGE-ID", nil, getOutcome),
			clientCommand("effective", "show the values in force at a level, and the level at which each is set", "[GROUP [SITE [ROUTE]]]", nil, effectiveSettings),
		}},
		clientCommand("status", "show the fleet as one core sees it", "", nil, showStatus),
		clientCommand("workers", "show the platform's worker list", "", nil, listWorkers),
		routeCommands(),
		accessCommands(),
		clientCommand("roster", "show the workers of the routes' services", "", nil, showRoster),
		{Name: "storage", Usage: "manage the disks", Commands: []*cli.Command{
			clientCommand("list", "show the disks and the progress of a change", "", nil, listStorage),
			clientCommand("admit", "add a blank storage machine", "STORAGE-ADDRESS", nil, admitStorage),
			clientCommand("retire", "remove a disk and empty it", "DISK-ID", nil, retireStorage),
			clientCommand("empty", "empty a storage machine, if disks are replaced automatically; if repeated, show the state", "NODE-NAME", nil, emptyStorage),
			clientCommand("emptying", "show the state of emptying a storage machine: active or complete", "MACHINE", nil, emptyingState),
		}},
		clientCommand("terminate", "end a program", "PROGRAM", []cli.Flag{
			&cli.StringFlag{Name: "mode", Value: "Drain", Usage: "`MODE`: Drain or Immediate; a later call can only change Drain to Immediate"}}, terminateProgram),
	}
}

// coreClient runs one command against one core.
type coreClient struct {
	command *cli.Command
	core    string
}

// clientCommand returns a command that takes args, one word each. A word in
// brackets is optional, and one that ends in "..." may be repeated.
func clientCommand(name, usage, args string, flags []cli.Flag, action func(*coreClient) error) *cli.Command {
	return &cli.Command{Name: name, Usage: usage, ArgsUsage: args,
		Flags: append(flags,
			&cli.StringFlag{Name: "core", Sources: cli.EnvVars("FORDSEAM_CORE"), Usage: "public address `IP:PORT` of any core; required"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"}),
		Action: func(_ context.Context, command *cli.Command) error {
			core := command.String("core")
			if core == "" {
				return cli.Exit("--core is required (or set FORDSEAM_CORE)", node.ExitUsage)
			}
			argNames := strings.Fields(args)
			minArgs := len(base.Filter(argNames, func(name string) bool { return !strings.HasPrefix(name, "[") }))
			maxArgs := len(argNames)
			if strings.HasSuffix(args, "...") {
				maxArgs = 64
			}
			if count := command.Args().Len(); count < minArgs || count > maxArgs {
				return cli.Exit(fmt.Sprintf("%s takes %s", name, strings.TrimSpace("arguments: "+args)), node.ExitUsage)
			}
			return action(&coreClient{command, core})
		}}
}

// call sends one request to the core. If it succeeds, call prints the reply with
// --json, and otherwise decodes it into reply.
func (c *coreClient) call(method, path string, body any, reply any) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + c.core + path)
	switch content := body.(type) {
	case nil:
	case []byte:
		request.SetBody(content)
	default:
		request.SetBody(base.MustMarshal(content))
	}
	if err := fasthttp.DoTimeout(request, response, 30*time.Second); err != nil {
		// A change may have been applied although its reply did not arrive.
		code := node.ExitFailed
		if strings.HasSuffix(path, "/apply") {
			code = node.ExitUnknown
		}
		return cli.Exit(fmt.Sprintf("%s: %v", c.core, err), code)
	}
	if response.StatusCode() != 200 {
		var failure struct {
			Error base.RequestError `json:"error"`
		}
		if json.Unmarshal(response.Body(), &failure) != nil || failure.Error.Code == "" {
			return cli.Exit(fmt.Sprintf("%s replied with status %d", c.core, response.StatusCode()), node.ExitFailed)
		}
		if c.command.Bool("json") {
			fmt.Print(string(response.Body()))
		}
		return cli.Exit(failureMessage(&failure.Error), exitCode(&failure.Error))
	}
	if c.command.Bool("json") {
		fmt.Print(string(response.Body()))
		return nil
	}
	return json.Unmarshal(response.Body(), reply)
}

// failureMessage returns the text of an error reply, with its code and the field
// that it is about.
func failureMessage(requestErr *base.RequestError) string {
	message := requestErr.Message
	if requestErr.Field != "" && !strings.HasPrefix(message, requestErr.Field) {
		message = requestErr.Field + ": " + message
	}
	if requestErr.Code == "unknown" {
		return "outcome unknown: " + message
	}
	return "refused (" + requestErr.Code + "): " + message
}

func exitCode(requestErr *base.RequestError) int {
	switch {
	case requestErr.Code == "unknown":
		return node.ExitUnknown
	case requestErr.Status == 400:
		return node.ExitUsage
	}
	return node.ExitFailed
}

func (c *coreClient) jsonOutput() bool { return c.command.Bool("json") }

// printTable prints rows of cells in aligned columns.
func printTable(rows [][]string) {
	writer := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	_ = writer.Flush()
}

func initCluster(c *coreClient) error {
	var reply struct {
		Cluster string `json:"cluster"`
		Disks   int    `json:"disks"`
	}
	err := c.call("POST", "/v1/operator/init", map[string]any{"disks": c.command.Args().Slice()}, &reply)
	if err == nil && !c.jsonOutput() {
		fmt.Printf("formed %s on %d disks\n", reply.Cluster, reply.Disks)
	}
	return err
}

func getSettings(c *coreClient) error {
	var record settings.Record
	err := c.call("GET", "/v1/operator/settings", nil, &record)
	if err == nil && !c.jsonOutput() {
		fmt.Printf("stamp %d\n%s\n", record.Version, record.Document)
	}
	return err
}

// readSettingsDocument reads the file named by the first argument and checks it, so
// that an invalid document is never sent.
func readSettingsDocument(c *coreClient) ([]byte, error) {
	content, err := os.ReadFile(c.command.Args().First())
	if err != nil {
		return nil, cli.Exit(err.Error(), node.ExitUsage)
	}
	if _, problems := settings.Parse(content); len(problems) > 0 {
		return nil, cli.Exit("invalid settings:\n  "+strings.ReplaceAll(settings.InvalidDocument(problems).Message, "\n", "\n  "), node.ExitUsage)
	}
	return content, nil
}

func checkSettings(c *coreClient) error {
	content, err := readSettingsDocument(c)
	if err != nil {
		return err
	}
	var valid map[string]bool
	if err := c.call("POST", "/v1/operator/settings/check", content, &valid); err != nil {
		return err
	}
	if !c.jsonOutput() {
		fmt.Println("valid")
	}
	return nil
}

func diffSettings(c *coreClient) error {
	content, err := readSettingsDocument(c)
	if err != nil {
		return err
	}
	var reply struct {
		Stamp       uint64                `json:"stamp"`
		Differences []settings.Difference `json:"differences"`
	}
	if err := c.call("POST", "/v1/operator/settings/diff", content, &reply); err != nil || c.jsonOutput() {
		return err
	}
	fmt.Printf("against stamp %d: %d values differ\n", reply.Stamp, len(reply.Differences))
	rows := [][]string{}
	for _, difference := range reply.Differences {
		if difference.Old != "" {
			rows = append(rows, []string{"-", difference.Path, difference.Old})
		}
		if difference.New != "" {
			rows = append(rows, []string{"+", difference.Path, difference.New})
		}
	}
	printTable(rows)
	return nil
}

func applySettings(c *coreClient) error {
	if c.command.Int64("based-on") < 0 {
		return cli.Exit("--based-on is required: the stamp of the settings that the document is based on (0 for the first document)", node.ExitUsage)
	}
	content, err := readSettingsDocument(c)
	if err != nil {
		return err
	}
	changeID := c.command.String("change")
	if changeID == "" {
		changeID = base.NewID(base.NewRealClock(), "change-")
	}
	if !c.jsonOutput() {
		fmt.Fprintf(os.Stderr, "change %s\n", changeID)
	}
	var outcome settings.Outcome
	err = c.call("POST", "/v1/operator/settings/apply", settings.Change{ID: changeID, BasedOn: uint64(c.command.Int64("based-on")), Document: content}, &outcome)
	return printOutcome(c, outcome, err)
}

func getOutcome(c *coreClient) error {
	var outcome settings.Outcome
	err := c.call("POST", "/v1/operator/settings/outcome", map[string]string{"change": c.command.Args().First()}, &outcome)
	return printOutcome(c, outcome, err)
}

func printOutcome(c *coreClient, outcome settings.Outcome, err error) error {
	if err == nil && !c.jsonOutput() {
		fmt.Printf("%s, the settings are at stamp %d\n", outcome.Outcome, outcome.Version)
	}
	return err
}

func effectiveSettings(c *coreClient) error {
	query := ""
	for index, name := range []string{"group", "site", "route"} {
		if arg := c.command.Args().Get(index); arg != "" {
			query += "&" + name + "=" + arg
		}
	}
	var reply struct {
		Stamp  uint64                    `json:"stamp"`
		Values []settings.EffectiveValue `json:"values"`
	}
	err := c.call("GET", "/v1/operator/settings/effective?"+strings.TrimPrefix(query, "&"), nil, &reply)
	if err != nil || c.jsonOutput() {
		return err
	}
	rows := [][]string{{"KEY", "VALUE", "FROM"}}
	for _, entry := range reply.Values {
		value := fmt.Sprint(entry.Value)
		if number, ok := entry.Value.(float64); ok {
			value = strconv.FormatFloat(number, 'f', -1, 64)
		}
		rows = append(rows, []string{entry.Key, value, entry.From})
	}
	printTable(rows)
	return nil
}

func showStatus(c *coreClient) error {
	var view operate.StatusView
	if err := c.call("GET", "/v1/operator/status", nil, &view); err != nil || c.jsonOutput() {
		return err
	}
	fmt.Printf("core %s\ncluster %s, disk set %d, owns %d slots\n", view.Core, view.Cluster, view.DiskSetVersion, len(view.OwnedShards))
	rows := [][]string{{"ROLE", "ZONE", "ADDRESS", "PUBLIC", "STATE"}}
	for _, member := range view.Members {
		state := map[bool]string{true: "alive", false: "silent"}[member.Alive]
		switch {
		case !member.Alive:
		case member.Leaving:
			state = "leaving"
		case member.NotReadyReason != "":
			state = "not ready: " + member.NotReadyReason
		}
		rows = append(rows, []string{member.Role, member.Zone, member.Addr, member.Public, state})
	}
	printTable(rows)
	if view.Access != nil {
		printAccessState(view.Access)
	}
	for _, message := range view.ReconcileStatus {
		fmt.Println("mending:", message)
	}
	if len(view.Problems) == 0 {
		fmt.Println("all is well")
	}
	for _, message := range view.Problems {
		fmt.Println("UNWELL:", message)
	}
	return nil
}

func listWorkers(c *coreClient) error {
	var list worker.List
	if err := c.call("GET", "/v1/operator/workers", nil, &list); err != nil || c.jsonOutput() {
		return err
	}
	rows := [][]string{{"ID", "POOL", "ZONE", "ADDRESS", "CAPACITY"}}
	for _, entry := range list.Workers {
		rows = append(rows, []string{entry.ID, entry.Pool, entry.Zone, entry.Addr, fmt.Sprint(entry.Capacity)})
	}
	fmt.Printf("stamp %d\n", list.Stamp)
	printTable(rows)
	return nil
}

func listStorage(c *coreClient) error {
	var view operate.StorageView
	if err := c.call("GET", "/v1/operator/storage", nil, &view); err != nil || c.jsonOutput() {
		return err
	}
	rows := [][]string{{"DISK", "ADDRESS", "ZONE", "VOTE", "STATE", "USED", "BEHIND"}}
	for _, disk := range view.Disks {
		behind := uint64(0)
		for _, missing := range disk.MissingEntries {
			behind += missing
		}
		rows = append(rows, []string{disk.ID, disk.Addr, disk.Zone, map[bool]string{true: "yes", false: "no"}[disk.Voting],
			map[bool]string{true: "alive", false: "silent"}[disk.Alive], fmt.Sprint(disk.UsedBytes), fmt.Sprint(behind)})
	}
	fmt.Printf("%s, disk set %d, %d of %d slots complete on a majority%s\n", view.Cluster, view.Version, view.SettledShards, view.TotalShards,
		map[bool]string{true: ", a change is in progress", false: ""}[view.ChangePending])
	printTable(rows)
	return nil
}

func admitStorage(c *coreClient) error {
	return changeStorage(c, "admit", "address", "is being filled and will become a voter when it holds all data")
}

func retireStorage(c *coreClient) error {
	return changeStorage(c, "retire", "disk", "is being removed; it may be switched off when no change is in progress")
}

func emptyStorage(c *coreClient) error {
	nodeName := c.command.Args().First()
	var reply struct {
		State string `json:"state"`
	}
	err := c.call("POST", "/v1/operator/storage/empty", map[string]string{"node": nodeName}, &reply)
	if err == nil && !c.jsonOutput() {
		fmt.Printf("%s: %s\n", nodeName, reply.State)
	}
	return err
}

// changeStorage admits or retires the disk that the first argument names, and
// prints its outcome.
func changeStorage(c *coreClient, operation, field, outcome string) error {
	target := c.command.Args().First()
	var record register.DiskSetRecord
	err := c.call("POST", "/v1/operator/storage/"+operation, map[string]string{field: target}, &record)
	if err == nil && !c.jsonOutput() {
		fmt.Printf("%s %s; see its progress with storage list\n", target, outcome)
	}
	return err
}

func terminateProgram(c *coreClient) error {
	var reply struct {
		Program     string `json:"program"`
		Termination string `json:"termination"`
	}
	err := c.call("POST", "/v1/operator/terminate", map[string]string{"program": c.command.Args().First(), "mode": c.command.String("mode")}, &reply)
	if err == nil && !c.jsonOutput() {
		fmt.Printf("%s: %s\n", reply.Program, reply.Termination)
	}
	return err
}

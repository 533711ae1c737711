// The operators' client: each subcommand is one HTTP exchange with a core,
// shown for people or, with --json, as the core gave it.
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

func clientCommands() []*cli.Command {
	return []*cli.Command{
		client("init", "form the cluster, once, from blank storage machines", "STORAGE-ADDRESS...", nil, initCluster),
		{Name: "settings", Usage: "read and change the settings tree", Commands: []*cli.Command{
			client("get", "show the settings in force", "", nil, getSettings),
			client("check", "check a document without applying it", "FILE", nil, checkSettings),
			client("diff", "show what a document would change", "FILE", nil, diffSettings),
			client("apply", "apply a document", "FILE", []cli.Flag{
				&cli.Int64Flag{Name: "based-on", Value: -1, Usage: "`STAMP` the document was based on; required"},
				&cli.StringFlag{Name: "change", Usage: "change `ID`, to ask again by; made up when absent"}}, applySettings),
			client("outcome", "ask what became of a change", "CHANGE-ID", nil, changeOutcome),
			client("effective", "show the values in force at a level and where each comes from", "[GROUP [SITE [ROUTE]]]", nil, effective),
		}},
		client("status", "show the fleet as one core sees it", "", nil, status),
		client("workers", "show the platform's worker list", "", nil, workers),
		routeCommands(),
		accessCommands(),
		client("roster", "show the workers of the routes' services", "", nil, showRoster),
		{Name: "storage", Usage: "see to the disks", Commands: []*cli.Command{
			client("list", "show the disks and how far a change has come", "", nil, listStorage),
			client("admit", "take a blank storage machine in", "STORAGE-ADDRESS", nil, admitStorage),
			client("retire", "take a disk out and empty it", "DISK-ID", nil, retireStorage),
			client("empty", "empty a machine, where the disk set mends itself; asked again, tells its state", "NODE-NAME", nil, emptyStorage),
			client("emptying", "tell how far that is: active or complete", "MACHINE", nil, emptyingMachine),
		}},
		client("terminate", "end a program", "PROGRAM", []cli.Flag{
			&cli.StringFlag{Name: "mode", Value: "Drain", Usage: "`MODE`: Drain or Immediate; it only escalates"}}, terminate),
	}
}

type caller struct {
	command *cli.Command
	core    string
}

func client(name, usage, args string, flags []cli.Flag, act func(*caller) error) *cli.Command {
	return &cli.Command{Name: name, Usage: usage, ArgsUsage: args,
		Flags: append(flags,
			&cli.StringFlag{Name: "core", Sources: cli.EnvVars("FORDSEAM_CORE"), Usage: "public `IP:PORT` of any core; required"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"}),
		Action: func(_ context.Context, command *cli.Command) error {
			core := command.String("core")
			if core == "" {
				return cli.Exit("--core must be given (or FORDSEAM_CORE set)", node.ExitUsage)
			}
			named := strings.Fields(args)
			least := len(base.Filter(named, func(name string) bool { return !strings.HasPrefix(name, "[") }))
			most := len(named)
			if strings.HasSuffix(args, "...") {
				most = 64
			}
			if count := command.Args().Len(); count < least || count > most {
				return cli.Exit(fmt.Sprintf("%s takes %s", name, strings.TrimSpace("arguments: "+args)), node.ExitUsage)
			}
			return act(&caller{command, core})
		}}
}

// call makes one exchange and reads a good answer into into.
func (c *caller) call(method, path string, body any, into any) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + c.core + path)
	switch held := body.(type) {
	case nil:
	case []byte:
		request.SetBody(held)
	default:
		request.SetBody(base.MustMarshal(held))
	}
	if err := fasthttp.DoTimeout(request, response, 30*time.Second); err != nil {
		code := node.ExitFailed
		if strings.HasSuffix(path, "/apply") {
			code = node.ExitUnknown
		}
		return cli.Exit(fmt.Sprintf("%s: %v", c.core, err), code)
	}
	if response.StatusCode() != 200 {
		var failed struct {
			Error base.RequestError `json:"error"`
		}
		if json.Unmarshal(response.Body(), &failed) != nil || failed.Error.Code == "" {
			return cli.Exit(fmt.Sprintf("%s answered %d", c.core, response.StatusCode()), node.ExitFailed)
		}
		if c.command.Bool("json") {
			fmt.Print(string(response.Body()))
		}
		return cli.Exit(describe(&failed.Error), exitCode(&failed.Error))
	}
	if c.command.Bool("json") {
		fmt.Print(string(response.Body()))
		return nil
	}
	return json.Unmarshal(response.Body(), into)
}

func describe(v *base.RequestError) string {
	line := v.Message
	if v.Field != "" && !strings.HasPrefix(line, v.Field) {
		line = v.Field + ": " + line
	}
	if v.Code == "unknown" {
		return "unknown: " + line
	}
	return "refused (" + v.Code + "): " + line
}

func exitCode(v *base.RequestError) int {
	switch {
	case v.Code == "unknown":
		return node.ExitUnknown
	case v.Status == 400:
		return node.ExitUsage
	}
	return node.ExitFailed
}

func (c *caller) quiet() bool { return c.command.Bool("json") }

func table(rows [][]string) {
	writer := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	_ = writer.Flush()
}

func initCluster(c *caller) error {
	var formed struct {
		Cluster string `json:"cluster"`
		Disks   int    `json:"disks"`
	}
	err := c.call("POST", "/v1/operator/init", map[string]any{"disks": c.command.Args().Slice()}, &formed)
	if err == nil && !c.quiet() {
		fmt.Printf("formed %s on %d disks\n", formed.Cluster, formed.Disks)
	}
	return err
}

func getSettings(c *caller) error {
	var record settings.Record
	err := c.call("GET", "/v1/operator/settings", nil, &record)
	if err == nil && !c.quiet() {
		fmt.Printf("stamp %d\n%s\n", record.Version, record.Document)
	}
	return err
}

func document(c *caller) ([]byte, error) {
	content, err := os.ReadFile(c.command.Args().First())
	if err != nil {
		return nil, cli.Exit(err.Error(), node.ExitUsage)
	}
	if _, faults := settings.Parse(content); len(faults) > 0 {
		return nil, cli.Exit("refused:\n  "+strings.ReplaceAll(settings.InvalidDocument(faults).Message, "\n", "\n  "), node.ExitUsage)
	}
	return content, nil
}

func checkSettings(c *caller) error {
	content, err := document(c)
	if err != nil {
		return err
	}
	var valid map[string]bool
	if err := c.call("POST", "/v1/operator/settings/check", content, &valid); err != nil {
		return err
	}
	if !c.quiet() {
		fmt.Println("valid")
	}
	return nil
}

func diffSettings(c *caller) error {
	content, err := document(c)
	if err != nil {
		return err
	}
	var shown struct {
		Stamp       uint64                `json:"stamp"`
		Differences []settings.Difference `json:"differences"`
	}
	if err := c.call("POST", "/v1/operator/settings/diff", content, &shown); err != nil || c.quiet() {
		return err
	}
	fmt.Printf("against stamp %d: %d values differ\n", shown.Stamp, len(shown.Differences))
	rows := [][]string{}
	for _, one := range shown.Differences {
		if one.Old != "" {
			rows = append(rows, []string{"-", one.Path, one.Old})
		}
		if one.New != "" {
			rows = append(rows, []string{"+", one.Path, one.New})
		}
	}
	table(rows)
	return nil
}

func applySettings(c *caller) error {
	if c.command.Int64("based-on") < 0 {
		return cli.Exit("--based-on must name the stamp the document was based on (0 for the first)", node.ExitUsage)
	}
	content, err := document(c)
	if err != nil {
		return err
	}
	change := c.command.String("change")
	if change == "" {
		change = base.NewID(base.NewRealClock(), "change-")
	}
	if !c.quiet() {
		fmt.Fprintf(os.Stderr, "change %s\n", change)
	}
	var outcome settings.Outcome
	err = c.call("POST", "/v1/operator/settings/apply", settings.Change{ID: change, BasedOn: uint64(c.command.Int64("based-on")), Document: content}, &outcome)
	return showOutcome(c, outcome, err)
}

func changeOutcome(c *caller) error {
	var outcome settings.Outcome
	err := c.call("POST", "/v1/operator/settings/outcome", map[string]string{"change": c.command.Args().First()}, &outcome)
	return showOutcome(c, outcome, err)
}

func showOutcome(c *caller, outcome settings.Outcome, err error) error {
	if err == nil && !c.quiet() {
		fmt.Printf("%s, the settings stand at stamp %d\n", outcome.Outcome, outcome.Version)
	}
	return err
}

func effective(c *caller) error {
	query := ""
	for place, name := range []string{"group", "site", "route"} {
		if given := c.command.Args().Get(place); given != "" {
			query += "&" + name + "=" + given
		}
	}
	var shown struct {
		Stamp  uint64                    `json:"stamp"`
		Values []settings.EffectiveValue `json:"values"`
	}
	err := c.call("GET", "/v1/operator/settings/effective?"+strings.TrimPrefix(query, "&"), nil, &shown)
	if err != nil || c.quiet() {
		return err
	}
	rows := [][]string{{"KEY", "VALUE", "FROM"}}
	for _, origin := range shown.Values {
		value := fmt.Sprint(origin.Value)
		if number, ok := origin.Value.(float64); ok {
			value = strconv.FormatFloat(number, 'f', -1, 64)
		}
		rows = append(rows, []string{origin.Key, value, origin.From})
	}
	table(rows)
	return nil
}

func status(c *caller) error {
	var shown operate.StatusView
	if err := c.call("GET", "/v1/operator/status", nil, &shown); err != nil || c.quiet() {
		return err
	}
	fmt.Printf("core %s\ncluster %s, disk set %d, owns %d slots\n", shown.Core, shown.Cluster, shown.DiskSetVersion, len(shown.OwnedShards))
	rows := [][]string{{"ROLE", "ZONE", "ADDRESS", "PUBLIC", "STATE"}}
	for _, member := range shown.Members {
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
	table(rows)
	if shown.Access != nil {
		showHolders(shown.Access)
	}
	for _, word := range shown.ReconcileStatus {
		fmt.Println("mending:", word)
	}
	if len(shown.Problems) == 0 {
		fmt.Println("all is well")
	}
	for _, word := range shown.Problems {
		fmt.Println("UNWELL:", word)
	}
	return nil
}

func workers(c *caller) error {
	var list worker.List
	if err := c.call("GET", "/v1/operator/workers", nil, &list); err != nil || c.quiet() {
		return err
	}
	rows := [][]string{{"ID", "POOL", "ZONE", "ADDRESS", "CAPACITY"}}
	for _, one := range list.Workers {
		rows = append(rows, []string{one.ID, one.Pool, one.Zone, one.Addr, fmt.Sprint(one.Capacity)})
	}
	fmt.Printf("stamp %d\n", list.Stamp)
	table(rows)
	return nil
}

func listStorage(c *caller) error {
	var shown operate.StorageView
	if err := c.call("GET", "/v1/operator/storage", nil, &shown); err != nil || c.quiet() {
		return err
	}
	rows := [][]string{{"DISK", "ADDRESS", "ZONE", "VOTE", "STATE", "USED", "BEHIND"}}
	for _, one := range shown.Disks {
		behind := uint64(0)
		for _, lacking := range one.MissingEntries {
			behind += lacking
		}
		rows = append(rows, []string{one.ID, one.Addr, one.Zone, map[bool]string{true: "yes", false: "no"}[one.Voting],
			map[bool]string{true: "alive", false: "silent"}[one.Alive], fmt.Sprint(one.UsedBytes), fmt.Sprint(behind)})
	}
	fmt.Printf("%s, disk set %d, %d of %d slots whole on a majority%s\n", shown.Cluster, shown.Version, shown.SettledShards, shown.TotalShards,
		map[bool]string{true: ", a change is under way", false: ""}[shown.ChangePending])
	table(rows)
	return nil
}

func admitStorage(c *caller) error {
	return changeStorage(c, "admit", "address", "is being filled and will have a vote once it is whole")
}

func retireStorage(c *caller) error {
	return changeStorage(c, "retire", "disk", "is being taken out; once no change is under way it may be switched off")
}

func emptyStorage(c *caller) error {
	named := c.command.Args().First()
	var shown struct {
		State string `json:"state"`
	}
	err := c.call("POST", "/v1/operator/storage/empty", map[string]string{"node": named}, &shown)
	if err == nil && !c.quiet() {
		fmt.Printf("%s: %s\n", named, shown.State)
	}
	return err
}

func changeStorage(c *caller, what, field, words string) error {
	named := c.command.Args().First()
	var shown register.DiskSetRecord
	err := c.call("POST", "/v1/operator/storage/"+what, map[string]string{field: named}, &shown)
	if err == nil && !c.quiet() {
		fmt.Printf("%s %s; watch it with storage list\n", named, words)
	}
	return err
}

func terminate(c *caller) error {
	var shown struct {
		Program     string `json:"program"`
		Termination string `json:"termination"`
	}
	err := c.call("POST", "/v1/operator/terminate", map[string]string{"program": c.command.Args().First(), "mode": c.command.String("mode")}, &shown)
	if err == nil && !c.quiet() {
		fmt.Printf("%s: %s\n", shown.Program, shown.Termination)
	}
	return err
}

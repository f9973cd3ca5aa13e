package cli

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf/instance"
	"github.com/shelfshelf/shelfshelf/program"
)

const statusTimeout = 2 * time.Second

// statusCommand shows the instances.
type statusCommand struct {
	ctlSettings

	JSON bool `long:"json" description:"print JSON, an instance a line"`
}

var statusEntry = program.Command{
	Path:  []string{"status"},
	Short: "show what each instance does and whether the accepted bundle is in force on it",
	Long: "Asks each instance in the settings' admins for its state and compares its bundle with the head of the store. " +
		"Exit code 4 if an instance is not ready or not on the accepted bundle.",
	New: func() program.Runner { return &statusCommand{} },
}

// Run shows the instances.
func (c *statusCommand) Run(env *program.Environment, _ []string) error {
	store, read, err := c.store()
	if err != nil {
		return err
	}
	head, rolled, headErr := store.Head(env.Context)
	table := tabwriter.NewWriter(env.Out, 0, 0, 2, ' ', 0)
	if !c.JSON {
		printHead(env, rolled, headErr, head.Head.Revision, head.Name, head.By)
		_, _ = fmt.Fprintln(table, "instance\tdata centre\tready\trevision\tlive\tin flight\tpools owned")
	}
	unwell := 0
	for _, admin := range read.Admins {
		status, err := fetchStatus(admin)
		if err != nil {
			unwell++
			_, _ = fmt.Fprintf(table, "%s\t-\tno: %v\t\t\t\t\n", admin, err)
			continue
		}
		if !status.Ready || (headErr == nil && status.Revision < uint64(head.Head.Revision)) {
			unwell++
		}
		if c.JSON {
			_ = json.NewEncoder(env.Out).Encode(status)
			continue
		}
		printStatus(table, status)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if unwell > 0 {
		return program.WithCode(program.ExitRefused, eris.Errorf("%d of %d instances are not ready on the accepted bundle", unwell, len(read.Admins)))
	}
	return nil
}

func printHead(env *program.Environment, rolled bool, err error, revision any, name, by string) {
	switch {
	case err != nil:
		_, _ = fmt.Fprintf(env.Out, "the store can't be read: %v\n", err)
	case !rolled:
		_, _ = fmt.Fprintln(env.Out, "no bundle has been rolled")
	default:
		_, _ = fmt.Fprintf(env.Out, "accepted: revision %v %q by %s\n", revision, name, by)
	}
}

func printStatus(table *tabwriter.Writer, status instance.Status) {
	ready := "yes"
	if !status.Ready {
		ready = "no: " + status.Why
	}
	var owned []string
	for pool, owner := range status.Owners {
		if owner == status.Instance {
			owned = append(owned, pool)
		}
	}
	_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%s\n", status.Instance, status.DataCentre, ready,
		status.Revision, len(status.Live), status.InFlight, strings.Join(owned, " "))
}

func fetchStatus(admin string) (instance.Status, error) {
	var status instance.Status
	client := &http.Client{Timeout: statusTimeout}
	response, err := client.Get(admin + "/status")
	if err != nil {
		return status, eris.Wrap(err, "no answer")
	}
	defer func() { _ = response.Body.Close() }()
	return status, eris.Wrap(json.NewDecoder(response.Body).Decode(&status), "unreadable status")
}

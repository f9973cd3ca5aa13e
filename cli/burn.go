package cli

import (
	"os"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf/burn"
	"github.com/shelfshelf/shelfshelf/program"
)

// Shelfburn is the service-level report.
var Shelfburn = program.Program{
	Name:     "shelfburn",
	Short:    "shelfburn reports how fast routes, tiers and customers burn their error budgets, and by what",
	Commands: []program.Command{burnCollectEntry, burnReportEntry},
}

// burnCollectCommand keeps a series.
type burnCollectCommand struct {
	Admins string        `long:"admins" required:"true" value-name:"URLS" description:"admin addresses of the instances, with commas"`
	Every  time.Duration `long:"every" default:"10s" description:"time between snapshots"`
	Count  int           `long:"count" description:"how many snapshots to take; without end if left out"`
	Out    string        `long:"out" required:"true" value-name:"FILE" description:"series to append to"`
}

var burnCollectEntry = program.Command{
	Path:  []string{"collect"},
	Short: "append snapshots of the instances' counters to a series",
	Long:  "Scrapes each instance's /metrics every so often and appends a line of JSON for each to a file, until a signal.",
	New:   func() program.Runner { return &burnCollectCommand{} },
}

// Run collects.
func (c *burnCollectCommand) Run(env *program.Environment, _ []string) error {
	file, err := os.OpenFile(c.Out, os.O_WRONLY|os.O_CREATE|os.O_APPEND, publicMode)
	if err != nil {
		return eris.Wrap(err, "open series")
	}
	defer func() { _ = file.Close() }()
	clock := clockwork.NewRealClock()
	for taken := 0; c.Count == 0 || taken < c.Count; taken++ {
		if taken > 0 {
			select {
			case <-env.Context.Done():
				return nil
			case <-clock.After(c.Every):
			}
		}
		for admin := range strings.SplitSeq(c.Admins, ",") {
			snapshot, err := burn.Scrape(admin, clock.Now())
			if err != nil {
				env.Log.Warn("An instance can't be scraped.", "admin", admin, "error", err)
				continue
			}
			if err := snapshot.Write(file); err != nil {
				return err
			}
		}
	}
	return nil
}

// burnReportCommand reports on a series.
type burnReportCommand struct {
	Series string `long:"series" value-name:"FILE" description:"series that collect has kept"`
	Admins string `long:"admins" value-name:"URLS" description:"admin addresses to scrape now instead, with commas; covers the time since each started"`
	JSON   bool   `long:"json" description:"print JSON"`
	HTML   string `long:"html" value-name:"FILE" description:"write a page with a plot too"`
}

var burnReportEntry = program.Command{
	Path:  []string{"report"},
	Short: "report burn rates, budgets left and causes",
	Long: "Reports, for each route, tier and customer, the burn rate over several windows, the error budget left and the " +
		"alerts that fire (both windows of a pair must burn, as in the SRE workbook), and what made requests bad. " +
		"Exit code 4 if an alert fires that someone should look at now, for a cron job.",
	New: func() program.Runner { return &burnReportCommand{} },
}

// Run reports.
func (c *burnReportCommand) Run(env *program.Environment, _ []string) error {
	series, err := c.read()
	if err != nil {
		return err
	}
	report := burn.NewReport(series)
	if c.HTML != "" {
		if err := c.writeHTML(report); err != nil {
			return err
		}
	}
	if c.JSON {
		if err := report.WriteJSON(env.Out); err != nil {
			return err
		}
	} else {
		report.Print(env.Out)
	}
	if report.Pages() {
		return program.WithCode(program.ExitRefused, eris.New("an alert fires"))
	}
	return nil
}

func (c *burnReportCommand) read() ([]*burn.Snapshot, error) {
	if (c.Series == "") == (c.Admins == "") {
		return nil, program.WithCode(program.ExitUsage, eris.New("give either --series or --admins"))
	}
	if c.Series != "" {
		file, err := os.Open(c.Series)
		if err != nil {
			return nil, program.WithCode(program.ExitInput, eris.Wrap(err, "open series"))
		}
		defer func() { _ = file.Close() }()
		series, err := burn.ReadSeries(file)
		return series, program.WithCode(program.ExitInput, err)
	}
	var series []*burn.Snapshot
	for admin := range strings.SplitSeq(c.Admins, ",") {
		snapshot, err := burn.Scrape(admin, clockwork.NewRealClock().Now())
		if err != nil {
			return nil, err
		}
		series = append(series, snapshot)
	}
	return series, nil
}

func (c *burnReportCommand) writeHTML(report *burn.Report) error {
	file, err := os.Create(c.HTML)
	if err != nil {
		return eris.Wrap(err, "write page")
	}
	defer func() { _ = file.Close() }()
	return report.WriteHTML(file)
}

package cli

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/bundle"
	"github.com/shelfshelf/shelfshelf/demo"
	"github.com/shelfshelf/shelfshelf/deploy"
	"github.com/shelfshelf/shelfshelf/load"
	"github.com/shelfshelf/shelfshelf/program"
)

// loadCommand sends a workload to running instances.
type loadCommand struct {
	Callers    string        `long:"callers" required:"true" value-name:"URLS" description:"callers' addresses of the instances, with commas"`
	Bundle     string        `long:"bundle" required:"true" value-name:"FILE" description:"the bundle in force, signed or not: its routes and engines set what is sent and how fast"`
	Deployment string        `long:"deployment" choice:"prairie" choice:"brittany" default:"prairie" description:"whose workload to send"`
	Load       float64       `long:"load" default:"0.5" description:"rate, as a share of what the bundle's engines can serve at declared speed with no prompt held"`
	Length     time.Duration `long:"length" default:"30s" description:"how long to send requests"`
	Seed       uint64        `long:"seed" default:"1" description:"seed of the workload"`
	Burst      bool          `long:"burst" description:"add the workload's bursts"`
}

var loadEntry = program.Command{
	Path:  []string{"load"},
	Short: "send a deployment's workload to running instances",
	Long: "Sends the workload to the instances in turn, as each customer with the token demo-NAME-token, and prints what came of it " +
		"by tier as the callers saw it.",
	New: func() program.Runner { return &loadCommand{} },
}

// Run sends.
func (c *loadCommand) Run(env *program.Environment, _ []string) error {
	content, err := readFile(c.Bundle)
	if err != nil {
		return err
	}
	if signed, err := bundle.DecodeSigned(content); err == nil {
		content = signed.Content
	}
	parsed, err := bundle.Parse(c.Bundle, content)
	if err != nil {
		return program.WithCode(program.ExitInput, err)
	}
	raw, err := deploy.Workload(c.Deployment)
	if err != nil {
		return err
	}
	workload, err := load.Parse(raw)
	if err != nil {
		return err
	}
	routes := make(map[shelfshelf.RouteName]shelfshelf.Route)
	for _, route := range parsed.Routes {
		routes[route.Name] = route
	}
	items := load.Generate(workload, parsed, load.Options{Seed: c.Seed, Length: c.Length, Load: c.Load, Burst: c.Burst})
	items = slices.DeleteFunc(items, func(item load.Item) bool { _, known := routes[item.Route]; return !known })
	if len(items) == 0 {
		return program.WithCode(program.ExitInput, eris.Errorf("%s has none of the routes of the %s workload", c.Bundle, c.Deployment))
	}
	addresses := strings.Split(c.Callers, ",")
	callers := &demo.Callers{
		Clock:     clockwork.NewRealClock(),
		HTTP:      &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: len(items)}},
		Addresses: func() []string { return addresses },
		Routes:    routes,
	}
	_, _ = fmt.Fprintf(env.Out, "%d requests in %v to %d instances\n", len(items), c.Length, len(addresses))
	callers.Drive(env.Context, items)
	demo.PrintTiers(env.Out, callers.Records(), parsed)
	return nil
}

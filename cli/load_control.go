package cli

import (
	"encoding/json"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf/control"
	"github.com/shelfshelf/shelfshelf/program"
)

// controlCommand measures what the instances' own conversation costs.
type controlCommand struct {
	Members string        `long:"members" default:"2,3,5,7,14" description:"numbers of instances to measure, with commas; pools and rate at their first value"`
	Pools   string        `long:"pools" default:"2,8,24" description:"numbers of pools to measure, with commas; members at their second value"`
	Rate    string        `long:"rate" default:"0,200,400,800" description:"asks a second over all instances, with commas; members at their second value"`
	Length  time.Duration `long:"length" default:"5s" description:"how long to measure each"`
	JSON    string        `long:"json" value-name:"FILE" description:"write samples and slopes as JSON"`
}

var controlEntry = program.Command{
	Path:  []string{"control"},
	Short: "measure bytes, packets, processor time and memory of control an instance, and fit slopes",
	Long: "Runs real instances over loopback in this process and varies one quantity at a time: instances, pools, asks a second. " +
		"Prints the samples and the slopes with their fit. Processor time holds the stand-ins' share, so it is an upper bound.",
	New: func() program.Runner { return &controlCommand{} },
}

// series is one quantity varied and the others held.
type series struct {
	name   string
	points []control.Point
	x      func(*control.Sample) float64
}

// Run measures.
func (c *controlCommand) Run(env *program.Environment, _ []string) error {
	members, err := parseCounts("--members", c.Members)
	if err != nil {
		return program.WithCode(program.ExitUsage, err)
	}
	pools, err := parseCounts("--pools", c.Pools)
	if err != nil {
		return program.WithCode(program.ExitUsage, err)
	}
	rates, err := parseCounts("--rate", c.Rate)
	if err != nil {
		return program.WithCode(program.ExitUsage, err)
	}
	var samples []control.Sample
	var fits []control.Fit
	for _, one := range c.series(members, pools, rates) {
		measured, err := (&control.Control{
			Clock:    clockwork.NewRealClock(),
			Points:   one.points,
			Length:   c.Length,
			Progress: env.Err,
		}).Do(env.Context)
		if err != nil {
			return err
		}
		fitted, err := control.FitBy(measured, one.name, one.x)
		if err != nil {
			return program.WithCode(program.ExitUsage, err)
		}
		samples = append(samples, measured...)
		fits = append(fits, fitted...)
	}
	control.Print(env.Out, samples, fits)
	if c.JSON == "" {
		return nil
	}
	encoded, err := json.MarshalIndent(map[string]any{"samples": samples, "slopes": fits}, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode")
	}
	return eris.Wrap(os.WriteFile(c.JSON, encoded, publicMode), "write figures")
}

func (c *controlCommand) series(members, pools, rates []int) []series {
	held := members[min(1, len(members)-1)]
	all := []series{
		{name: "members", x: func(s *control.Sample) float64 { return float64(s.Members) }},
		{name: "pools", x: func(s *control.Sample) float64 { return float64(s.Pools) }},
		{name: "asks/s at an instance", x: func(s *control.Sample) float64 { return s.Rate / float64(s.Members) }},
	}
	for _, count := range members {
		all[0].points = append(all[0].points, control.Point{Members: count, Pools: pools[0], Rate: float64(rates[0])})
	}
	for _, count := range pools {
		all[1].points = append(all[1].points, control.Point{Members: held, Pools: count, Rate: float64(rates[0])})
	}
	for _, rate := range rates {
		all[2].points = append(all[2].points, control.Point{Members: held, Pools: pools[0], Rate: float64(rate)})
	}
	return all
}

func parseCounts(flag, text string) ([]int, error) {
	var counts []int
	for part := range strings.SplitSeq(text, ",") {
		count, err := strconv.Atoi(part)
		if err != nil || count < 0 {
			return nil, eris.Errorf("%s: %q is not a count", flag, part)
		}
		counts = append(counts, count)
	}
	return counts, nil
}

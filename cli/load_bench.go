package cli

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf/bench"
	"github.com/shelfshelf/shelfshelf/program"
	"github.com/shelfshelf/shelfshelf/schedule"
)

// benchCommand compares policies.
type benchCommand struct {
	Deployment string        `long:"deployment" choice:"prairie" choice:"brittany" default:"prairie" description:"whose bundle and workload to use"`
	Load       string        `long:"load" default:"1.0" description:"loads, with commas; 1 is what the engines can serve at declared speed with no prompt held"`
	Fault      string        `long:"fault" default:"none" description:"faults, with commas; + joins faults of one run"`
	Policy     string        `long:"policy" default:"all" description:"policies, with commas, or all"`
	Seed       uint64        `long:"seed" default:"1" description:"seed of workload and faults"`
	Length     time.Duration `long:"length" default:"60s" description:"how long requests arrive, in simulated time"`
	JSON       string        `long:"json" value-name:"FILE" description:"write the figures as JSON"`
	Report     string        `long:"report" value-name:"DIR" description:"write a page with plots"`
	Quiet      bool          `long:"quiet" description:"no progress"`
}

var benchEntry = program.Command{
	Path:  []string{"bench"},
	Short: "compare policies on a simulated clock: goodput by tier, wasted prefill",
	Long: "Drives the real schedule package against fake engines on a simulated clock. The same seed gives the same figures " +
		"on every machine. Faults are:\n" + bench.FaultUsage() + "Policies are:\n" + policyUsage(),
	New: func() program.Runner { return &benchCommand{} },
}

func policyUsage() string {
	var text strings.Builder
	for _, policy := range schedule.Policies {
		text.WriteString(policy.Name + ": " + policy.Usage + "\n")
	}
	return text.String()
}

// Run runs the bench.
func (c *benchCommand) Run(env *program.Environment, _ []string) error {
	run := &bench.Bench{
		Deployment: c.Deployment,
		Seed:       c.Seed,
		Length:     c.Length,
		Faults:     strings.Split(c.Fault, ","),
		Tuning:     schedule.DefaultTuning(),
	}
	if !c.Quiet {
		run.Progress = env.Err
	}
	var err error
	if run.Loads, err = parseLoads(c.Load); err != nil {
		return program.WithCode(program.ExitUsage, err)
	}
	if run.Policies, err = parsePolicies(c.Policy); err != nil {
		return program.WithCode(program.ExitUsage, err)
	}
	for _, fault := range run.Faults {
		if _, err := bench.ParseFaults(fault); err != nil {
			return program.WithCode(program.ExitUsage, err)
		}
	}
	outcome, err := run.Do()
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(env.Out, "%s, seed %d, %v of arrivals\n", c.Deployment, c.Seed, c.Length)
	outcome.Print(env.Out)
	if c.Report != "" {
		file, err := outcome.WriteReport(c.Report)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(env.Out, "the page is %s\n", file)
	}
	if c.JSON == "" {
		return nil
	}
	file, err := os.Create(c.JSON)
	if err != nil {
		return eris.Wrap(err, "write figures")
	}
	defer func() { _ = file.Close() }()
	return outcome.WriteJSON(file)
}

func parseLoads(text string) ([]float64, error) {
	var loads []float64
	for part := range strings.SplitSeq(text, ",") {
		value, err := strconv.ParseFloat(part, 64)
		if err != nil || value <= 0 {
			return nil, eris.Errorf("--load: %q is not a number above zero", part)
		}
		loads = append(loads, value)
	}
	return loads, nil
}

func parsePolicies(text string) ([]schedule.PolicyEntry, error) {
	if text == "all" {
		return schedule.Policies, nil
	}
	var policies []schedule.PolicyEntry
	for name := range strings.SplitSeq(text, ",") {
		policy, ok := schedule.PolicyNamed(name)
		if !ok {
			return nil, eris.Errorf("--policy: unknown policy %q; policies are:\n%s", name, policyUsage())
		}
		policies = append(policies, policy)
	}
	return policies, nil
}

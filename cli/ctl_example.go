package cli

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/demo"
	"github.com/shelfshelf/shelfshelf/keys"
	"github.com/shelfshelf/shelfshelf/program"
)

// exampleCommand writes a small example that runs.
type exampleCommand struct {
	Out string `long:"out" value-name:"DIR" default:"out/example" description:"where to write it"`
}

var exampleEntry = program.Command{
	Path:  []string{"example"},
	Short: "write keys, settings and a bundle of a small example that runs on this machine",
	Long: "Writes the files of a lone instance before two engines and one plain service on this machine's loopback, and " +
		"prints the commands that run it.",
	New: func() program.Runner { return &exampleCommand{} },
}

// The addresses of the example.
const (
	examplePlatform = "127.0.0.1:7400"
	exampleFast     = "127.0.0.1:7401"
	exampleSlow     = "127.0.0.1:7402"
	exampleService  = "127.0.0.1:7403"
	exampleCallers  = "127.0.0.1:7480"
	exampleAdmin    = "127.0.0.1:7481"
	exampleToken    = "example-token"
	exampleApprover = "alex"
)

// Run writes the files.
func (c *exampleCommand) Run(env *program.Environment, _ []string) error {
	if err := os.MkdirAll(c.Out, folderMode); err != nil {
		return eris.Wrap(err, "make folder")
	}
	public, err := (&keyNewCommand{Kind: kindApprover, Name: exampleApprover, Out: c.Out}).approver()
	if err != nil {
		return err
	}
	approvers := []map[string]any{{"name": exampleApprover, "publicKey": public}}
	files := map[string]any{
		"entry.json": map[string]any{
			"instance":   "entry-1",
			"dataCentre": "Regina",
			"listen":     exampleCallers,
			"admin":      exampleAdmin,
			"platform":   map[string]any{"address": "http://" + examplePlatform},
			"approvers":  approvers,
			"threshold":  1,
			"stop":       map[string]any{"drainDelay": "1s", "limit": "60s"},
		},
		"ctl.json": map[string]any{
			"platform":  map[string]any{"address": "http://" + examplePlatform},
			"approvers": approvers,
			"threshold": 1,
			"admins":    []string{"http://" + exampleAdmin},
		},
		"bundle.json": exampleBundle(approvers),
	}
	for name, content := range files {
		encoded, err := json.MarshalIndent(content, "", "  ")
		if err != nil {
			return eris.Wrap(err, "encode example")
		}
		if err := os.WriteFile(filepath.Join(c.Out, name), append(encoded, '\n'), publicMode); err != nil {
			return eris.Wrap(err, "write example")
		}
	}
	_, _ = fmt.Fprintf(env.Out, exampleCommands, c.Out)
	return nil
}

const exampleCommands = `written to %[1]s; now run, each in a terminal of its own or in the background:
  go run ./cmd/shelffake platform --listen ` + examplePlatform + `
  go run ./cmd/shelffake engine --listen ` + exampleFast + ` --name fast --step 6ms --prefill 12000
  go run ./cmd/shelffake engine --listen ` + exampleSlow + ` --name slow --step 18ms --prefill 3500
  go run ./cmd/shelffake service --listen ` + exampleService + ` --name vouchers
  go run ./cmd/shelfctl bundle sign --key %[1]s/` + exampleApprover + `.key %[1]s/bundle.json
  go run ./cmd/shelfctl bundle roll --settings %[1]s/ctl.json %[1]s/bundle.json.signed
  go run ./cmd/shelfentry --settings %[1]s/entry.json
`

func exampleBundle(approvers []map[string]any) map[string]any {
	engine := func(name, address, step string, rate int) map[string]any {
		return map[string]any{
			"name": name, "pool": "assistant", "dataCentre": "Regina", "address": "http://" + address,
			"slots": 16, "prefillRate": rate, "stepTime": step, "cacheTokens": 64000,
		}
	}
	return map[string]any{
		"format": 1, "name": "example", "approvers": approvers, "threshold": 1,
		"tiers": []map[string]any{{"name": "counter", "weight": 8}, {"name": "letters", "weight": 1, "maxWait": "60s"}},
		"pools": []map[string]any{
			{"name": "assistant", "kind": "engine", "model": "assistant-7b", "role": "whole"},
			{"name": "vouchers", "kind": "service"},
		},
		"customers": exampleCustomers(),
		"routes": []map[string]any{
			{"name": "dispute-letter", "kind": "completion", "pool": "assistant", "tier": "letters", "deadline": "180s", "firstToken": "60s"},
			{"name": "balance", "kind": "service", "pool": "vouchers", "tier": "counter", "method": "GET", "path": "/v1/balances/{account}", "deadline": "2s"},
			{"name": "voucher-charge", "kind": "service", "pool": "vouchers", "tier": "counter", "method": "POST", "path": "/v1/vouchers/{voucher}/charges", "repeatable": false, "deadline": "5s"},
		},
		"targets": []map[string]any{
			engine("fast", exampleFast, "6ms", 12000),
			engine("slow", exampleSlow, "18ms", 3500),
			{"name": "vouchers", "pool": "vouchers", "dataCentre": "Regina", "address": "http://" + exampleService, "slots": 8, "stepTime": "20ms"},
		},
	}
}

// exampleCustomers are those of the prairie workload, so that shelfload load can
// be tried; the first has the token that README uses too.
func exampleCustomers() []map[string]any {
	var customers []map[string]any
	for _, name := range []string{"transit-regina", "hydro-north", "rural-phone", "band-offices", "call-centre"} {
		hashes := []string{keys.HashToken(demo.TokenOf(shelfshelf.CustomerName(name)))}
		if len(customers) == 0 {
			hashes = append(hashes, keys.HashToken(exampleToken))
		}
		customers = append(customers, map[string]any{"name": name, "tokenHashes": hashes})
	}
	return customers
}

package bundle

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/shelfshelf/shelfshelf/deploy"
)

// BenchmarkParse reads a bundle of today's size and one of the target's: 600
// servers with 4,800 engines and 520 customers.
func BenchmarkParse(b *testing.B) {
	small, err := deploy.Bundle("prairie")
	if err != nil {
		b.Fatal(err)
	}
	var content map[string]any
	if err := json.Unmarshal(small, &content); err != nil {
		b.Fatal(err)
	}
	target := content["targets"].([]any)[0].(map[string]any)
	customer := content["customers"].([]any)[0].(map[string]any)
	var targets, customers []any
	for i := range 4800 {
		one := cloneMap(target)
		one["name"] = fmt.Sprintf("engine-%d", i)
		targets = append(targets, one)
	}
	for i := range 520 {
		one := cloneMap(customer)
		one["name"] = fmt.Sprintf("customer-%d", i)
		one["tokenHashes"] = []any{fmt.Sprintf("%064x", i)}
		customers = append(customers, one)
	}
	content["targets"] = append(targets, content["targets"].([]any)[51:]...)
	content["customers"] = customers
	large, err := json.Marshal(content)
	if err != nil {
		b.Fatal(err)
	}
	for name, raw := range map[string][]byte{"today": small, "target": large} {
		b.Run(fmt.Sprintf("%s/%dKB", name, len(raw)>>10), func(b *testing.B) {
			for b.Loop() {
				if _, err := Parse("bench", raw); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func cloneMap(from map[string]any) map[string]any {
	to := make(map[string]any, len(from))
	for key, value := range from {
		to[key] = value
	}
	return to
}

package deploy

import (
	"embed"

	"github.com/rotisserie/eris"
)

//go:embed prairie/bundle.json prairie/workload.json brittany/bundle.json brittany/workload.json
var files embed.FS

// Names lists the deployments.
var Names = []string{"prairie", "brittany"}

// Bundle returns a deployment's example bundle, unsigned.
func Bundle(deployment string) ([]byte, error) {
	return read(deployment, "bundle.json")
}

// Workload returns a deployment's workload.
func Workload(deployment string) ([]byte, error) {
	return read(deployment, "workload.json")
}

func read(deployment, file string) ([]byte, error) {
	content, err := files.ReadFile(deployment + "/" + file)
	if err != nil {
		return nil, eris.Errorf("unknown deployment %q: there are %v", deployment, Names)
	}
	return content, nil
}

package main

import (
	"os"

	"github.com/slatebridge/slatebridge/lab"
)

type labCommand struct {
	Seeds uint64 `long:"seeds" value-name:"N" description:"simulate each scenario with the seeds 1 to N" default:"1"`
	Args  struct {
		Files []string `positional-arg-name:"FILE" required:"1" description:"TOML files of scenarios"`
	} `positional-args:"yes"`
}

// Execute simulates each scenario with each seed and prints a table of the results.
func (c *labCommand) Execute([]string) error {
	var results []*lab.Result
	for _, file := range c.Args.Files {
		scenario, err := lab.LoadScenario(file)
		if err != nil {
			return err
		}
		for seed := range c.Seeds {
			results = append(results, lab.Simulate(scenario, seed+1))
		}
	}

	return lab.WriteTable(os.Stdout, results)
}

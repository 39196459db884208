package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/pistachiogap/pistachiogap/generator"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/parser"
)

func generateCommand() *cli.Command {
	return &cli.Command{
		Name: "generate", Usage: "make a team's configuration from its questionnaire", ArgsUsage: "QUESTIONNAIRE",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "explain", Usage: "print for each value the answer that it comes from"},
			&cli.StringFlag{Name: "against", Usage: "show what changes against the questionnaire in `FILE`"},
		},
		Action: generate,
	}
}

func generate(_ context.Context, c *cli.Command) error {
	cfg, explanations, err := generateFromFile(c.Args().First())
	if err != nil {
		return err
	}
	w := c.Root().Writer
	if old := c.String("against"); old != "" {
		_, oldExplanations, err := generateFromFile(old)
		if err != nil {
			return err
		}
		for _, line := range generator.Compare(oldExplanations, explanations) {
			_, _ = fmt.Fprintln(w, line)
		}
		return nil
	}
	if c.Bool("explain") {
		for _, e := range explanations {
			_, _ = fmt.Fprintln(w, e)
		}
		return nil
	}
	b, err := json.MarshalIndent(cfg, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(w, string(b))
	return err
}

func generateFromFile(file string) (modeler.Configuration, []generator.Explanation, error) {
	b, err := readArgument(file)
	if err != nil {
		return modeler.Configuration{}, nil, err
	}
	q, err := parser.Decode[generator.Questionnaire](file, b)
	if err != nil {
		return modeler.Configuration{}, nil, asUsageError(err)
	}
	cfg, explanations := generator.Generate(q)
	return cfg, explanations, nil
}

// readArgument reads the file that an argument of a command names. The usage texts call the argument FILE, QUESTIONNAIRE
// or TRACE; the error always says FILE.
func readArgument(file string) ([]byte, error) {
	if file == "" {
		return nil, asUsageError(errors.New("the FILE argument is missing"))
	}
	b, err := os.ReadFile(file)
	return b, asUsageError(err)
}

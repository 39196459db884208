package commander

import (
	"bytes"
	"os"
	"strings"
	"testing"
)

func TestDocsNameEveryCommand(t *testing.T) {
	b, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	for _, c := range newApp(&out, &out).Commands {
		if !strings.Contains(string(b), "| `"+c.Name+"` |") {
			t.Errorf("docs/OPERATIONS.md has no table row for the command %s", c.Name)
		}
	}
}

func TestDemoUsesTheExample(t *testing.T) {
	example, err := os.ReadFile("../examples/hanbit.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(example, demoQuestionnaire) {
		t.Error("commander/demo.jsonc differs from examples/hanbit.jsonc")
	}
}

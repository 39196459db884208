package runner

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/pistachiogap/pistachiogap/parser"
)

func TestDocsNameEverySetting(t *testing.T) {
	b, err := os.ReadFile("../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	for f := range reflect.TypeFor[Settings]().Fields() {
		name := f.Tag.Get("json")
		if !strings.Contains(string(b), "| `"+name+"` |") {
			t.Errorf("docs/SETTINGS.md does not name %s", name)
		}
	}
}

func TestExampleSettings(t *testing.T) {
	b, err := os.ReadFile("../examples/entry-1.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := parser.Decode[Settings]("entry-1.jsonc", b)
	if err != nil {
		t.Fatal(err)
	}
	if cfg.Grace.Duration != DefaultGrace || cfg.Advertise != cfg.Listen.Peers || !cfg.isRelay() {
		t.Errorf("defaults are not filled in: %+v", cfg)
	}
}

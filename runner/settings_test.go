package runner

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/pistachiogap/pistachiogap/parser"
)

// The check covers the top-level settings, not the fields within listen, timeline and routing.
func TestDocsNameEverySetting(t *testing.T) {
	b, err := os.ReadFile("../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	for f := range reflect.TypeFor[Settings]().Fields() {
		name := f.Tag.Get("json")
		if !strings.Contains(string(b), "| `"+name+"` |") {
			t.Errorf("docs/SETTINGS.md does not name the setting %s", name)
		}
	}
}

// With the settings of the example, the drain delay and the grace must both be over before the platform kills the VM.
func TestPlatformExampleStopsBeforeKill(t *testing.T) {
	b, err := os.ReadFile("../examples/platform.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := parser.Decode[Settings]("platform.jsonc", b)
	if err != nil {
		t.Fatal(err)
	}
	if r := cfg.Routing; cfg.DrainDelay.Duration+cfg.Grace.Duration >= r.KillAfter.Duration {
		t.Errorf("drain-delay %s and grace %s together must be below kill-after %s", cfg.DrainDelay, cfg.Grace, r.KillAfter)
	}
}

func TestRoutingSettingsAreChecked(t *testing.T) {
	cfg := Settings{Routing: &Routing{}}
	found := map[string]bool{}
	for _, p := range cfg.Check() {
		found[p.Pointer] = true
	}
	for _, pointer := range []string{"/routing/ready", "/routing/store", "/routing/kill-after", "/routing/drain-within"} {
		if !found[pointer] {
			t.Errorf("Check reports no problem at %s", pointer)
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
		t.Errorf("defaults are missing or wrong: %+v", cfg)
	}
}

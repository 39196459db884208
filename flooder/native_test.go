package flooder

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/caller"
	"github.com/pistachiogap/pistachiogap/faker"
	"github.com/pistachiogap/pistachiogap/generator"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/parser"
	"github.com/pistachiogap/pistachiogap/server"
)

// The memory of a node of the target, for VMs whose settings name none.
const targetMemoryMB = 256

// nativeNetwork is the loopback network of the stand-ins around the VM that serves searches and orders.
const nativeNetwork = 114

// startNativeVM starts the stand-ins and a VM that serves searches and orders, and waits until a search is answered.
func startNativeVM(t *testing.T) *vm {
	t.Helper()
	b, err := os.ReadFile("../commander/demo.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	questionnaire, err := parser.Decode[generator.Questionnaire]("demo.jsonc", b)
	if err != nil {
		t.Fatal(err)
	}
	generated, _ := generator.Generate(questionnaire)
	e, err := faker.StartEnvironment(t.Context(), faker.EnvironmentConfig{Network: nativeNetwork, Configuration: generated, ServiceTime: time.Millisecond, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Stop)
	cfg := e.Settings(1)
	v := &vm{
		t: t, machine: machine{memoryMB: targetMemoryMB, descriptors: descriptorLimit}, callers: cfg.Listen.Callers,
		exited: make(chan struct{}), measured: make(chan struct{}),
	}
	text, err := json.Marshal(map[string]any{
		"name": cfg.Name, "failure-domain": cfg.FailureDomain, "listen": cfg.Listen, "platform": cfg.Platform, "keys": cfg.Keys,
	})
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "settings.jsonc")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	v.start(file)
	go v.watch()
	t.Cleanup(v.kill)
	v.search()
	return v
}

// search sends ordinary searches, as a caller that comes back after a refusal, until one is answered.
func (v *vm) search() {
	v.t.Helper()
	c := caller.NewClient(v.callers.Addr())
	v.eventually("an ordinary search is answered", func() bool {
		v.asked++
		_, err := c.Search(v.t.Context(), v.callers, "cover", server.Query{Text: "saturday"}, modeler.RequestID(fmt.Sprintf("ordinary-%d", v.asked)), time.Second)
		return err == nil
	})
}

// The port for searches and orders must withstand the same clients as the one for routes.
func TestFloodsOfSearches(t *testing.T) {
	nativeHead := func(id string) string {
		return fmt.Sprintf("POST /v1/search/cover HTTP/1.1\r\nHost: desk\r\nRequest-Id: %s\r\nDeadline-Ms: 1000\r\n", id)
	}
	lines := shortLines(18 << 10)
	legalLines := shortLines(15 << 10)
	body := strings.Repeat("b", server.MaxBodyBytes)
	tests := []struct {
		name string
		send client
	}{
		{"heads_without_their_end", func(w io.Writer, id string) { send(w, nativeHead(id), lines) }},
		{"heads_of_short_lines_and_bodies_short_of_their_last_byte", func(w io.Writer, id string) {
			send(w, nativeHead(id), legalLines, fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)), body[1:])
		}},
		{"chunked_bodies_without_end", func(w io.Writer, id string) {
			send(w, nativeHead(id), "Transfer-Encoding: chunked\r\n\r\n")
			endless(w, chunked(body, 2<<10))
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := startNativeVM(t)
			v.withstand(crowdSize, tt.send)
			v.search()
			v.checkProcess()
		})
	}
}

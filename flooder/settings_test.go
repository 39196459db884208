package flooder

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/platform/imitator"
)

// services returns the services of the shards and, last, the one of single requests.
func services() []string {
	var names []string
	for n := range shardCount {
		names = append(names, fmt.Sprintf("shard-%d", n+1))
	}
	return append(names, "portal")
}

// configuration returns what the users' operator publishes: the limits of their pages and a route of each kind.
func configuration(m machine) imitator.Configuration {
	return imitator.Configuration{
		Version: 1, Host: host, Shards: services()[:shardCount], LeastCoverage: 0.5, Limit: 3, Lookup: "portal", Order: "portal", Services: services(),
		Limits:  imitator.Limits{HeaderBytes: maxHeaderBytes, BodyBytes: maxBodyBytes, HeaderTimeout: headerTimeout, IdleTimeout: m.idleTimeout},
		Timeout: 2 * time.Second, Connections: 200,
	}
}

// settings renders the template of the deploy file, as the platform does, and returns the name of the file.
func (v *vm) settings(store netip.AddrPort, host netip.Addr) string {
	v.t.Helper()
	template, err := os.ReadFile("../deploy/settings.jsonc")
	if err != nil {
		v.t.Fatal(err)
	}
	endpoint := func(port uint16) string { return netip.AddrPortFrom(host, port).String() }
	values := map[string]any{
		"node": "front-1", "zone": "seoul-a", "ip_address": host.String(), "bootstrap": true,
		"listen_addresses.front": endpoint(8226), "listen_addresses.ready": endpoint(8227), "listen_addresses.control": endpoint(8224),
		"seeds": []string{endpoint(8224)}, "platform.address": store.String(), "zones": map[string]string{"seoul-a": "seoul"},
		"bounds.grace_period_s": 6, "bounds.retry_budget_ratio": 0.2, "bounds.retry_budget_slack": 56, "bounds.budget_window_s": 10, "bounds.drain_ms": 3000,
		"limits.memory_mb": v.machine.memoryMB, "limits.fd_limit": v.machine.descriptors,
	}
	file := filepath.Join(v.t.TempDir(), "settings.jsonc")
	if err := os.WriteFile(file, []byte(render(v.t, string(template), values)), 0o600); err != nil {
		v.t.Fatal(err)
	}
	return file
}

var (
	sectionPattern = regexp.MustCompile(`\{\{([#^])(\w+)\}\}(.*?)\{\{/\w+\}\}`)
	valuePattern   = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)
)

// render fills the placeholders of the platform's templates that the deploy file uses.
func render(t *testing.T, template string, values map[string]any) string {
	t.Helper()
	template = sectionPattern.ReplaceAllStringFunc(template, func(s string) string {
		m := sectionPattern.FindStringSubmatch(s)
		if (m[1] == "#") == (values[m[2]] == true) {
			return m[3]
		}
		return ""
	})
	return valuePattern.ReplaceAllStringFunc(template, func(s string) string {
		m := valuePattern.FindStringSubmatch(s)
		value, ok := values[m[1]]
		if !ok {
			t.Fatalf("the template names %s, which the test does not know", m[1])
		}
		if m[2] == "" {
			return fmt.Sprint(value)
		}
		b, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		return string(b)
	})
}

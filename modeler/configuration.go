package modeler

// Configuration is what the value of one key of the platform's configuration service says. The values of all keys
// together configure the tier. Version, Registrations and Ignored are not fields of the JSON: the package platform sets them
// when it decodes the platform's own formats. Version is the operator's own number of the value, or 0: it rises with each
// value that the operator writes under the key, also across epochs. Ignored, if not empty, says why the tier does not use
// the value.
type Configuration struct {
	Teams         []Team         `json:"teams,omitempty"`
	Services      []Service      `json:"services,omitempty"`
	Indexes       []Index        `json:"indexes,omitempty"`
	Routes        []Route        `json:"routes,omitempty"`
	Limits        *Limits        `json:"limits,omitempty"`
	Version       uint64         `json:"-"`
	Registrations []Registration `json:"-"`
	Ignored       string         `json:"-"`
}

// Check returns the problems of the teams, services, indexes and routes. It does not check Limits and Registrations, nor
// whether the teams, services and indexes that are referred to exist. The result depends on the content alone, so that
// all VMs either accept a configuration or refuse it. platform.Decode does not call Check.
func (c *Configuration) Check() Problems {
	var p Problems
	for i, t := range c.Teams {
		t.check(&p, "teams", i)
	}
	for i, s := range c.Services {
		s.check(&p, "services", i)
	}
	for i, x := range c.Indexes {
		x.check(&p, "indexes", i)
	}
	for i, r := range c.Routes {
		r.check(&p, "routes", i)
	}
	checkUnique(&p, "teams", c.Teams, func(t Team) string { return string(t.Name) })
	checkUnique(&p, "services", c.Services, func(s Service) string { return string(s.Name) })
	checkUnique(&p, "indexes", c.Indexes, func(x Index) string { return string(x.Name) })
	return p
}

// checkUnique adds a problem for each item whose name an earlier item of the list has.
func checkUnique[T any](p *Problems, list string, items []T, name func(T) string) {
	seen := map[string]bool{}
	for i, item := range items {
		if seen[name(item)] {
			p.Add("is named twice", list, i, "name")
		}
		seen[name(item)] = true
	}
}

package modeler

// Configuration is the value of one key of the platform's configuration service.
type Configuration struct {
	Teams         []Team         `json:"teams,omitempty"`
	Services      []Service      `json:"services,omitempty"`
	Indexes       []Index        `json:"indexes,omitempty"`
	Routes        []Route        `json:"routes,omitempty"`
	Limits        *Limits        `json:"limits,omitempty"`
	Registrations []Registration `json:"-"`
	Ignored       string         `json:"-"`
}

// Check returns all faults that the content alone shows, so that every VM accepts or refuses alike.
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
	unique(&p, "teams", c.Teams, func(t Team) string { return string(t.Name) })
	unique(&p, "services", c.Services, func(s Service) string { return string(s.Name) })
	unique(&p, "indexes", c.Indexes, func(x Index) string { return string(x.Name) })
	return p
}

func unique[T any](p *Problems, list string, items []T, name func(T) string) {
	seen := map[string]bool{}
	for i, item := range items {
		if seen[name(item)] {
			p.Add("is named twice", list, i, "name")
		}
		seen[name(item)] = true
	}
}

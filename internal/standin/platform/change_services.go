package platform

// NextServices draws a change of a configuration's services on top of the change that
// NextValid draws. Routes move from a service to its alternative or back, and the service
// that they left is dropped in the same change; a dropped service is added again; or the
// limits change.
func (g *ConfigGenerator) NextServices(base *Config) *Config {
	c := g.NextValid(base)
	var pairs [][2]*ServiceSpec
	for index := range g.Deployment.Services {
		alternative := &g.Deployment.Services[index]
		if original := g.Deployment.service(alternative.AlternativeTo); original != nil {
			pairs = append(pairs, [2]*ServiceSpec{original, alternative})
		}
	}
	if len(pairs) == 0 || g.Rng.IntN(8) == 0 {
		c.Limits.IdleMs = 5000 + 1000*g.Rng.IntN(15)
		return c
	}
	pair := pairs[g.Rng.IntN(len(pairs))]
	first, second := g.Names.Services[pair[0].Name], g.Names.Services[pair[1].Name]
	switch {
	case c.FindService(first) == nil:
		c.Services = append(c.Services, g.newService(pair[0]))
		if g.Rng.IntN(2) == 0 {
			c.moveRoutes(second, first)
			c.dropService(second)
		}
	case c.FindService(second) == nil:
		c.Services = append(c.Services, g.newService(pair[1]))
		if g.Rng.IntN(2) == 0 {
			c.moveRoutes(first, second)
			c.dropService(first)
		}
	case g.Rng.IntN(2) == 0:
		c.moveRoutes(first, second)
		c.dropService(first)
	default:
		c.moveRoutes(second, first)
		c.dropService(second)
	}
	return c
}

// service returns the specification of a service, or nil.
func (d *Deployment) service(name string) *ServiceSpec {
	for index := range d.Services {
		if d.Services[index].Name == name {
			return &d.Services[index]
		}
	}
	return nil
}

// moveRoutes lets the routes of one service use another. A route that is shared between both
// uses the other alone.
func (c *Config) moveRoutes(from, to string) {
	for index := range c.Routes {
		r := &c.Routes[index]
		if r.Service == from {
			r.Service = to
		}
		for _, share := range r.Shares {
			if share.Service == from {
				r.Service, r.Shares = to, nil
				break
			}
		}
	}
}

// dropService removes a service that no route uses.
func (c *Config) dropService(name string) {
	var kept []Service
	for _, service := range c.Services {
		if service.Name != name {
			kept = append(kept, service)
		}
	}
	c.Services = kept
}

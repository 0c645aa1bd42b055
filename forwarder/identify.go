package forwarder

import "almondstep"

// organisationRoute identifies a route as it applies to one organisation.
type organisationRoute struct {
	route        almondstep.RouteName
	organisation almondstep.OrganisationName
}

// identify determines the organisation of a request by its API key, and returns the refusal if
// the route needs a key and the request has no valid one. If the key may be in a newer
// configuration, or may have been revoked by one, another daemon may know it: the request is
// then refused as not run. A request that another daemon has delegated was identified there.
func (f *Forwarder) identify(now almondstep.Instant, v *almondstep.View, r *request) *almondstep.ReplyRequest {
	if r.asDelegate {
		r.trace.Organisation = r.message.Organisation
		return nil
	}
	routes := r.directory.Routes()
	switch {
	case !routes.HasOrganisations():
		r.message = r.message.WithIdentity()
		return nil
	case r.route.Public():
		r.message = r.message.ForOrganisation("")
		return nil
	}
	o, known := f.organisationOf(r)
	code := almondstep.CodeUnauthorized
	if !v.KeysValid(now) || !known && !v.DirectoryFresh(now) {
		code = almondstep.CodeNoConfiguration
	}
	if !known || code == almondstep.CodeNoConfiguration {
		refusal := refuse(r.id, code, noConfigurationRetryAfter)
		refusal.Reply.Trace = r.trace
		return refusal
	}
	r.organisation = o
	r.message = r.message.ForOrganisation(o.Name())
	r.route = f.routeFor(routes, r.route, o)
	r.trace.Organisation = o.Name()
	return nil
}

// organisationOf returns the organisation of a request by its API key. A request that is
// explained has no key.
func (f *Forwarder) organisationOf(r *request) (*almondstep.Organisation, bool) {
	if f.explains {
		return r.directory.Routes().Organisation(r.message.Organisation)
	}
	return r.directory.Routes().OrganisationOfKey(r.message.APIKey)
}

// routeFor returns a route as it applies to an organisation. It is kept for the next request,
// as long as the version of the routes is the same.
func (f *Forwarder) routeFor(routes *almondstep.RouteTable, route *almondstep.Route, o *almondstep.Organisation) *almondstep.Route {
	if f.routesVersion != routes.Version() || f.organisationRoutes == nil {
		f.routesVersion = routes.Version()
		f.organisationRoutes = make(map[organisationRoute]*almondstep.Route)
	}
	key := organisationRoute{route: route.Name(), organisation: o.Name()}
	effective, ok := f.organisationRoutes[key]
	if !ok {
		effective = o.RouteFor(route)
		f.organisationRoutes[key] = effective
	}
	return effective
}

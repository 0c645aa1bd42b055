package admitter

import "almondstep"

const (
	// The guaranteed shares are above the quarter that is required, because requests that
	// were already sent can't be called back in favour of others.
	//
	// classGuarantee is the part of the requests of a class that start, relative to the
	// part of all requests that start.
	classGuarantee = 0.35
	// proportionalGuarantee is the same for an organisation within its class.
	proportionalGuarantee = 0.35
	// equalGuarantee is the part of an equal share of the starts of its class that an
	// organisation gets, if it asks for as much.
	equalGuarantee = 0.75
	// maxCounted is the number of requests after which all counts are halved, so that
	// they follow the load.
	maxCounted = 512
	// minCounted is the count below which a class or an organisation is forgotten.
	minCounted = 0.5
)

// shares counts the requests of a lane that arrived and those that started, by class and by
// organisation.
type shares struct {
	all     count
	classes map[int]*class
}

// count is a number of requests that arrived, and of those that started.
type count struct {
	arrived float64
	started float64
}

type class struct {
	count
	organisations map[almondstep.OrganisationName]*count
}

func newShares() shares { return shares{classes: make(map[int]*class)} }

// arrived counts a request.
func (s *shares) arrived(a *Ask) {
	if s.all.arrived >= maxCounted {
		s.halve()
	}
	c, ok := s.classes[a.Priority]
	if !ok {
		c = &class{organisations: make(map[almondstep.OrganisationName]*count)}
		s.classes[a.Priority] = c
	}
	o, ok := c.organisations[a.Organisation]
	if !ok {
		o = &count{}
		c.organisations[a.Organisation] = o
	}
	s.all.arrived++
	c.arrived++
	o.arrived++
}

// started counts a request that starts.
func (s *shares) started(a *Ask) {
	s.all.started++
	if c, ok := s.classes[a.Priority]; ok {
		c.started++
		if o, ok := c.organisations[a.Organisation]; ok {
			o.started++
		}
	}
}

func (c *count) halve() {
	c.arrived /= 2
	c.started /= 2
}

func (s *shares) halve() {
	s.all.halve()
	for priority, c := range s.classes {
		c.halve()
		for name, o := range c.organisations {
			if o.halve(); o.arrived < minCounted {
				delete(c.organisations, name)
			}
		}
		if c.arrived < minCounted {
			delete(s.classes, priority)
		}
	}
}

// classDeficit returns by how much the class of a request is below its guaranteed share, as
// a part of that share; 0 if it isn't. A more urgent class has the same guarantee and goes
// first above it, so it never gets a smaller part of its requests started.
func (s *shares) classDeficit(a *Ask) float64 {
	c := s.classes[a.Priority]
	if c == nil || s.all.arrived == 0 {
		return 0
	}
	return deficit(c.started, classGuarantee*c.arrived*s.all.started/s.all.arrived)
}

// organisationDeficit returns by how much a request's organisation is below its guaranteed
// share of its class, as a part of that share; 0 if it isn't.
func (s *shares) organisationDeficit(a *Ask) float64 {
	c := s.classes[a.Priority]
	if c == nil || c.organisations[a.Organisation] == nil {
		return 0
	}
	o := c.organisations[a.Organisation]
	equal := equalGuarantee * c.started / float64(len(c.organisations))
	proportional := proportionalGuarantee * c.started * o.arrived / c.arrived
	return deficit(o.started, max(equal, proportional))
}

// deficit returns by how much started is below guaranteed, as a part of it.
func deficit(started, guaranteed float64) float64 {
	if guaranteed <= started {
		return 0
	}
	return 1 - started/guaranteed
}

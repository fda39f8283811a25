package config

import "testing"

// Guards against requests that are routed by a shorter prefix than the longest matching one, by a route for other
// methods, or by a prefix that ends within a path segment.
func TestMatchReturnsMostSpecificRoute(t *testing.T) {
	c := Configuration{}.Clone()
	for name, r := range map[string]Route{
		"root":    {PathPrefix: "/", Methods: []string{"GET"}},
		"all":     {PathPrefix: "/deposits"},
		"one":     {PathPrefix: "/deposits/one", Methods: []string{"POST"}},
		"slashed": {PathPrefix: "/fees/", Methods: []string{"POST"}},
	} {
		r.Name = name
		c.Routes[name] = r
	}
	s := newSnapshot(1, "", c)
	for _, x := range []struct{ method, path, want string }{
		{"GET", "/", "root"}, {"GET", "/deposits", "all"}, {"GET", "/deposits/", "all"}, {"GET", "/deposits-old", "root"},
		{"POST", "/deposits-old", ""}, {"POST", "/deposits/one", "one"}, {"POST", "/deposits/one/two/three", "one"},
		{"GET", "/deposits/one", "all"}, {"POST", "/deposits/ones", "all"}, {"POST", "/fees", ""}, {"POST", "/fees/", "slashed"},
		{"POST", "/fees/1", "slashed"}, {"GET", "/fees/1", "root"}, {"GET", "/a/b/c/d/e/f/g/h/i/j/k/l", "root"}, {"GET", "", ""},
		{"GET", "nothing", ""}, {"GET", "nothing/deposits", ""},
	} {
		got := ""
		if m, ok := s.Match("", x.method, x.path); ok {
			got = m.Route.Name
		}
		if got != x.want {
			t.Errorf("%s %s: got route %q, want %q", x.method, x.path, got, x.want)
		}
	}
}

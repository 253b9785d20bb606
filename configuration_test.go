package cicadacross_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"cicadacross"
)

func ExampleService_Route() {
	c := cicadacross.NewConfiguration(cicadacross.ConfigurationOptions{
		Routes: []cicadacross.Route{
			cicadacross.NewRoute(cicadacross.RouteOptions{Name: "pages", Service: "portal", PathPrefix: "/"}),
			cicadacross.NewRoute(cicadacross.RouteOptions{
				Name: "publish", Service: "portal", Method: "POST", PathPrefix: "/releases",
			}),
		},
	})
	portal, _ := c.Service("portal")
	route, _ := portal.Route("POST", "/releases/12")
	fmt.Println(route.Name())
	// Output: publish
}

// Guards against matching a path prefix in the middle of a path segment, which would route requests of another path.
func TestRoutePrefixMatchesWholeSegments(t *testing.T) {
	r := cicadacross.NewRoute(cicadacross.RouteOptions{Name: "lots", PathPrefix: "/lots"})
	assert.Assert(t, r.Matches("GET", "/lots"))
	assert.Assert(t, r.Matches("GET", "/lots/7"))
	assert.Assert(t, !r.Matches("GET", "/lotsize"))
}

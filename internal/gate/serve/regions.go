package serve

import (
	"github.com/agatestage/agatestage"
)

// regions returns the function that looks up in which regions a request may be served by the
// configuration in force.
func (server *Server) regions(request *Request, access Access) func() agatestage.Regions {
	return func() agatestage.Regions {
		return server.holder.Current().RequestRegions(request.Host, request.Path, access.Route, access.Organisation)
	}
}

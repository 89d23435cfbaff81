package rules

// ColdServices returns the services whose targets tolerate only a limited rate of requests while
// they are cold.
func (snapshot *Snapshot) ColdServices() (services []Service) {
	for _, service := range snapshot.content.Services {
		if service.ColdRate > 0 {
			services = append(services, service)
		}
	}
	return services
}

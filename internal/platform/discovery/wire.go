package discovery

//go:generate go tool easyjson wire.go

// page is one page of the runner list of the platform's discovery API.
//
//easyjson:json
type page struct {
	Runners []entry `json:"instances"`
	Next    *string `json:"next-token"`
}

// entry describes one runner.
type entry struct {
	ID       string  `json:"instance-id"`
	Service  string  `json:"target-service"`
	Addr     string  `json:"address"`
	Zone     string  `json:"zone"`
	Revision string  `json:"revision"`
	Capacity float64 `json:"capacity"`
	State    string  `json:"condition"`
	WarmupMs float64 `json:"cold-remaining-ms"`
	Models   []model `json:"model-list"`
}

// model is a model that a runner serves.
type model struct {
	Name     string  `json:"name"`
	Revision float64 `json:"revision"`
}

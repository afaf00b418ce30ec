package discovery

//go:generate go tool easyjson wire.go

// page is a page of the platform's list of runners.
//
//easyjson:json
type page struct {
	Runners []entry `json:"instances"`
	Next    *string `json:"next-token"`
}

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

type model struct {
	Name     string  `json:"name"`
	Revision float64 `json:"revision"`
}

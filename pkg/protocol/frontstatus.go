package protocol

// FrontStatus is what one entry VM on the users' platform has in force and
// knows. Ages are in seconds and tell when the store last confirmed the entries
// here or at the VM that reads them for this one.
type FrontStatus struct {
	VM       string `json:"vm"`
	Zone     string `json:"zone"`
	Region   string `json:"region"`
	Ready    bool   `json:"ready"`
	Stopping bool   `json:"stopping"`
	// Version is the version of the routes in force, Revision the revision of
	// the store at which it was accepted; 0 if none is known.
	Version   uint64         `json:"version"`
	Revision  int64          `json:"revision"`
	Evacuated []string       `json:"evacuated_zones"`
	Routes    []FrontRoute   `json:"routes"`
	Services  []FrontService `json:"services"`
	VMs       []FrontVM      `json:"vms"`

	RoutesAgeSeconds  float64 `json:"routes_age_seconds"`
	TargetsAgeSeconds float64 `json:"targets_age_seconds"`
	VMsAgeSeconds     float64 `json:"vms_age_seconds"`
}

// FrontRoute is a route in force.
type FrontRoute struct {
	Name       string   `json:"name"`
	Host       string   `json:"host"`
	Prefix     string   `json:"prefix"`
	Idempotent bool     `json:"idempotent"`
	TimeoutMs  int64    `json:"timeout_ms"`
	Homes      []string `json:"homes"`
	// Services are the services with their share of the requests.
	Services []string `json:"services"`
}

// FrontService is what a VM knows of a service.
type FrontService struct {
	Name string `json:"name"`
	// Listed counts the targets in the list, Usable those that may get requests:
	// neither leaving nor in an evacuated availability zone.
	Listed int `json:"listed"`
	Usable int `json:"usable"`
	// Use is the share of the own region's slots in use, Spill the share of its
	// objects that other regions serve.
	Use   float64 `json:"use"`
	Spill float64 `json:"spill"`
}

// FrontVM is a listed entry VM.
type FrontVM struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	// Named is true if look-ups name the VM, Silent if it has fallen silent.
	Named  bool `json:"named"`
	Silent bool `json:"silent"`
}

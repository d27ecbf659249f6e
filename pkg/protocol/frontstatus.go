package protocol

// FrontStatus is the status of one entry VM on the users' platform: the settings
// in force and the services and VMs that it has read from the store. Each age is
// the time in seconds since the store last confirmed the entries to this VM or to
// the VM that reads them for it.
type FrontStatus struct {
	VM       string `json:"vm"`
	Zone     string `json:"zone"`
	Region   string `json:"region"`
	Ready    bool   `json:"ready"`
	Stopping bool   `json:"stopping"`
	// Version is the version of the routes in force, and Revision is the revision
	// of the store at which that version was accepted. Both are 0 if no version is
	// in force.
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
	// Services lists the services, each with its share of the requests.
	Services []string `json:"services"`
}

// FrontService is the state of a service at one VM.
type FrontService struct {
	Name string `json:"name"`
	// Listed is the number of listed targets, and Usable the number of those that
	// may get requests: neither leaving nor in an evacuated availability zone.
	Listed int `json:"listed"`
	Usable int `json:"usable"`
	// Use is the utilization of the slots in the region of the VM, and Spill the
	// share of the objects of that region that other regions serve.
	Use   float64 `json:"use"`
	Spill float64 `json:"spill"`
}

// FrontVM is a listed entry VM.
type FrontVM struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	// Named is true if lookups return the VM, and Silent if the VM is
	// unresponsive.
	Named  bool `json:"named"`
	Silent bool `json:"silent"`
}

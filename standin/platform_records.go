package standin

// Store topics that operators and upstreams write to.
const (
	PlatformOperators = "keyed.op"
	PlatformUpstreams = "keyed.servers"
)

// PlatformConfiguration is a version of the users' configuration.
type PlatformConfiguration struct {
	Version  int               `json:"version"`
	Routes   []PlatformRoute   `json:"routes"`
	Services []PlatformService `json:"services"`
	Limits   PlatformLimits    `json:"limits"`
	Accounts []PlatformAccount `json:"tenants"`
}

// PlatformRoute routes requests for a host and path prefix to a service.
type PlatformRoute struct {
	Name   string `json:"name"`
	Host   string `json:"host"`
	Prefix string `json:"path_prefix"`
	// Kind is streaming, idempotent or non_idempotent.
	Kind         string `json:"kind"`
	Service      string `json:"service"`
	Timeout      int    `json:"timeout_ms"`
	Objective    int    `json:"target_latency_ms"`
	Gap          int    `json:"target_gap_ms"`
	Priority     int    `json:"priority"`
	MaxUpstreams int    `json:"max_attempts"`
	Resumable    bool   `json:"resumable"`
}

// PlatformService is a plain service, or a service of engines if Engine is set.
type PlatformService struct {
	Name        string              `json:"name"`
	Connections int                 `json:"max_connections"`
	Engine      *PlatformEngineKind `json:"engine,omitempty"`
}

// PlatformEngineKind describes the engines of a service.
type PlatformEngineKind struct {
	Slots  int             `json:"slots"`
	Moves  bool            `json:"moves"`
	Models []PlatformModel `json:"models"`
}

// PlatformModel holds the name of a model.
type PlatformModel struct {
	Name string `json:"name"`
}

// PlatformLimits holds the size limits and timeouts of requests.
type PlatformLimits struct {
	HeaderBytes   int `json:"max_header_bytes"`
	BodyBytes     int `json:"max_body_bytes"`
	HeaderTimeout int `json:"header_timeout_ms"`
	IdleTimeout   int `json:"idle_timeout_ms"`
}

// PlatformAccount is a client account.
type PlatformAccount struct {
	Name     string   `json:"name"`
	Keys     []string `json:"api_keys"`
	Isolated bool     `json:"isolated"`
}

// Configure writes a configuration.
func (s *PlatformStore) Configure(c PlatformConfiguration) { s.Put(PlatformOperators, "config", c) }

// NameWeights sets the target weights version of a model.
func (s *PlatformStore) NameWeights(model string, number int64) {
	s.Put(PlatformOperators, "version/"+model, map[string]any{"model": model, "version": number})
}

// Register writes an upstream's entry.
func (s *PlatformStore) Register(e *PlatformEngine) { s.Put(PlatformUpstreams, e.ID, e.Entry()) }

// Remove removes an upstream's entry.
func (s *PlatformStore) Remove(e *PlatformEngine) { s.Put(PlatformUpstreams, e.ID, nil) }

package brsettings

import (
	"bytes"
	"encoding/json"
	"io"
	"net/netip"
	"net/url"
	"os"
	"time"

	"github.com/go-faster/errors"
)

const (
	defaultPlatformTimeout = time.Second
	maxPlatformTimeout     = time.Minute
	defaultLogLevel        = "info"
)

type settingsDocument struct {
	VM        string           `json:"vm"`
	Domain    string           `json:"domain"`
	Callers   frontDocument    `json:"callers"`
	Peers     frontDocument    `json:"peers"`
	Operators frontDocument    `json:"operators"`
	Platform  platformDocument `json:"platform"`
	LogLevel  string           `json:"logLevel"`

	Administration administrationDocument `json:"administration"`
}

type frontDocument struct {
	Address string `json:"address"`
	Plain   bool   `json:"plain"`
}

type platformDocument struct {
	Table   string `json:"table"`
	Objects string `json:"objects"`
	VMs     string `json:"vms"`
	Timeout string `json:"timeout"`
}

// Load reads and checks the settings in a file.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Errorf("read settings: %w", err)
	}
	settings, err := Parse(data)
	if err != nil {
		return Settings{}, errors.Errorf("check settings %s: %w", path, err)
	}
	return settings, nil
}

// Parse reads and checks settings. Its error names every fault with its path.
func Parse(data []byte) (Settings, error) {
	var document settingsDocument
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&document); err != nil {
		return Settings{}, errors.Errorf("decode JSON: %w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Settings{}, errors.New("more than one JSON value")
	}
	c := &checker{}
	settings := c.settings(document)
	if err := errors.Join(c.faults...); err != nil {
		return Settings{}, err
	}
	return settings, nil
}

type checker struct {
	faults []error
}

func (c *checker) fault(path, text string) {
	c.faults = append(c.faults, errors.Errorf("%s: %s", path, text))
}

func (c *checker) settings(d settingsDocument) Settings {
	return Settings{
		vm:        c.name("vm", d.VM),
		domain:    c.name("domain", d.Domain),
		callers:   c.front("callers", d.Callers),
		peers:     c.front("peers", d.Peers),
		operators: c.front("operators", d.Operators),
		platform: Platform{
			table:   c.url("platform.table", d.Platform.Table),
			objects: c.url("platform.objects", d.Platform.Objects),
			vms:     c.url("platform.vms", d.Platform.VMs),
			timeout: c.timeout("platform.timeout", d.Platform.Timeout),
		},
		logLevel: c.logLevel("logLevel", d.LogLevel),

		administration: c.administration(d.Administration),
	}
}

func (c *checker) name(path, value string) string {
	if value == "" {
		c.fault(path, "is missing")
	}
	return value
}

func (c *checker) front(path string, d frontDocument) Front {
	if _, err := netip.ParseAddrPort(d.Address); err != nil {
		c.fault(path+".address", "must be an IP number with a port")
	}
	if !d.Plain {
		c.fault(path+".plain", "must be true: TLS is not configured")
	}
	return Front{address: d.Address, plain: d.Plain}
}

func (c *checker) url(path, value string) string {
	parsed, err := url.Parse(value)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		c.fault(path, "must be an http or https URL")
	}
	return value
}

func (c *checker) timeout(path, value string) time.Duration {
	if value == "" {
		return defaultPlatformTimeout
	}
	timeout, err := time.ParseDuration(value)
	if err != nil || timeout <= 0 || timeout > maxPlatformTimeout {
		c.fault(path, "must be a duration above 0 and up to 1m")
	}
	return timeout
}

func (c *checker) logLevel(path, value string) string {
	switch value {
	case "":
		return defaultLogLevel
	case "debug", "info", "warn", "error":
		return value
	default:
		c.fault(path, "must be debug, info, warn or error")
		return value
	}
}

package brsettings

import (
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

const (
	defaultPlatformTimeout = time.Second
	minPlatformTimeout     = time.Millisecond
	maxPlatformTimeout     = time.Minute
	defaultLogLevel        = "info"
	maxNameBytes           = 128
	minMemoryMB            = 64
	maxMemoryMB            = 1 << 20
)

// Load reads and validates a settings file.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Errorf("read settings: %w", err)
	}
	settings, err := Parse(data)
	if err != nil {
		return Settings{}, errors.Errorf("parse settings %s: %w", path, err)
	}
	return settings, nil
}

// Parse parses and validates settings. All validation errors are returned together,
// as an ErrInvalid.
func Parse(data []byte) (Settings, error) {
	r := &reader{}
	value, err := decodeJSON(data, &r.errs)
	if err != nil {
		return Settings{}, err
	}
	if value == nil {
		r.errs.add(pathOrFile(""), "must be an object")
	}
	settings := parseSettings(r.section("", value))
	if err := r.errs.err(); err != nil {
		return Settings{}, err
	}
	return settings, nil
}

func parseSettings(s *section) Settings {
	defer s.finish()
	settings := Settings{
		vm:        parseName(s, "vm"),
		domain:    parseName(s, "domain"),
		callers:   parseFront(s.section("callers"), callerDefaults, frontOptions{}),
		peers:     parseFront(s.section("peers"), peerDefaults, frontOptions{mutualTLS: true}),
		operators: parseFront(s.section("operators"), operatorDefaults, frontOptions{administration: true}),
		platform:  parsePlatform(s.section("platform")),
		drain:     parseDrain(s.section("drain")),
		logLevel:  parseLogLevel(s, "logLevel"),
		memoryMB:  s.number("memoryMB", 0, minMemoryMB, maxMemoryMB),
	}
	checkAddresses(s, settings)
	return settings
}

// checkAddresses reports fronts that are configured with the same address.
func checkAddresses(s *section, settings Settings) {
	seen := map[string]string{}
	fronts := []struct{ name, address string }{
		{"callers", settings.callers.address},
		{"peers", settings.peers.address},
		{"operators", settings.operators.address},
	}
	for _, f := range fronts {
		if other, duplicate := seen[f.address]; duplicate && f.address != "" {
			s.addError(f.name+".address", "must differ from "+other+".address")
		}
		seen[f.address] = f.name
	}
}

func parseName(s *section, field string) string {
	name := s.text(field)
	if len(name) > maxNameBytes || strings.ContainsFunc(name, isInvalidInName) {
		s.addError(field, "must consist of at most 128 letters, digits, '-', '_' and '.'")
	}
	return name
}

func isInvalidInName(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return false
	default:
		return r != '-' && r != '_' && r != '.'
	}
}

// parseAddress returns a required address, an IP address with a port.
func parseAddress(s *section, field string) string {
	text := s.text(field)
	if text == "" {
		return ""
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 {
		s.addError(field, "must be an IP address with a port")
	}
	return text
}

func parsePlatform(s *section) Platform {
	defer s.finish()
	return Platform{
		table:   parseURL(s, "table"),
		objects: parseURL(s, "objects"),
		vms:     parseURL(s, "vms"),
		timeout: s.duration("timeout", defaultPlatformTimeout, minPlatformTimeout, maxPlatformTimeout),
	}
}

func parseURL(s *section, field string) string {
	text := s.text(field)
	if text == "" {
		return ""
	}
	parsed, err := url.Parse(text)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		s.addError(field, "must be an http or https URL")
	}
	return text
}

func parseLogLevel(s *section, field string) string {
	level := s.textOr(field, defaultLogLevel)
	switch level {
	case "", "debug", "info", "warn", "error":
	default:
		s.addError(field, "must be debug, info, warn or error")
	}
	return level
}

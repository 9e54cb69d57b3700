package brdemo

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strconv"

	"github.com/go-faster/errors"
)

// The organisations: one that stays within its limits throughout, one that exceeds
// its rate, and one whose key is revoked.
const (
	orgSteady   = "taller-norte"
	orgOverRate = "estudio-sur"
	orgRevoked  = "taller-este"
)

const (
	serviceLookup = "lookup"
	serviceLedger = "ledger"
	pathLookup    = "/cylinders/"
	pathLedger    = "/entries/"
)

// Limits in the contract of orgOverRate.
const (
	contractRate  = 40 // requests a second
	contractBurst = 20 // requests
)

// document is a resource in the form of the administration API.
type document struct {
	Kind string         `json:"kind"`
	Name string         `json:"name"`
	Spec map[string]any `json:"spec,omitempty"`
}

// apiKey returns the API key that an organisation's callers send.
func apiKey(organisation string) string { return organisation + "-demo-key" }

func keyName(organisation string) string { return organisation + "-1" }

func (s *server) document(state string) document {
	return document{"server", s.name, map[string]any{
		"service": s.service, "domain": s.domain, "address": s.address, "slots": s.backend.Slots(), "state": state,
	}}
}

// documents returns the whole configuration of the fleet.
func (f *fleet) documents() ([]json.RawMessage, error) {
	all := f.locationDocuments()
	for _, name := range []string{orgSteady, orgOverRate, orgRevoked} {
		hash := sha256.Sum256([]byte(apiKey(name)))
		all = append(all,
			document{"organisation", name, nil},
			document{"key", keyName(name), map[string]any{"organisation": name, "hash": hex.EncodeToString(hash[:])}})
	}
	all = append(all,
		document{"unit", "request", map[string]any{"standard": "1"}},
		document{"contract", orgOverRate, map[string]any{
			"organisation": orgOverRate, "unit": "request",
			"rate": strconv.Itoa(contractRate), "period": "1s", "burst": strconv.Itoa(contractBurst),
		}},
		document{"service", serviceLookup, nil},
		document{"service", serviceLedger, nil},
		document{"route", "cylinders", map[string]any{"service": serviceLookup, "pathPrefix": pathLookup, "repeat": "any"}},
		document{"route", "entries", map[string]any{"service": serviceLedger, "pathPrefix": pathLedger, "repeat": "once"}})
	for _, s := range f.servers {
		all = append(all, s.document("serving"))
	}
	return encode(all)
}

func (f *fleet) locationDocuments() []document {
	all := []document{{"region", "montevideo", nil}, {"region", "este", nil}}
	distances := []map[string]string{}
	for _, d := range distinctDomains() {
		all = append(all,
			document{"domain", d, map[string]any{"region": regionOf(d)}},
			document{"site", d, map[string]any{"domain": d}})
		distances = append(distances, map[string]string{"site": d, "roundTrip": "16ms"})
	}
	for _, v := range f.vms {
		all = append(all, document{"vm", v.name, map[string]any{
			"site": v.domain, "callerAddress": v.callerAddress, "peerAddress": v.peerAddress,
		}})
	}
	return append(all, document{"block", "local", map[string]any{"prefix": "127.0.0.0/8", "distances": distances}})
}

func encode(documents []document) ([]json.RawMessage, error) {
	encoded := make([]json.RawMessage, 0, len(documents))
	for _, d := range documents {
		data, err := json.Marshal(d)
		if err != nil {
			return nil, errors.Errorf("encode %s %q: %w", d.Kind, d.Name, err)
		}
		encoded = append(encoded, data)
	}
	return encoded, nil
}

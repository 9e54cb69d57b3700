package brcapacity

const (
	poolCandidates           = 4 // VMs per failure domain
	candidateRowUpdatePeriod = 5 // seconds
)

// Shares returns the lines of a VM that enforces its shares of the organisations'
// limits.
func (m *Model) Shares() []Line {
	const role = "holder of shares"
	organisations := Estimated("organisations", targetOrganisations, "")
	return []Line{
		NewLine(role, resourceProcessor, "ms/s").WithMechanism("tick over all accounts").
			AddScaled(milliPerNano, rateOf("ticks of admission", 0.5), m.costAt(slopeRenewals, targetOrganisations)).
			WithPlanned(NewLine(role, resourceProcessor, "ms/s").WithMechanism("tick over the accounts with loans").
				AddScaled(milliPerNano, rateOf("ticks of admission", 0.5), Estimated("accounts with loans", 100, ""), Measured("an account", m.fits[slopeRenewals].Slope(), "ns"))),
		NewLine(role, resourceProcessor, "ms/s").WithMechanism("keychain copied on a change of keys, in two duties").
			AddScaled(milliPerNano, changesPerSecond(), Estimated("of changes are of keys", 0.1, ""), Constant("duties with a keychain", 2, ""), m.costAt(slopeKeychain, targetOrganisations)),
		NewLine(role, resourceMemory, "MB").WithMechanism("an account for each organisation with a contract").
			AddScaled(megaPerByte, organisations, Estimated("an account with its grants", 1500, "B")),
		NewLine(role, resourceMessages, "KB/s").WithMechanism("the row of shares read each 60 s, each 5 s by four VMs of a failure domain").
			AddScaled(kiloPerByte, rateOf("visits", idleRowUpdatePeriod), m.costAt(slopeSharesBytes, vmsPerDomain().value)).
			AddScaled(kiloPerByte, Given("of VMs (4 / 136)", poolCandidates*float64(targetDomains)/targetVMs, ""), rateOf("visits", candidateRowUpdatePeriod), m.costAt(slopeSharesBytes, vmsPerDomain().value)),
		NewLine(role, resourceMessages, "KB/s").WithMechanism("loans of 3 s, renewed while in use").
			AddScaled(kiloPerByte, Estimated("loans in use", 10, ""), rateOf("renewals of a loan", 1), Estimated("a renewal with headers", 600, "B")),
	}
}

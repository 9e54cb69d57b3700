package brcapacity

const (
	poolCandidates           = 4 // VMs per failure domain
	candidateRowUpdatePeriod = 5 // seconds
)

// Shares returns the lines of a VM that enforces its shares of the organisations'
// limits.
func (m *Model) Shares() []Line {
	const role = "rate limiter"
	organisations := Estimated("organisations", targetOrganisations, "")
	return []Line{
		NewLine(role, resourceProcessor, "ms/s").WithMechanism("tick over all accounts").
			AddScaled(milliPerNano, rateOf("admission ticks", 0.5), m.costAt(slopeRenewals, targetOrganisations)).
			WithPlanned(NewLine(role, resourceProcessor, "ms/s").WithMechanism("tick over the accounts with loans").
				AddScaled(milliPerNano, rateOf("admission ticks", 0.5), Estimated("accounts with loans", 100, ""), Measured("per account", m.fits[slopeRenewals].Slope(), "ns"))),
		NewLine(role, resourceProcessor, "ms/s").WithMechanism("keychain copied by two duties when keys change").
			AddScaled(milliPerNano, changesPerSecond(), Estimated("fraction of changes to keys", 0.1, ""), Constant("duties with a keychain", 2, ""), m.costAt(slopeKeychain, targetOrganisations)),
		NewLine(role, resourceMemory, "MB").WithMechanism("one account per organisation with a contract").
			AddScaled(megaPerByte, organisations, Estimated("per account with its grants", 1500, "B")),
		NewLine(role, resourceMessages, "KB/s").WithMechanism("shares row read every 60 s, and every 5 s by the four pool candidates of a failure domain").
			AddScaled(kiloPerByte, rateOf("row reads", idleRowUpdatePeriod), m.costAt(slopeSharesBytes, vmsPerDomain().value)).
			AddScaled(kiloPerByte, Given("fraction of VMs (4 / 136)", poolCandidates*float64(targetDomains)/targetVMs, ""), rateOf("row reads", candidateRowUpdatePeriod), m.costAt(slopeSharesBytes, vmsPerDomain().value)),
		NewLine(role, resourceMessages, "KB/s").WithMechanism("loans of 3 s, renewed while in use").
			AddScaled(kiloPerByte, Estimated("loans in use", 10, ""), rateOf("renewals per loan", 1), Estimated("per renewal with headers", 600, "B")),
	}
}

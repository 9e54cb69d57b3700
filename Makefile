# The chores of the project. `make help` lists them.

TOOL := go tool -modfile=tools/go.mod
PACKAGES := ./...
GO_FILES = $(shell git ls-files --cached --others --exclude-standard '*.go' | grep -v '/brentrypb/')

.PHONY: help
help: ## List the chores
	@grep -hE '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed -E 's/:.*## /\t/'

.PHONY: build
build: ## Build the program into ./bergamotroad
	go build -o bergamotroad .

.PHONY: test
test: fmt-check lint vet generate-check unit ## Everything that CI checks

# The race detector crashes in bubbles of many goroutines on several cores, see
# KNOWN-RED.txt; on one core it finds races all the same.
ONE_CORE := ./internal/duty/brfollower

.PHONY: unit
unit: ## Run all tests with the race detector
	go test -race $(filter-out $(shell go list $(ONE_CORE)),$(shell go list $(PACKAGES)))
	go test -race -cpu 1 $(ONE_CORE)

.PHONY: vet
vet: ## Run go vet
	go vet $(PACKAGES)

.PHONY: fmt
fmt: ## Format the code
	$(TOOL) gofumpt -w $(GO_FILES)

.PHONY: fmt-check
fmt-check: ## Fail where the code is not formatted
	@unformatted=$$($(TOOL) gofumpt -l $(GO_FILES)); \
	if [ -n "$$unformatted" ]; then echo "not formatted:"; echo "$$unformatted"; exit 1; fi

.PHONY: lint
lint: ## Run the linter
	$(TOOL) revive -config revive.toml -formatter friendly -exclude ./internal/peer/brentrypb/... $(PACKAGES)

.PHONY: generate
generate: ## Generate code from the .proto files
	$(TOOL) buf generate

.PHONY: generate-check
generate-check: ## Fail where generated code is out of date
	@generated=$$(mktemp -d); trap 'rm -rf "$$generated"' EXIT; \
	$(TOOL) buf generate --output "$$generated" && \
	diff -r "$$generated/internal/peer/brentrypb" internal/peer/brentrypb

.PHONY: bench
bench: ## Run the benchmarks, in the format of benchstat
	go test -run '^$$' -bench . -benchmem -count 6 $(PACKAGES)

.PHONY: known-red
known-red: ## Run the tests of faults that are listed in KNOWN-RED.txt
	go test -tags knownred -run KnownRed $(PACKAGES)

.PHONY: limits-long
limits-long: ## Run the properties of limits with many checks
	go test ./internal/decide/brshare -run 'NeverMore|FastClock|OneVMCanUse' -rapid.checks=$${CHECKS:-20000} -timeout 2h

BENCH := go test -run '^$$' -benchmem
BENCH_FILE := docs/capacity/bench.txt

.PHONY: capacity-bench
capacity-bench: ## Measure the slopes of the capacity page anew
	@mkdir -p $(dir $(BENCH_FILE))
	( $(BENCH) -bench 'Apply' -benchtime 200ms -count 3 ./internal/model/brconfig && \
	$(BENCH) -bench 'Advance|Rebuild|Locate' -benchtime 100ms -count 3 ./internal/decide/brlookup && \
	$(BENCH) -bench 'Memory' -benchtime 1x -count 3 ./internal/decide/brlookup && \
	$(BENCH) -bench 'Advance|Choose|NewPlan|List|Claim|Record|Admit$$|Renewals|Snapshot|Shares' -benchtime 200ms -count 3 ./internal/decide/brkey \
		./internal/decide/brwitness ./internal/decide/brdistribution ./internal/peer/brvmlist ./internal/duty/brclaimstore \
		./internal/duty/brtimeline ./internal/duty/bradmission ./internal/decide/brshare ./internal/codec/brdocument && \
	$(BENCH) -bench 'InForce|TableWrites' -benchtime 1x -count 1 ./internal/duty/brfollower ./internal/duty/brborrower ) \
	| grep -vE '^(ok|PASS|\?)' > $(BENCH_FILE)

.PHONY: capacity
capacity: ## Write the tables of the capacity page from the measurements
	go test ./tests -run TestCapacityPage -update

.PHONY: fleet
fleet: build ## Run up to 60 VMs as processes and measure them, about a minute and a half
	go test -tags fleet -run '^$$' -bench Fleet -benchtime 1x -timeout 180s ./tests \
	| grep -vE '^(ok|PASS)' | tee docs/capacity/fleet.txt

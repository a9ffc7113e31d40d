# Targets for people who work on ridgeswitch. Everything needs only Go and make.

DEPLOYMENT ?= hivatal
DURATION   ?= 10s
SEED       ?= 1
PLAN       ?= core-loss

# The linter has a module file of its own, so that the product's stays small.
GOLANGCI   := go tool -modfile=tools/golangci/go.mod golangci-lint

.PHONY: build test demo experiment check lint format

build:
	go build -o bin/ ./cmd/...

# Formatting, vet, static analysis and all tests. The tests that KNOWN-RED.txt
# lists are run alone and printed; any other failure fails.
test: check
	go run ./scripts/knownred

check:
	./scripts/check-format
	go vet ./...
	go tool staticcheck ./...
	$(GOLANGCI) run

# golangci-lint with the linters of .golangci.yml.
lint:
	$(GOLANGCI) run

format:
	$(GOLANGCI) fmt

# Starts the whole fleet of a deployment on loopback addresses, loads it, breaks
# it, and ends with one JSON object.
demo: build
	./bin/ridgeswitch-lab demo --deployment $(DEPLOYMENT) --duration $(DURATION) --seed $(SEED) --binary bin/ridgeswitch

# Runs a deployment through a plan of faults; PLAN=list lists the plans.
experiment: build
	./bin/ridgeswitch-lab experiment --deployment $(DEPLOYMENT) --plan $(PLAN) --duration $(DURATION) --seed $(SEED) --binary bin/ridgeswitch

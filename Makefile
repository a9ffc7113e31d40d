# Targets for people who work on ridgeswitch. Everything needs only Go and make.

DEPLOYMENT ?= hivatal
DURATION   ?= 10s
SEED       ?= 1
PLAN       ?= core-loss

# What runs the tests; CI puts scripts/knownred in its place.
TESTS      ?= go test ./...

.PHONY: build test demo experiment check format

build:
	go build -o bin/ ./cmd/...

# Formatting, vet, static analysis and all tests.
test: check
	$(TESTS)

check:
	./scripts/check-format
	go vet ./...
	go tool staticcheck ./...

format:
	gofmt -w $$(git ls-files '*.go')

# Starts the whole fleet of a deployment on loopback addresses, loads it, breaks
# it, and ends with one JSON object.
demo: build
	./bin/ridgeswitch-lab demo --deployment $(DEPLOYMENT) --duration $(DURATION) --seed $(SEED) --binary bin/ridgeswitch

# Runs a deployment through a plan of faults; PLAN=list lists the plans.
experiment: build
	./bin/ridgeswitch-lab experiment --deployment $(DEPLOYMENT) --plan $(PLAN) --duration $(DURATION) --seed $(SEED) --binary bin/ridgeswitch

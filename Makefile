# Targets for people who work on ridgeswitch. Everything needs only Go and make.

DEPLOYMENT ?= hivatal
DURATION   ?= 10s
SEED       ?= 1

.PHONY: build test demo check format

build:
	go build -o bin/ ./cmd/...

# Formatting, vet, static analysis and all tests.
test: check
	go test ./...

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

DEPLOYMENT ?= alokrekha
GOBIN := $(shell go env GOPATH)/bin
LINT_VERSION := v2.15.0

.PHONY: build test lint fmt run up down soak faults faults-short clients seeds measure scale bench tools ci

build:
	go build -o bin/lovagelever .
	go build -o bin/standin ./standin
	go build -o bin/caller ./caller
	go build -o bin/measurer ./measurer

test:
	go test -race -count=1 ./...

soak: build seeds
	go test -tags soak -count=1 -timeout 60m -v ./prover

# SEEDS=50 FIRST=1 LANES=4 SOAK=12s are the defaults of the script.
faults: build
	scripts/faults.sh

faults-short: build
	SEEDS=1 LANES=1 SOAK=5s scripts/faults.sh

# The specs of clients outside the limits, one after the other; they bound memory, so nothing should run beside them.
clients: build
	scripts/clients.sh

seeds:
	LOVAGELEVER_SEEDS=$${SEEDS:-1000} go test -count=1 -timeout 60m ./admitter ./claimer ./completer ./forwarder ./keeper ./planner

bench:
	go test -run XXX -bench . ./...

measure:
	scripts/measure.sh

scale:
	scripts/scale.sh

run:
	scripts/run.sh

up:
	scripts/up.sh $(DEPLOYMENT)

down:
	scripts/down.sh $(DEPLOYMENT)

fmt:
	gofmt -w .

tools:
	@$(GOBIN)/golangci-lint version 2>/dev/null | grep -q "$(LINT_VERSION:v%=%)" || \
		go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)

lint: tools
	$(GOBIN)/golangci-lint run --build-tags soak ./...

ci:
	bash .ci/run

# Targets for building, checking and measuring wigeonshift.

GO ?= go
GOLANGCI_VERSION := v2.15.0
GOLANGCI := $(shell $(GO) env GOPATH)/bin/golangci-lint

.PHONY: all
all: fmt lint test build

.PHONY: build
build:
	$(GO) build -o bin/wigeonshift ./cmd/wigeonshift

.PHONY: tools
tools:
	@$(GOLANGCI) version 2>/dev/null | grep -q "$(GOLANGCI_VERSION:v%=%)" || \
		$(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)

.PHONY: fmt
fmt: tools
	$(GOLANGCI) fmt

.PHONY: lint
lint: tools
	$(GOLANGCI) fmt --diff
	$(GOLANGCI) run --timeout 10m

# The fault soak builds and runs the programs, which Go's test cache doesn't know.
.PHONY: test
test:
	$(GO) vet ./...
	$(GO) test $$($(GO) list ./... | grep -v /wigeonsoak$$)
	$(GO) test -count=1 -timeout 30m ./internal/soak/wigeonsoak
	@if [ -s KNOWN-RED.txt ]; then echo "known failures, skipped:"; cat KNOWN-RED.txt; fi

.PHONY: check
check: lint test build

# Generates the Go code of the wire format; buf and protoc-gen-go must be on the PATH.
.PHONY: generate
generate:
	cd internal/modules/wigeonwire && buf generate

# Compares the scheduling policy with baseline policies; the same seed gives the same results.
SEED ?= 1
.PHONY: bench-policy
bench-policy: build
	./bin/wigeonshift policy --seed $(SEED)
# Measures the cost growth documented in docs/CAPACITY.md; takes several minutes.
.PHONY: measure
measure:
	$(GO) run ./cmd/wigeonshift measure --out docs/measurements

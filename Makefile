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

.PHONY: test
test:
	$(GO) vet ./...
	$(GO) test ./...
	@if [ -s KNOWN-RED.txt ]; then echo "known red, passed over:"; cat KNOWN-RED.txt; fi

.PHONY: check
check: lint test build

# Compiles the wire format; buf and protoc-gen-go must be on the path.
.PHONY: generate
generate:
	cd internal/modules/wigeonwire && buf generate

# Measures the scheduling policy against ordinary ones; the same seed gives the same figures.
SEED ?= 1
.PHONY: bench-policy
bench-policy: build
	./bin/wigeonshift policy --seed $(SEED)
# Measures the slopes behind docs/CAPACITY.md; takes some minutes.
.PHONY: measure
measure:
	$(GO) run ./cmd/wigeonshift measure --out docs/measurements

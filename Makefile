# test and demo are the two commands of the README.
GO ?= go

.PHONY: test demo bench faults build fmt lint
test: fmt lint
	$(GO) test -race -timeout 20m ./...

fmt:
	@out=$$(gofmt -l .); if [ -n "$$out" ]; then echo "gofmt needed:"; echo "$$out"; exit 1; fi

lint:
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

build:
	$(GO) build -o bin/ ./cmd/...

# demo runs a small deployment of separate processes with checked load.
demo:
	./scripts/demo.sh

# faults starts real processes on loopback, breaks them and checks every answer.
faults:
	$(GO) test -tags faults -count 1 -timeout 30m ./internal/faults -v -ginkgo.v

# bench prints the table of docs/MEASUREMENTS.md from virtual time.
bench:
	$(GO) run ./cmd/agate-load bench

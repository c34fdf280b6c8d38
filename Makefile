# The README describes the targets test and demo.
GO ?= go

.PHONY: test demo bench faults explore fuzz soak build fmt lint gopls
test: fmt lint
	$(GO) test -race -timeout 20m ./...

fmt:
	@out=$$(gofmt -l .); if [ -n "$$out" ]; then echo "gofmt needed:"; echo "$$out"; exit 1; fi

lint:
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

build:
	$(GO) build -o bin/ ./cmd/...

# demo runs a small deployment of separate processes under load and verifies the
# answers.
demo:
	./scripts/demo.sh

# faults runs separate processes on loopback, injects faults and checks every
# answer. Three fleets run at the same time, so that the suite takes less than 8
# minutes.
SEED ?= $(shell date +%s)
faults:
	$(GO) run github.com/onsi/ginkgo/v2/ginkgo --tags faults --procs 3 --seed $(SEED) --timeout 30m -v ./internal/faults

# bench runs the experiments in virtual time and prints the table of
# docs/MEASUREMENTS.md.
bench:
	$(GO) run ./cmd/agate-load bench

# explore runs the property tests with more cases than CI and a seed taken from the
# current time. A failure that it finds becomes a test or an entry in
# KNOWN-RED.txt.
CHECKS ?= 2000
PROPERTIES = ./internal/decide/... ./internal/tables ./internal/settings
explore:
	@echo "SEED=$(SEED) CHECKS=$(CHECKS)"
	@for p in $$($(GO) list -f '{{if .XTestImports}}{{.ImportPath}} {{.XTestImports}}{{end}}' $(PROPERTIES) | grep pgregory.net/rapid | cut -d' ' -f1); do \
		$(GO) test $$p -timeout 30m -rapid.seed=$(SEED) -rapid.checks=$(CHECKS) || exit 1; done

# fuzz runs the fuzz tests of the decoders of external input. Go keeps failing
# inputs in testdata and runs them with the tests from then on.
FUZZTIME ?= 20s
fuzz:
	@for p in ./platform ./internal/wire ./internal/upstream ./internal/tables ./internal/strictjson; do \
		for f in $$($(GO) test $$p -list '^Fuzz' | grep ^Fuzz); do \
			$(GO) test $$p -run '^$$' -fuzz "^$$f$$" -fuzztime $(FUZZTIME) -fuzzminimizetime 1s || exit 1; done; done

# soak runs the randomized fault test of the programs in platform mode with one
# seed. If SOAK_KEEP names a folder, the logs of a failed run are copied to it.
SECONDS ?= 30
soak:
	SOAK_SEED=$(SEED) SOAK_SECONDS=$(SECONDS) $(GO) test ./internal/soak -count=1 -run TestSoak -timeout 30m -v

# gopls installs the language server, for renames: gopls rename -w FILE:LINE:COL NAME.
# CI does not use it. The newest version needs a newer Go.
GOPLS = golang.org/x/tools/gopls@v0.22.0
gopls:
	$(GO) install $(GOPLS)

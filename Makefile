# Verbs of the project; README.md shows demo and test, CONTRIBUTING.md the rest.
GO ?= go

.PHONY: build test lint format demo bench bench-capacity bench-system fuzz soak soak-platform generate

build:
	$(GO) build -o bin/ ./cmd/...

# The tests of every package, also those that start separate processes on loopback. Tests listed in
# KNOWN-RED.txt are run and printed, and do not decide the verdict.
test: build
	$(GO) run ./internal/knownred ./... -- -count=1

lint:
	@out=$$($(GO) tool gofumpt -l cmd internal pkg platform); if [ -n "$$out" ]; then echo "gofumpt: not formatted:"; echo "$$out"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool revive -config revive.toml -set_exit_status ./...

format:
	$(GO) tool gofumpt -w cmd internal pkg platform

generate:
	$(GO) generate ./...

# Both deployments on loopback with faults; ends by itself within 45 s and leaves no process behind.
demo: build
	bin/standin demo --serve bin/medlarlatch

# New seeds for the generated tests, until SOAK has passed; prints each seed, so that a failure can be
# repeated with MEDLARLATCH_SEED=N make test.
SOAK ?= 120
soak:
	@end=$$(($$(date +%s) + $(SOAK))); while [ $$(date +%s) -lt $$end ]; do \
		seed=$$(od -An -N4 -tu4 /dev/urandom | tr -d ' '); echo "seed $$seed"; \
		MEDLARLATCH_SEED=$$seed $(GO) test -count=1 $$(grep -rl internal/seed --include=main_test.go internal | xargs -n1 dirname | sed 's#^#./#') || exit 1; \
	done

# The soak of entry instances on a stand-in of the users' platform, as real processes, for a range of seeds.
SOAK_SEEDS ?= 100-119
soak-platform:
	SOAK_SEEDS=$(SOAK_SEEDS) $(GO) test -count=1 -v -parallel 3 -timeout 60m ./platform/soak

# medlarlatch beside the baseline as separate processes, about 3 minutes; writes docs/plots.
bench-system: build
	bin/standin measure --plots docs/plots

# Every fuzz target for FUZZTIME each, one after the other. All of them run, also after a failure, whose input is
# printed and kept in the package's testdata/fuzz.
FUZZTIME ?= 10s
fuzz:
	@failed=0; for target in $$(grep -rHoE '^func Fuzz[A-Za-z0-9_]+' --include='*_test.go' cmd internal pkg platform | sed 's/:func /:/' | sort); do \
		package=./$$(dirname $${target%%:*}); name=$${target##*:}; echo "$$package $$name"; \
		$(GO) test -run '^$$' -fuzz "^$$name\$$" -fuzztime $(FUZZTIME) $$package || failed=1; \
	done; exit $$failed

# All benchmarks of the repository, then the lines fitted through those that run at several sizes. BENCH_COUNT runs
# give medians.
BENCH_COUNT ?= 3
BENCH_TIME ?= 100ms
bench:
	@out=$$(mktemp); $(GO) test -run '^$$' -bench . -benchtime $(BENCH_TIME) -count $(BENCH_COUNT) -p 1 ./internal/... > $$out; code=$$?; \
		grep -E '^(Benchmark|pkg:|FAIL|---)' $$out; $(GO) run ./internal/slope < $$out; rm -f $$out; exit $$code

# The benchmarks behind docs/CAPACITY.md.
CAPACITY = RouteAndClaim|Spread|Claimed|ZoneLost|BenchmarkUpdate|BenchmarkHeartbeat|Listed|BenchmarkDecision|BenchmarkCall|ForwardedPart|InstanceList|EngineUpdate|Catalogue|BenchmarkGet|BenchmarkPlan|InForce|Exchange|Connections|Window|Owned|Adoption|BenchmarkState|Subrequest
bench-capacity:
	@out=$$(mktemp); $(GO) test -run '^$$' -bench '$(CAPACITY)' -benchtime $(BENCH_TIME) -count $(BENCH_COUNT) -p 1 ./internal/... > $$out; code=$$?; \
		grep -E '^(Benchmark|pkg:|FAIL|---)' $$out; $(GO) run ./internal/slope < $$out; rm -f $$out; exit $$code

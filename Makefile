# Run `make help` to list the targets.
BIN := bin
PROGRAMS := rockcroft-entry rockcroft-gateway rockcroftctl standin-platform standin-upstream rockload rocksoak

.PHONY: help build demo experiment

help: ## list the targets
	@grep -hE '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*## /\t/'

build: ## build all programs into bin/
	@mkdir -p $(BIN)
	go build -o $(BIN) $(addprefix ./cmd/,$(PROGRAMS))

demo: build ## run a small deployment under load for 30 seconds and print a report
	scripts/experiment.sh demo demo

SHAPE ?= demo
NAME ?= steady
experiment: build ## run one experiment: make experiment SHAPE=addis NAME=crash
	scripts/experiment.sh $(SHAPE) $(NAME)

.PHONY: test test-race test-lab race fuzz soak lab guards bench check

# A simulation of bench/lab has one goroutine (TestSimulationHasOneGoroutine), in which the race detector finds
# nothing and takes six times as long. Simulations side by side run with it once, the load tests without it.
LAB := ./bench/lab
LAB_RACE := TestSameSeedGivesSameResult|TestCommand
SKIP_FLAG = $(if $(SKIP),-skip '^($(SKIP))$$')

test: test-race test-lab ## run all tests, with fixed seeds and iteration counts
test-race: ## run the tests with the race detector, without the load tests of the lab
	go test -race -timeout 20m $(SKIP_FLAG) $$(go list ./... | grep -v '/bench/lab$$')
	go test -race $(SKIP_FLAG) -run '^($(LAB_RACE))$$' $(LAB)
test-lab: ## run the tests of the lab
	go test -timeout 20m $(SKIP_FLAG) $(LAB)

FUZZ_CHECKS ?= 20000
fuzz: ## run the long fuzz tests of ownership and print the number of steps
	go test ./proof -timeout 60m -v -run OneOwner -rapid.seed=0 -rapid.checks=$(FUZZ_CHECKS) -rapid.steps=100

SOAK_FROM ?= 1
SOAK_TO ?= 4
soak: build ## run seeded fault sequences against real gateway processes: make soak SOAK_FROM=1 SOAK_TO=50
	scripts/soak.sh $(SOAK_FROM) $(SOAK_TO)

lab: build ## simulate request handling in virtual time and compare it with an ideal and a plain policy
	bin/rockload lab run calm hot-key hot-key-refusing busy overload losses rough in-need

guards: ## remove the safety checks one at a time and verify that the tests detect it
	scripts/guards.sh

bench: ## run the benchmarks from which docs/CAPACITY.md is derived
	go test -run '^$$' -bench . -benchmem ./coordination/... ./state/... ./transport/... ./entry ./gateway

check: ## run gofmt, go vet and staticcheck
	gofmt -l .
	go vet ./...
	staticcheck ./...

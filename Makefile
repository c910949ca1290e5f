# Run `make help` for the targets.
BIN := bin
PROGRAMS := rockcroft-entry rockcroftctl standin-platform standin-upstream rockload

.PHONY: help build demo experiment

help: ## show the targets
	@grep -hE '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*## /\t/'

build: ## build all programs into bin
	@mkdir -p $(BIN)
	go build -o $(BIN) $(addprefix ./cmd/,$(PROGRAMS))

demo: build ## run a small deployment under load for half a minute and print a table
	scripts/experiment.sh demo demo

SHAPE ?= demo
NAME ?= steady
experiment: build ## run one experiment: make experiment SHAPE=addis NAME=crash
	scripts/experiment.sh $(SHAPE) $(NAME)

# Run `make` or `make help` for the list of targets.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready

.DEFAULT_GOAL := help

.PHONY: help
help: ## List the targets
	@grep -hE '^[a-z-]+:.*## ' $(MAKEFILE_LIST) | awk -F ':.*## ' '{printf "  %-10s %s\n", $$1, $$2}'

$(READY): pyproject.toml requirements/lock.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --requirement requirements/lock.txt
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(READY)

.PHONY: install
install: $(READY) ## Create the virtual environment and install everything locked

.PHONY: demo
demo: $(READY) ## Set up, then run the main job end to end on the stand-ins
	$(BIN)/python -m standins.demo

.PHONY: test
test: $(READY) ## Set up, then run the tests
	$(BIN)/python -m pytest $(addprefix --deselect ,$(shell sed -n 's/^test: //p' KNOWN-RED.txt))

.PHONY: check
check: $(READY) ## Run the formatter and the linter without changing files
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

.PHONY: format
format: $(READY) ## Format the code and apply the linter's safe fixes
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

.PHONY: bench
bench: $(READY) ## Run the measurements and print their tables
	$(BIN)/python -m benchmarks

.PHONY: soak
soak: $(READY) ## Run fresh seeds of faults on real processes
	$(BIN)/python -W ignore -m soak

.PHONY: dist
dist: $(READY) ## Build the one-file executable into dist/
	$(BIN)/python onefile/build.py dist/sequoiachute

.PHONY: dist-check
dist-check: dist ## Build the one file, start it twice and count its children
	$(BIN)/python -W ignore -m standins.dist_check dist/sequoiachute

.PHONY: clean
clean: ## Remove the virtual environment and build results
	rm -rf $(VENV) build dist .pytest_cache .ruff_cache .hypothesis

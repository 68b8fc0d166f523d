# `make demo` and `make test` set up the environment first if needed.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
export PYTHONDONTWRITEBYTECODE ?= 1

.PHONY: setup demo test lint format prove measure measure-quick mutations

setup: $(STAMP)

$(STAMP): pyproject.toml requirements.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $(STAMP)

test: $(STAMP)
	$(BIN)/python -m nose2 -c unittest.cfg -s tests -t .

lint: $(STAMP)
	$(BIN)/ruff format --check nutmegspoke tests
	$(BIN)/flake8 nutmegspoke tests
	$(BIN)/lint-imports

format: $(STAMP)
	$(BIN)/ruff format nutmegspoke tests

demo: $(STAMP)
	$(BIN)/python -m nutmegspoke.bench.demo

prove: $(STAMP)
	$(BIN)/python -m tests.prove

mutations: $(STAMP)
	$(BIN)/python -m tests.mutations

measure: $(STAMP)
	$(BIN)/python -m nutmegspoke.bench.measure

measure-quick: $(STAMP)
	$(BIN)/python -m nutmegspoke.bench.measure --quick

PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin
DEPLOYMENT ?= yorgan
SEED ?= 1
MINUTES ?= 5

# Sets of strings keep the same order in every run, so that the tests give the same result.
export PYTHONHASHSEED ?= 0

.PHONY: test lint format demo measure fuzz

$(VENV)/.installed: requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

test: $(VENV)/.installed
	$(BIN)/python -m pytest

lint: $(VENV)/.installed
	$(BIN)/black --check --quiet src tests
	$(BIN)/ruff check --no-cache src tests

format: $(VENV)/.installed
	$(BIN)/black --quiet src tests
	$(BIN)/ruff check --no-cache --fix src tests

demo: $(VENV)/.installed
	$(BIN)/ibiswick-load demo $(DEPLOYMENT)

measure: $(VENV)/.installed
	$(BIN)/ibiswick-load measure --output build/measures.json

fuzz: $(VENV)/.installed
	IBISWICK_FUZZ_SEED=$(SEED) IBISWICK_FUZZ_MINUTES=$(MINUTES) $(BIN)/ibiswick-load fuzz --seed $(SEED) --minutes $(MINUTES)

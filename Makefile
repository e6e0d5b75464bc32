VENV ?= .venv
PYTHON ?= python3
EXAMPLE ?= papadakis
SEED ?= 1
SECONDS ?= 60
BIN = $(VENV)/bin
export PYTHONPATH = src:.

.PHONY: install demo prove-processes test lint format unit check-model

# SKIP_INSTALL=1 uses the environment as it is.
ifeq ($(SKIP_INSTALL),)
install: $(VENV)/.installed
else
install:
endif

$(VENV)/.installed: requirements.txt requirements-dev.txt constraints.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements-dev.txt -c constraints.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation -e . \
		|| $(BIN)/pip install --quiet --no-deps -e .
	touch $@

demo: install
	$(BIN)/python -m tools.demo $(EXAMPLE)

# Breaks processes at random for SECONDS and checks the invariants.
prove-processes: install
	$(BIN)/python -m tools.prove --seed $(SEED) --seconds $(SECONDS)

lint: install
	$(BIN)/ruff format --check src tests tools
	$(BIN)/ruff check src tests tools
	$(BIN)/flake8 src tests tools
	$(BIN)/mypy

format: install
	$(BIN)/ruff format src tests tools
	$(BIN)/ruff check --fix src tests tools

unit: install
	$(BIN)/python -m pytest

test: lint unit

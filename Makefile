VENV ?= .venv
PYTHON ?= python3
EXAMPLE ?= papadakis
SEED ?= 1
SECONDS ?= 60
CORES ?= 6
SEEDS ?= 1
VARIANT ?= none
EVACUATE ?=
BIN = $(VENV)/bin
export PYTHONPATH = src:platform:.
# Random runs repeat exactly only when sets iterate in the same order.
export PYTHONHASHSEED = 0

.PHONY: install demo test lint format unit prove prove-processes
.PHONY: check-model measure-capacity simulate check-manifest

# SKIP_INSTALL=1 uses the environment as it is.
ifeq ($(SKIP_INSTALL),)
install: $(VENV)/.installed
else
install:
endif

$(VENV)/.installed: requirements.txt requirements-dev.txt constraints.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements-dev.txt -c constraints.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation -e .
	touch $@

demo: install
	$(BIN)/python -m tools.demo $(EXAMPLE)

# Takes about four minutes; writes docs/CAPACITY.md and the raw figures.
measure-capacity: install
	$(BIN)/python -m tools.capacity.measure

# Breaks processes at random for SECONDS and checks the invariants.
prove-processes: install
	$(BIN)/python -m tools.prove --seed $(SEED) --seconds $(SECONDS)

lint: install
	$(BIN)/ruff format --check src platform tests tools
	$(BIN)/ruff check src platform tests tools
	$(BIN)/flake8 src platform tests tools
	$(BIN)/mypy

format: install
	$(BIN)/ruff format src platform tests tools
	$(BIN)/ruff check --fix src platform tests tools

unit: install
	$(BIN)/python -m pytest

test: lint unit

# Random faults for SECONDS of virtual time on workers of CORES cores.
prove: install
	$(BIN)/python -m tests.proof $(SEED) $(SECONDS) $(CORES)

# Random faults of the scheduler's nodes, for SEEDS seeds from SEED on.
simulate: install
	$(BIN)/python -m tests.scheduler.simulation $(SEED) $(SECONDS) \
		--seeds $(SEEDS) --variant $(VARIANT) \
		$(if $(EVACUATE),--evacuate)

check-model: install
	$(BIN)/python -m tools.check_model

# MANIFEST=file [IN_FORCE=file] [FLEET=file] [SAMPLES=file] [FORMAT=json]
# [STRICT=1]; docs/operators/check.md.
check-manifest: install
	@$(BIN)/python platform/check_manifest.py "$(MANIFEST)" \
		$(if $(IN_FORCE),--in-force "$(IN_FORCE)") \
		$(if $(FLEET),--fleet "$(FLEET)") $(if $(SAMPLES),--samples "$(SAMPLES)") \
		$(if $(FORMAT),--format $(FORMAT)) $(if $(STRICT),--strict)

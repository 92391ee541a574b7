# Development tasks. Each target sets up what it needs on a fresh machine.
VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
STAMP = $(VENV)/requirements.stamp

.PHONY: setup format check test demo bench chaos soak experiment clean

setup: $(STAMP)

$(STAMP): requirements.txt requirements-dev.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check \
		-r requirements-dev.txt
	touch $(STAMP)

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

check: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

test: $(STAMP)
	PYTHONPATH=. $(BIN)/python -m pytest

demo: $(STAMP)
	PYTHONPATH=. $(BIN)/python scripts/demo.py

clean:
	rm -rf build

bench: $(STAMP)
	PYTHONPATH=. $(BIN)/python scripts/bench.py $(ONLY)

# Simulates loads on the entries in virtual time and prints what callers get.
LOAD ?=
experiment: $(STAMP)
	PYTHONPATH=. $(BIN)/python scripts/experiment.py --only "$(LOAD)"

SEED ?= 1
STEPS ?= 50
chaos: $(STAMP)
	PYTHONPATH=. $(BIN)/python scripts/chaos.py --seed $(SEED)

SEEDS ?= 1
EXAMPLES ?= 100
soak: $(STAMP)
	PYTHONPATH=. $(BIN)/python scripts/soak.py --seeds $(SEEDS) \
		--examples $(EXAMPLES) --steps $(STEPS)

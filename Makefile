PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
SEED ?= 1
STEPS ?= 50
FLEET ?= cooperativa
REQUESTS ?= 4000

.PHONY: demo test lint bench fuzz lock

$(STAMP): requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --require-hashes -r requirements.lock
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m hibiscusstile.ctl demo
	$(BIN)/python -m soak.demo

test: $(STAMP)
	$(BIN)/python -m pytest

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

bench: $(STAMP)
	$(BIN)/python -m bench --seed $(SEED) --fleet $(FLEET) \
		--requests $(REQUESTS)

fuzz: $(STAMP)
	$(BIN)/python -m tests.fuzz --seed $(SEED) --steps $(STEPS)

lock: $(STAMP)
	$(BIN)/python tools/lock.py

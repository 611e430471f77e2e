PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
SEED ?= 1
STEPS ?= 50
FLEET ?= cooperativa
REQUESTS ?= 4000
COMPILE := $(BIN)/uv pip compile --quiet --universal --python-version 3.11 \
	--generate-hashes --no-emit-index-url --no-annotate --no-header

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

# Pinned versions stay unless pyproject.toml excludes them; delete a line of
# requirements.lock to renew that package.
lock: $(STAMP)
	$(COMPILE) --extra dev -o requirements.lock pyproject.toml
	$(COMPILE) --constraint requirements.lock -o deploy/requirements.lock \
		pyproject.toml

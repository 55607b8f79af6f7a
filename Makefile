# Every target makes the environment it needs: nothing but python3.11
# and make has to be on the machine.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test lint types unit model model-full bench clean

$(STAMP): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --upgrade pip
	$(BIN)/pip install --quiet --editable '.[dev]'
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/crowdeck demo $(ARGS)

test: lint types unit model

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/flake8 src tests bench spec examples

types: $(STAMP)
	$(BIN)/mypy

unit: $(STAMP)
	$(BIN)/python -m pytest

model: $(STAMP)
	$(BIN)/python -m spec

model-full: $(STAMP)
	$(BIN)/python -m spec --full

bench: $(STAMP)
	$(BIN)/python -m bench

clean:
	rm -rf $(VENV) build .mypy_cache .ruff_cache

# Two commands set up everything they need: `make demo` and `make test`.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test lint bench binary clean

$(STAMP): pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --editable '.[dev]'
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m bench.demo

test: $(STAMP)
	$(BIN)/python -m pytest

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

bench: $(STAMP)
	$(BIN)/python -m bench.experiments

binary: $(STAMP)
	$(BIN)/python -m tools.build_binary

clean:
	rm -rf dist build .pytest_cache .ruff_cache .hypothesis

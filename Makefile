PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
SEED ?= 1
MINUTES ?= 1
SECONDS ?= 30

.PHONY: demo test lint bench bench-short soak platform-soak fair-load docs clean

$(STAMP): constraints.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt --editable '.[dev]'
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m bench.demo

test: $(STAMP)
	$(BIN)/python -m tests

lint: $(STAMP)
	$(BIN)/ruff format --check src bench tests docs
	$(BIN)/ruff check src bench tests docs
	$(BIN)/flake8 src bench tests docs
	$(BIN)/mypy

bench: $(STAMP)
	$(BIN)/python -m bench

bench-short: $(STAMP)
	$(BIN)/python -m bench --short

soak: $(STAMP)
	$(BIN)/python -m bench.soak --seed $(SEED) --minutes $(MINUTES)

platform-soak: $(STAMP)
	$(BIN)/python -m bench.platformsoak --seed $(SEED) --seconds $(SECONDS)

fair-load: $(STAMP)
	$(BIN)/python -m bench.fairload --seed $(SEED)

docs: $(STAMP)
	$(BIN)/python -m docs.generate

clean:
	rm -rf $(VENV) bench/out

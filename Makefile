VENV ?= .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test lint format prove mutants soak bench bench-path capacity clean

$(STAMP): requirements.lock pyproject.toml
	python3.11 -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --editable .
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m scripts.demo

test: $(STAMP)
	$(BIN)/python -m pytest

prove: $(STAMP)
	$(BIN)/python -m scripts.prove

mutants: $(STAMP)
	$(BIN)/python -m scripts.mutants

soak: $(STAMP)
	$(BIN)/python -m soak --first $$(date +%s) --count 5

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench: $(STAMP)
	$(BIN)/python -m bench.policy
	$(BIN)/python -m bench.stragglers
	$(BIN)/python -m bench.outages

bench-path: $(STAMP)
	$(BIN)/python -m bench.path

capacity: $(STAMP)
	$(BIN)/python -m bench.capacity

clean:
	rm -rf $(VENV) .pytest_cache .hypothesis build

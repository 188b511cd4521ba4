PYTHON ?= python3
VENV ?= .venv
STAMP = $(VENV)/.installed

.PHONY: setup demo test lint format bench binary

setup: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/python -m pip install --quiet --requirement requirements.lock
	touch $(STAMP)

demo: setup
	$(VENV)/bin/python -m tools.demo
	$(VENV)/bin/python -m tools.platform_demo

test: setup lint
	$(VENV)/bin/python -m tools.run_tests

lint: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy burdockhitch tools benchmarks

format: setup
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

bench: setup
	$(VENV)/bin/python -m benchmarks

binary: setup
	$(VENV)/bin/python -m tools.build_binary

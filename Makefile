PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := core client server standins
STAMP := $(VENV)/.installed

.PHONY: demo test bench soak format lint docs

SEEDS ?= 10
FIRST ?= 0
MINUTES ?= 0

$(STAMP): requirements.lock $(PACKAGES:%=packages/%/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation $(PACKAGES:%=-e packages/%) -e platform
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m lagoonshelf_standins.demo

test: $(STAMP)
	$(BIN)/python -m tests

bench: $(STAMP)
	$(BIN)/python -m bench

soak: $(STAMP)
	$(BIN)/python -m tests.platform.soak --seeds $(SEEDS) --first $(FIRST) --minutes $(MINUTES)

format: $(STAMP)
	$(BIN)/ruff format .

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

docs: $(STAMP)
	$(BIN)/python -m tools.result_codes docs/result-codes.md
	$(BIN)/python -m tools.settings_page docs/settings.md

PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := objects policy fleet node mesh client testkit
EDITABLE := $(foreach package,$(PACKAGES),-e packages/$(package))
BENCH ?= path
WORKERS ?= 4
SEED ?= 1
RUNS ?= 1

.PHONY: env format lint test demo bench controls scenarios soak

env: $(VENV)/installed

$(VENV)/installed: constraints.txt requirements-dev.txt $(wildcard packages/*/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	# Packages without a wheel for this machine are built with these.
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -c constraints.txt setuptools pbr
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-build-isolation -c constraints.txt -r requirements-dev.txt $(EDITABLE)
	touch $@

format: env
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

lint: env
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy packages/*/src platform

test: lint
	$(BIN)/python -m pytest -q -n $(WORKERS) -m "not exclusive"
	$(BIN)/python -m pytest -q -m exclusive

demo: env
	$(BIN)/python -m laburnumford_testkit.demo

bench: env
	$(BIN)/python -m laburnumford_testkit.bench $(BENCH)

controls: env
	$(BIN)/python -m laburnumford_testkit.controls

scenarios: env
	$(BIN)/python -m laburnumford_testkit.scenario --workers 2 scenarios

soak: env
	PYTHONPATH=platform $(BIN)/python -m laburnumford_soak --seed $(SEED) --runs $(RUNS)

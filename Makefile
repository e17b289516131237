# Each target sets up what it needs from the pinned requirements.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
ARGS ?=

.PHONY: soak demo test bench breakages golden clean

$(VENV)/run.stamp: requirements.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --requirement requirements.txt
	touch $@

$(VENV)/dev.stamp: requirements.txt requirements-dev.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --requirement requirements-dev.txt
	touch $@

demo: $(VENV)/run.stamp
	$(BIN)/python -m mulleinreach demo $(ARGS)

test: $(VENV)/dev.stamp
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/python -m pytest -m "not crowd" $(ARGS)
	$(BIN)/python -m pytest -m crowd -n 0 mulleinreach/platform/tests/crowds

bench: $(VENV)/dev.stamp
	$(BIN)/python -m benchmarks.all $(ARGS)

breakages: $(VENV)/dev.stamp
	$(BIN)/python -m benchmarks.breakages

soak: $(VENV)/dev.stamp
	$(BIN)/python -m mulleinreach.platform.tests.soak.run $(ARGS)

golden: $(VENV)/dev.stamp
	$(BIN)/python -m pytest tests --force-regen -q || true

clean:
	rm -rf $(VENV)

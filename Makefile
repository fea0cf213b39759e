# Routine commands. VENV may name an existing environment to share.
VENV ?= .venv
PYTHON ?= python3.11
PY := $(VENV)/bin/python
STAMP := $(VENV)/.stamp-$(shell cksum < requirements.lock | cut -d' ' -f1)

.PHONY: demo test lint format bench slopes fuzz explore margins pages clean

$(STAMP):
	test -x $(PY) || $(PYTHON) -m venv $(VENV)
	$(PY) -m pip install -q -r requirements.lock
	$(PY) -m pip install -q --no-deps -e .
	touch $@

demo: $(STAMP)
	$(PY) -m poplarspindle.tools.demo $(ARGS)

test: $(STAMP)
	$(PY) -m pytest $(ARGS)

lint: $(STAMP)
	$(PY) -m ruff format --check poplarspindle
	$(PY) -m ruff check poplarspindle

format: $(STAMP)
	$(PY) -m ruff format poplarspindle
	$(PY) -m ruff check --fix poplarspindle

bench: $(STAMP)
	$(PY) -m poplarspindle.tools.bench $(ARGS)

pages: $(STAMP)
	$(PY) -m poplarspindle.tools.pages

slopes: $(STAMP)
	$(PY) -m poplarspindle.tools.slopes $(ARGS)

fuzz: $(STAMP)
	$(PY) -m poplarspindle.tools.fuzz $(ARGS)

explore: $(STAMP)
	$(PY) -m poplarspindle.tools.explorer $(ARGS)

margins: $(STAMP)
	$(PY) -m poplarspindle.tools.margins $(ARGS)

clean:
	rm -rf $(VENV) out .ruff_cache .hypothesis

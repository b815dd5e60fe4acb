# Every target works on a fresh machine with Python 3.11 and make.
VENV ?= .venv
PYTHON := $(VENV)/bin/python
READY := $(VENV)/.ready
SEED ?= 1
SCHEDULES ?= 20
export PYTHONPATH := src:.

.PHONY: test lint format unit demo bench prove capacity binary clean

$(READY): pyproject.toml constraints.txt
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check -c constraints.txt -e '.[dev]'
	touch $(READY)

test: lint unit

lint: $(READY)
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m ruff check .

format: $(READY)
	$(PYTHON) -m ruff check --fix .
	$(PYTHON) -m ruff format .

unit: $(READY)
	$(PYTHON) -m tests.run

demo: $(READY)
	$(PYTHON) -m standins.demo

bench: $(READY)
	$(PYTHON) -m bench --seed $(SEED)

prove: $(READY)
	$(PYTHON) -m tests.prove --seed $(SEED) --schedules $(SCHEDULES)

capacity: $(READY)
	$(PYTHON) -m bench.capacity

binary: $(READY)
	$(PYTHON) -m bench.build_binary

clean:
	rm -rf $(VENV) build dist bench-results

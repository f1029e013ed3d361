VENV ?= .venv
PYTHON ?= python3.11
PORT ?= 8080

.PHONY: run test format types bench

run: $(VENV)/.run
	$(VENV)/bin/hornbeampier dev --port $(PORT)

test: $(VENV)/.test
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/python -m pytest

format: $(VENV)/.test
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

# Lists uses of unknown names and attributes. The list is compared before and
# after a rename; it is not empty, as some tests set attributes dynamically.
types: $(VENV)/.types
	$(VENV)/bin/mypy --check-untyped-defs --ignore-missing-imports \
		--no-error-summary hornbeampier bench tests \
		| grep -E '\[(attr-defined|name-defined|call-arg|has-type)\]'

bench: $(VENV)/.bench
	$(VENV)/bin/python -m bench

$(VENV)/.run: requirements/node.txt requirements/run.txt pyproject.toml
	test -x $(VENV)/bin/python || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install -q -r requirements/node.txt -r requirements/run.txt -e .
	touch $@

$(VENV)/.test: $(VENV)/.run requirements/test.txt
	$(VENV)/bin/pip install -q -r requirements/test.txt
	touch $@

$(VENV)/.bench: $(VENV)/.run requirements/bench.txt
	$(VENV)/bin/pip install -q -r requirements/bench.txt
	touch $@

$(VENV)/.types: $(VENV)/.test requirements/types.txt
	$(VENV)/bin/pip install -q -r requirements/types.txt
	touch $@

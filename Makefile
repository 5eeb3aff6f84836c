# The tasks of the project; each works on a fresh checkout.
PYTHON ?= python3
BIN := .venv/bin

.PHONY: build test lint run proto demo clean

build: $(BIN)/pytest

$(BIN)/pytest: pyproject.toml requirements.txt
	test -d .venv || $(PYTHON) -m venv .venv
	$(BIN)/pip -q install --disable-pip-version-check -e '.[test]'
	touch $@

test: build
	$(BIN)/pytest -q

lint: build
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .
	$(BIN)/mypy

# EDGE_CONFIG names the configuration; EDGE_LISTEN and EDGE_NAME win over what it says.
run: build
	$(BIN)/python -m magpieshift

clean:
	rm -rf .venv .venv-ci build .mypy_cache .ruff_cache .pytest_cache .hypothesis

# After a change of the control channel's messages or a capture's records.
proto: build
	$(BIN)/pip -q install --disable-pip-version-check -e '.[proto]'
	for each in control/wire/control capture/wire/capture membership/wire/members overload/wire/overload; do \
		$(BIN)/python -m grpc_tools.protoc -Imagpieshift/$$(dirname $$each) \
		--python_out=magpieshift/$$(dirname $$each) --pyi_out=magpieshift/$$(dirname $$each) \
		magpieshift/$$each.proto; done

# For a first look: a router amid stand-ins that fail, and a report of what came of it.
demo: build
	$(BIN)/magpieshift lab demo

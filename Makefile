PYTHON ?= python3
CI = .ci-venv/bin

.PHONY: build test lint types unit run sip drill demo clean

build:
	deploy/build

.ci-venv: requirements.txt requirements-tools.txt requirements-dev.txt
	$(PYTHON) -m venv .ci-venv
	$(CI)/pip -q install -r requirements.txt -r requirements-tools.txt -r requirements-dev.txt
	touch .ci-venv

test: lint types unit

lint: .ci-venv
	$(CI)/ruff check badgerstile landingdeal tests benchmarks
	$(CI)/ruff format --check -q .

types: .ci-venv
	$(CI)/mypy

unit: .ci-venv
	$(CI)/python -m pytest -q

run: build
	.venv/bin/python -B -m landingdeal

sip: build
	env -u ROUTER_CONFIG .venv/bin/python -B -m landingdeal --operator deploy/operator.toml

drill: build
	.venv/bin/python -B -m badgerstile.drill

demo: build
	.venv/bin/pip -q install -r requirements-tools.txt
	.venv/bin/python -m landingdeal demo

clean:
	rm -rf .venv .ci-venv .pytest_cache .mypy_cache .ruff_cache

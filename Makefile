PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
READY := $(VENV)/.installed

.PHONY: test demo gateway experts outage explore faults soak soak-failed capacity shares pages format generate clean

$(READY): requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(READY)

test: $(READY)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/python scripts/run_tests.py

demo: $(READY)
	$(BIN)/python scripts/demo.py
	$(BIN)/python scripts/demo_gateway.py

# A gateway with direct targets, and three failed requests traced from their ids.
gateway: $(READY)
	$(BIN)/python scripts/demo_gateway.py

experts: $(READY)
	$(BIN)/python scripts/demo_experts.py

outage: $(READY)
	$(BIN)/python scripts/outage_run.py

# Failure runs on real daemons over loopback; several minutes.
faults: $(READY)
	$(BIN)/python scripts/demo_failures.py

# Random faults on gateways and stand-ins of the platform; 25 s a seed.
SEED ?= 1
soak: $(READY)
	$(BIN)/python -m scripts.soak --seeds $(SEED)

# The seeds that ever broke a promise.
soak-failed: $(READY)
	$(BIN)/python -m scripts.soak --failed

# The figures that docs/CAPACITY.md uses; several minutes.
capacity: $(READY)
	$(BIN)/siskinthread measure path --json
	$(BIN)/siskinthread measure control --json

# docs/operators/settings-*.json5; a test compares them with the code.
pages: $(READY)
	$(BIN)/python scripts/render_pages.py

shares: $(READY)
	$(BIN)/python scripts/shares.py

explore: $(READY)
	$(BIN)/python scripts/explore_map_change.py

format: $(READY)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

# Needs Debian's thrift-compiler; the result is committed.
generate:
	rm -rf build/thrift && mkdir -p build/thrift
	for file in thrift/*.thrift; do thrift --gen py:slots -out build/thrift $$file; done
	mkdir -p siskinthread/wire/_generated
	cp -r build/thrift/siskinthread/wire/_generated/. siskinthread/wire/_generated/

clean:
	rm -rf $(VENV) build

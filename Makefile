# `make demo` runs the demonstration, `make check` runs all tests.
.PHONY: demo check build matrix measure lint asan tsan
build:
	@utils/install-deps.sh
	@cmake --preset release > /dev/null
	@cmake --build build

demo: build
	@utils/demo.sh bureau
	@utils/demo.sh kartvik

check: build
	@utils/check.sh

# Runs the fault matrix with a larger seeded sample of pairs of faults than `check` does.
matrix: build
	@LAURELCROFT_PAIRS=20000 build/test/FaultMatrix/fault-matrix

# Measures every figure of docs/MEASUREMENTS.md and docs/CAPACITY.md.
measure: build
	@utils/measure.sh

lint:
	@utils/lint.sh

asan:
	@cmake --preset asan > /dev/null && cmake --build build-asan && utils/check-sanitized.sh build-asan

tsan:
	@cmake --preset tsan > /dev/null && cmake --build build-tsan && utils/check-sanitized.sh build-tsan

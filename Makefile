# `make demo` runs the demonstration, `make test` all checks. Both install the
# packages that they need on a new Debian 12.
BUILD := build/release

.PHONY: demo test install build unit models process format tidy known-red soak bench fuzz clean

demo: install build
	bash tools/demo.sh

test: install build format tidy unit models process known-red

install:
	bash tools/install.sh

build:
	cmake --preset release
	cmake --build --preset release

unit: build
	cd $(BUILD) && ctest --output-on-failure

models:
	bash models/check.sh

process: build
	bash tests/process/run.sh

format:
	git ls-files '*.cpp' '*.hpp' | xargs clang-format --dry-run --Werror

tidy: build
	bash tools/tidy.sh

known-red:
	@if [ -s KNOWN-RED.txt ]; then cat KNOWN-RED.txt; else echo "no known red tests"; fi

# Targets that run long and are not part of `make test`.
soak: build
	RC_PARAMS="max_success=100000 max_size=400" $(BUILD)/tests/unit-tests "[property]"

bench: build
	bash bench/run.sh

fuzz:
	apt-get install -y --no-install-recommends libclang-rt-14-dev
	cmake --preset fuzz
	cmake --build --preset fuzz --target fuzz-all
	bash tests/fuzz/run.sh

clean:
	rm -rf build

# Entry point of the build. `make help` lists the targets.
BUILD ?= build
JOBS ?= $(shell nproc)
PACKAGES = g++ cmake make ninja-build ccache clang-format clang-tidy libboost1.81-dev libboost-program-options1.81-dev \
	libboost-json1.81-dev libnghttp2-dev liblog4cplus-dev librapidcheck-dev catch2 libflatbuffers-dev \
	flatbuffers-compiler libxxhash-dev libssl-dev libbenchmark-dev spin
SOURCES = $(shell git ls-files 'src/*.h' 'src/*.cpp' 'tests/*.h' 'tests/*.cpp' 'standin/*.h' 'standin/*.cpp' \
	'bench/*.h' 'bench/*.cpp' 'platform/*.h' 'platform/*.cpp' | grep -v generated)

.PHONY: help install build check test demo demo-platform format format-check tidy generate model check-asan check-tsan bench bench-core

help:
	@echo "install       install the Debian packages that the build needs (as root)"
	@echo "build         build all programs"
	@echo "test          run the tests of an existing build"
	@echo "check         install, build, test"
	@echo "demo          run both examples under load while parts of them change; below two minutes"
	@echo "demo-platform run balancers and agents for the platform before stand-ins while parts change; 40 s"
	@echo "bench         compare the decisions with baselines, and measure the configuration's spread"
	@echo "bench-core    time of one routing decision and bytes of one flow"
	@echo "format        format all sources; format-check only checks"
	@echo "check-asan    run the tests with AddressSanitizer and UndefinedBehaviorSanitizer"
	@echo "check-tsan    run the tests of rings and shells with ThreadSanitizer"
	@echo "tidy          run clang-tidy on all sources"
	@echo "model         check the specification in spec/ and its mutants with Spin"
	@echo "generate      regenerate the committed FlatBuffers code"

install:
	@dpkg -s $(PACKAGES) >/dev/null 2>&1 || { apt-get update -q && DEBIAN_FRONTEND=noninteractive apt-get install -y -q $(PACKAGES); }

build:
	@cmake -S . -B $(BUILD) -G Ninja >$(BUILD)-configure.log 2>&1 || { cat $(BUILD)-configure.log; exit 1; }
	cmake --build $(BUILD) -j $(JOBS)

# KNOWN-RED.txt, when it exists, names tests to skip; without an entry the pattern matches no test.
test:
	@cat KNOWN-RED.txt 2>/dev/null | sed -n 's/^test: /not run, see KNOWN-RED.txt: /p'
	ctest --test-dir $(BUILD) --output-on-failure -j 4 \
		-E "^($$(cat KNOWN-RED.txt 2>/dev/null | sed -n 's/^test: //p' | paste -sd '|'))$$"

check: install build test

bench: build
	$(BUILD)/decisions-bench
	$(BUILD)/replica-bench
	$(BUILD)/transit-policy-bench
	$(BUILD)/transit-capacity-bench

bench-core: build
	$(BUILD)/core-bench
	$(BUILD)/agent-bench
	$(BUILD)/loopback-bench
	$(BUILD)/capacity-bench
	$(BUILD)/transit-bench

demo: install build
	$(BUILD)/standin-demo examples/sofia examples/reykjavik

demo-platform: install build
	$(BUILD)/standin-transit-demo

format:
	clang-format -i $(SOURCES)

format-check:
	clang-format --dry-run --Werror $(SOURCES)

tidy:
	@git ls-files 'src/*.cpp' 'standin/*.cpp' 'platform/*.cpp' | grep -v generated | xargs -P $(JOBS) -n 4 clang-tidy -p $(BUILD) --quiet --extra-arg=-Wno-unknown-warning-option 2>/dev/null

generate:
	flatc --cpp --cpp-std c++17 --gen-mutable --scoped-enums -o src/generated src/wire.fbs
	flatc --cpp --cpp-std c++17 --gen-object-api --scoped-enums -o src/generated src/transit.fbs

model:
	JOBS=$(JOBS) spec/run.sh

# The tests with a sanitizer: all of them with AddressSanitizer, rings and shells with ThreadSanitizer.
check-asan:
	@cmake -S . -B $(BUILD)-asan -G Ninja -DHAWTHORNCROFT_SANITIZER=address,undefined >$(BUILD)-asan.log 2>&1 || { cat $(BUILD)-asan.log; exit 1; }
	cmake --build $(BUILD)-asan -j $(JOBS) --target hawthorncroft-tests
	$(MAKE) test BUILD=$(BUILD)-asan

check-tsan:
	@cmake -S . -B $(BUILD)-tsan -G Ninja -DHAWTHORNCROFT_SANITIZER=thread >$(BUILD)-tsan.log 2>&1 || { cat $(BUILD)-tsan.log; exit 1; }
	cmake --build $(BUILD)-tsan -j $(JOBS) --target hawthorncroft-tests
	$(BUILD)-tsan/hawthorncroft-tests "[ring],[http2],[control],[metrics],[standin],[fabric]"

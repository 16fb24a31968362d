# make demo: installs dependencies, builds, and runs a small fleet that serves chats
# make check: runs all tests
BUILD ?= build
SOURCES = $(shell git ls-files '*.c' '*.h' | grep -v 'pb-c')

.PHONY: all deps build demo check format lint sanitize clean

all: build

deps:
	sh test/install_dependencies.sh

build:
	cmake -S . -B $(BUILD) -G Ninja >/dev/null
	ninja -C $(BUILD) --quiet

demo: deps build
	LIMPET_BUILD=$(BUILD) python3 test/demo.py

check: deps build
	LIMPET_BUILD=$(BUILD) python3 test/run_all.py

format:
	clang-format -i $(SOURCES)

lint: build
	clang-format --dry-run --Werror $(SOURCES)
	cppcheck --quiet --error-exitcode=1 --inline-suppr --std=c11 \
	  --enable=warning,performance,portability \
	  --suppress=missingIncludeSystem --suppress=unknownMacro -I include -I src -I src/liblimpetroad -I . \
	  src platform

# Runs the unit tests under both sanitizers, and some system tests under AddressSanitizer.
# ThreadSanitizer cannot follow memory that GLib's slice allocator reuses in another thread, so
# G_SLICE makes GLib use malloc() instead.
sanitize:
	cmake -S . -B build-asan -G Ninja -DLIMPET_SANITIZER=address -DCMAKE_BUILD_TYPE=Debug >/dev/null
	cmake -S . -B build-tsan -G Ninja -DLIMPET_SANITIZER=thread -DCMAKE_BUILD_TYPE=Debug >/dev/null
	ninja -C build-asan --quiet && ninja -C build-tsan --quiet test_liblimpetroad
	ASAN_OPTIONS=detect_leaks=1 ./build-asan/test_liblimpetroad >build-asan/unit.log 2>&1 \
	  || (cat build-asan/unit.log; false)
	G_SLICE=always-malloc ./build-tsan/test_liblimpetroad >build-tsan/unit.log 2>&1 \
	  || (cat build-tsan/unit.log; false)
	ASAN_OPTIONS=detect_leaks=0 LIMPET_BUILD=build-asan python3 test/run_all.py test_one_key \
	  test_running_streams test_a_router_that_cannot >build-asan/fleets.log 2>&1 \
	  || (cat build-asan/fleets.log; false)
	@echo "sanitizers: clean"

clean:
	rm -rf $(BUILD)

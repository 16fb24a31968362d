# make demo: dependencies, build, a small fleet that answers chats
# make check: all tests
BUILD ?= build
SOURCES = $(shell git ls-files '*.c' '*.h' | grep -v 'pb-c')

.PHONY: all deps build demo check format lint unit system measure clean

all: build

deps:
	sh test/install_dependencies.sh

build:
	cmake -S . -B $(BUILD) -G Ninja >/dev/null
	ninja -C $(BUILD) --quiet

demo: deps build
	LIMPET_BUILD=$(BUILD) python3 test/demo.py

check: build
	LIMPET_BUILD=$(BUILD) python3 test/run_all.py

format:
	clang-format -i $(SOURCES)

lint: build
	clang-format --dry-run --Werror $(SOURCES)
	cppcheck --quiet --error-exitcode=1 --inline-suppr --std=c11 \
	  --enable=warning,performance,portability \
	  --suppress=missingIncludeSystem --suppress=unknownMacro -I include -I src -I src/liblimpetroad src

clean:
	rm -rf $(BUILD)

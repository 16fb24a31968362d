"""Runs the unit tests and the system tests and prints how many passed and failed.

    run_all.py [NAME_PART…]    only the system test cases whose name contains one of the parts

Functions named test_* in test/test_*.py are system tests. The failure of a case that
KNOWN-RED.txt lists ("red: NAME") is printed as known and not counted. LIMPET_CASES_AT_ONCE
sets how many cases run in parallel.
"""

import concurrent.futures
import glob
import importlib
import os
import re
import subprocess
import sys
import time
import traceback

import fleet as f

CASES_AT_ONCE = int(os.environ.get("LIMPET_CASES_AT_ONCE", "3"))
# Of what a known failure showed, as much as tells one cause from another.
MAX_CAUSE_LINES = 8
MAX_CAUSE_COLUMNS = 300


def table(rows):
    """Runs the decorated test once for each row (case name, arguments…)."""
    def wrap(function):
        function.rows = rows
        return function
    return wrap


def own_process(function):
    """Runs the decorated test in a Python process of its own, since its threads leave the stand-ins of
    other tests no time."""
    function.needs_process = True
    return function


# Returns the names of the cases that KNOWN-RED.txt lists.
def known_red():
    path = os.path.join(f.ROOT, "KNOWN-RED.txt")
    with open(path) as file:
        return set(re.findall(r"^red: (\S+)", file.read(), re.M))


# Yields (case name, function, arguments) of each system test of a module.
def cases_of(module):
    for name in sorted(vars(module)):
        function = getattr(module, name)
        if not name.startswith("test_") or not callable(function):
            continue
        rows = getattr(function, "rows", None)
        if rows is None:
            yield "%s.%s" % (module.__name__, name), function, ()
            continue
        for row in rows:
            yield "%s.%s[%s]" % (module.__name__, name, row[0]), function, row[1:]


def run_in_own_process(name):
    result = subprocess.run([sys.executable, os.path.abspath(__file__), name], text=True,
                            env=dict(os.environ, LIMPET_OWN_PROCESS="1"), capture_output=True)
    if "\nok    %s (" % name not in result.stdout:
        raise AssertionError(result.stdout + result.stderr[-2000:])


# Runs one case; returns (name, traceback or None, seconds).
def run_case(case):
    name, function, arguments = case
    start = time.monotonic()
    try:
        if getattr(function, "needs_process", False) and "LIMPET_OWN_PROCESS" not in os.environ:
            run_in_own_process(name)
        else:
            function(*arguments)
        return name, None, time.monotonic() - start
    except BaseException:
        return name, traceback.format_exc(limit=-7), time.monotonic() - start


# Returns the part of a traceback that says what was seen.
def cause_of(trace):
    lines = trace.rstrip().splitlines()
    last_place = max((i for i, line in enumerate(lines) if line.startswith("  File ")), default=-2)
    return "\n".join("    " + line[:MAX_CAUSE_COLUMNS] for line in lines[last_place + 2:][:MAX_CAUSE_LINES])


def run_units():
    """Runs the CUnit program; returns the number of passed and of failed tests."""
    result = subprocess.run([f.program("test_liblimpetroad")], capture_output=True, text=True)
    match = re.search(r"tests\s+(\d+)\s+(\d+)\s+(\d+)\s+(\d+)", result.stdout)
    if match is None or result.returncode not in (0, 1):
        print(result.stdout + result.stderr)
        return 0, 1
    passed, failed = int(match.group(3)), int(match.group(4))
    if failed:
        print(result.stdout)
    return passed, failed


def main():
    wanted = sys.argv[1:]
    sys.modules["run_all"] = sys.modules["__main__"]
    passed, failed = run_units() if not wanted else (0, 0)
    print("unit tests: %d passed, %d failed" % (passed, failed))
    red = known_red()
    names = sorted(os.path.basename(p)[:-3]
                   for p in glob.glob(os.path.join(f.ROOT, "test", "test_*.py")))
    cases = [c for n in names for c in cases_of(importlib.import_module(n))
             if not wanted or any(part in c[0] for part in wanted)]
    with concurrent.futures.ThreadPoolExecutor(CASES_AT_ONCE) as pool:
        for name, trace, seconds in pool.map(run_case, cases):
            if trace is None:
                passed += 1
                note = "passes now; remove it from KNOWN-RED.txt" if name in red else ""
                print("ok    %s (%.1f s) %s" % (name, seconds, note))
            elif name in red:
                print("red   %s, known failure (%.1f s)\n%s" % (name, seconds, cause_of(trace)))
            else:
                failed += 1
                print("FAIL  %s (%.1f s)\n%s" % (name, seconds, trace))
            sys.stdout.flush()
    print("%d passed, %d failed" % (passed, failed))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

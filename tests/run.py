"""Runs tests and reports known failures separately.

A test listed in KNOWN-RED.txt may fail: it is printed, and the run passes if no
other test fails. A listed test that passes is printed too, so that someone
checks whether it is fixed or flaky. A listed test that does not exist fails a
run of all tests. A skipped test counts as failed.
"""

import pathlib
import sys

from nose2.main import PluggableTestProgram

from tests.outcomes import OutcomePlugin

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def known_red():
    """Return the identifiers of the tests that are known to fail."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text("utf-8").splitlines()
    return {line.split()[1] for line in lines if line.startswith("test ")}


def run_tests(names):
    """Run the tests with these names, or all of them."""
    arguments = ["nose2", "-s", "tests", "-t", str(ROOT), "-v", *names]
    PluggableTestProgram(
        module=None, argv=arguments, plugins=["tests.outcomes"], exit=False
    )


def main(names):
    """Run the tests, print the counts and return the exit status."""
    run_tests(names)
    known = known_red()
    ran, failed = OutcomePlugin.ran, OutcomePlugin.failed
    for name in sorted(failed & known):
        print(f"KNOWN RED {name}")
    for name in sorted((known & ran) - failed):
        print(f"LISTED AS RED BUT PASSED {name}")
    missing = set() if names else known - ran
    for name in sorted(missing):
        print(f"LISTED AS RED BUT NOT FOUND {name}")
    unexpected = failed - known
    print(f"{len(failed & known)} known red")
    print(f"{len(ran) - len(failed)} passed, {len(unexpected)} failed")
    return 0 if ran and not unexpected and not missing else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

"""Run test modules in parallel and print a summary line.

A failure of a test listed in KNOWN-RED.txt (``test: <id>``) is printed, but does not fail the run.

Usage: ``python -m tests [module ...]``, for example ``python -m tests tests.core.test_clock``.
"""

import multiprocessing
import sys
import unittest
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parent
KNOWN_RED_FILE = ROOT.parent / "KNOWN-RED.txt"
PARALLEL_MODULES = 4
# Modules that run one at a time after all others: they measure the memory of a process under load.
EXCLUSIVE_MODULES = (
    "tests.platform.test_accepted_work",
    "tests.platform.test_untrusted_clients",
)


@dataclass(frozen=True, slots=True)
class ModuleResult:
    """Result of one test module.

    :param failed: test id and traceback of each failed test
    """

    name: str
    passed: int
    skipped: int
    failed: tuple[tuple[str, str], ...]


def find_modules() -> list[str]:
    """Return the names of all test modules, process tests first because they take longest."""
    paths = sorted(ROOT.rglob("test_*.py"), key=lambda path: ("processes" not in path.parts, path))
    return [".".join(path.relative_to(ROOT.parent).with_suffix("").parts) for path in paths]


def run_module(name: str) -> ModuleResult:
    """Run the tests of one module and return the result."""
    suite = unittest.defaultTestLoader.loadTestsFromName(name)
    result = unittest.TestResult()
    suite.run(result)
    failed = [(test.id(), text) for test, text in result.failures + result.errors]
    failed += [(test.id(), "unexpected success") for test in result.unexpectedSuccesses]
    passed = result.testsRun - len(failed) - len(result.skipped)
    return ModuleResult(name, passed, len(result.skipped), tuple(failed))


def read_known_failures() -> set[str]:
    """Return the ids of the tests that are listed in KNOWN-RED.txt."""
    if not KNOWN_RED_FILE.exists():
        return set()
    lines = KNOWN_RED_FILE.read_text().splitlines()
    return {line.removeprefix("test:").strip() for line in lines if line.startswith("test:")}


def _run_modules(modules: list[str], parallel: int) -> list[ModuleResult]:
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(parallel, mp_context=context) as pool:
        return list(pool.map(run_module, modules))


def main() -> int:
    """Run the modules given as arguments, or all modules, and return the exit code."""
    modules = sys.argv[1:] or find_modules()
    exclusive = [name for name in modules if name.startswith(EXCLUSIVE_MODULES)]
    shared = [name for name in modules if name not in exclusive]
    results = _run_modules(shared, PARALLEL_MODULES) + _run_modules(exclusive, 1)
    known_failures = read_known_failures()
    unexpected = 0
    for result in results:
        for test, text in result.failed:
            is_known = test in known_failures
            unexpected += not is_known
            print(f"{'KNOWN RED' if is_known else 'FAILED'}: {test}\n{text}", flush=True)
    passed = sum(result.passed for result in results)
    if passed + unexpected == 0:
        print("no test ran")
        return 1
    print(f"{passed} passed, {unexpected} failed", flush=True)
    return 1 if unexpected else 0

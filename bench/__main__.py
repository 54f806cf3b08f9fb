"""Entry point of ``python -m bench [name ...]``; without a name, runs all benchmarks."""

import sys
from importlib import import_module

BENCHMARKS = (
    "decisions",
    "edges",
    "capacity",
    "state_size",
    "cell_cost",
    "wide_jobs",
    "http_requests",
)


def main(names: list[str]) -> int:
    """Run the benchmarks, print their results and return the exit code."""
    unknown = [name for name in names if name not in BENCHMARKS]
    if unknown:
        print(f"unknown benchmark {unknown[0]!r}; known: {', '.join(BENCHMARKS)}")
        return 2
    for name in names or BENCHMARKS:
        print(name, flush=True)
        for row in import_module(f"bench.{name}").run():
            print(row, flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

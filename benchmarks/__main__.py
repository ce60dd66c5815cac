"""Runs the measurements: all of them, or those named on the command line."""

import importlib
import pkgutil
import sys

import benchmarks

PREFIX = "bench_"


def names() -> list[str]:
    """Return the names of the measurements, ``bench_NAME`` without its prefix."""
    found = []
    for module in pkgutil.iter_modules(benchmarks.__path__):
        if module.name.startswith(PREFIX):
            found.append(module.name.removeprefix(PREFIX))
    return sorted(found)


def main() -> None:
    """Run the measurements one after another."""
    for name in sys.argv[1:] or names():
        print(f"== {name}", flush=True)
        importlib.import_module(f"benchmarks.{PREFIX}{name}").main()


if __name__ == "__main__":
    main()

"""Runs all benchmarks, or those named on the command line."""

import importlib
import pkgutil
import sys

import benchmarks

MODULE_PREFIX = "bench_"


def list_benchmarks() -> list[str]:
    """Return the names of the benchmark modules without their prefix."""
    names = []
    for module in pkgutil.iter_modules(benchmarks.__path__):
        if module.name.startswith(MODULE_PREFIX):
            names.append(module.name.removeprefix(MODULE_PREFIX))
    return sorted(names)


def main() -> None:
    """Run the benchmarks one after another."""
    for name in sys.argv[1:] or list_benchmarks():
        print(f"== {name}", flush=True)
        importlib.import_module(f"benchmarks.{MODULE_PREFIX}{name}").main()


if __name__ == "__main__":
    main()

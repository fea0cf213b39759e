"""Runs named measurements and prints their figures.

A measurement is the function `measure` of a module in `benches`.
"""

import importlib
import json
import pkgutil
import sys

import defopt

import poplarspindle
from poplarspindle.tools import benches

MEASUREMENTS = tuple(
    sorted(module.name for module in pkgutil.iter_modules(benches.__path__))
)


def run_bench(*names: str, as_json: bool = False) -> int:
    """Runs measurements, all of them by default.

    Args:
        names: Names of measurements.
        as_json: Print one JSON object.
    """
    unknown = sorted({*names} - {*MEASUREMENTS})
    if unknown:
        print(
            f"no measurement {', '.join(unknown)};"
            f" there are: {', '.join(MEASUREMENTS)}",
            file=sys.stderr,
        )
        return 2
    figures = {
        name: importlib.import_module(f"{benches.__name__}.{name}").measure()
        for name in names or MEASUREMENTS
    }
    if as_json:
        print(json.dumps(figures))
        return 0
    for name, found in figures.items():
        print(name)
        for key, value in found.items():
            print(f"  {key:>20}  {value}")
    return 0


def main() -> None:
    """Runs the measurements named on the command line."""
    argv = ["--as-json" if a == "--json" else a for a in sys.argv[1:]]
    sys.exit(
        defopt.run(run_bench, argv=argv, version=poplarspindle.__version__)
    )


if __name__ == "__main__":
    main()

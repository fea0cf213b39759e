"""Checks operators' TOML: exact types, and faults with line and key."""

import math
import re
import tomllib
from typing import TypeVar

import cattrs

T = TypeVar("T")

MAX_NUMBER = 1e12
_HEADER = re.compile(r"\s*\[+([^\[\]]+)\]+\s*(#.*)?$")
_KEY = re.compile(r"\s*([\w\-.\"' ]+?)\s*=")
_QUOTES = str.maketrans("", "", "\"' ")


class WrongValueError(ValueError):
    """A value whose type or range is not allowed."""


def _read_bool(value: object, _: type) -> bool:
    if not isinstance(value, bool):
        raise WrongValueError("must be true or false")
    return value


def _read_int(value: object, _: type) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise WrongValueError("must be a whole number")
    if abs(value) > MAX_NUMBER:
        raise WrongValueError(f"must not pass {MAX_NUMBER:g}")
    return value


def _read_float(value: object, _: type) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise WrongValueError("must be a number")
    if not math.isfinite(value) or abs(value) > MAX_NUMBER:
        raise WrongValueError(f"must be a number up to {MAX_NUMBER:g}")
    return float(value)


def _read_str(value: object, _: type) -> str:
    if not isinstance(value, str):
        raise WrongValueError("must be a text in quotes")
    return value


def _read_texts(value: object, _: type) -> tuple[str, ...]:
    if not isinstance(value, list):
        raise WrongValueError('must be a list of texts, as ["a", "b"]')
    return tuple(_read_str(item, str) for item in value)


def make_converter() -> cattrs.Converter:
    """Makes a converter that takes no value for another of like spelling."""
    made = cattrs.Converter(forbid_extra_keys=True)
    hooks = {
        bool: _read_bool,
        int: _read_int,
        float: _read_float,
        str: _read_str,
    }
    for kind, hook in hooks.items():
        made.register_structure_hook(kind, hook)
    made.register_structure_hook_func(
        lambda kind: kind == tuple[str, ...], _read_texts
    )
    return made


_converter = make_converter()


def read_toml(text: str, kind: type[T]) -> T:
    """Reads TOML into a dataclass.

    Args:
        text: The TOML.
        kind: Dataclass to read into.

    Raises:
        WrongValueError: The text is not TOML or not of that form; the
            message names line and key.
    """
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        last = f"at line {len(text.splitlines())}, the end"
        detail = str(error).replace("at end of document", last)
        raise WrongValueError(f"not TOML: {detail}") from error
    try:
        return _converter.structure(table, kind)
    except Exception as error:
        faults = cattrs.transform_error(error, "", _describe)
        raise WrongValueError(
            "; ".join(_place(text, fault) for fault in faults)
        ) from error


def _describe(error: BaseException, _: type | None) -> str:
    match error:
        case cattrs.ForbiddenExtraKeysError():
            return "unknown key " + ", ".join(sorted(error.extra_fields))
        case KeyError():
            return f"key {error.args[0]} is missing"
        case WrongValueError():
            return str(error)
    return "must be a table"


def _place(text: str, fault: str) -> str:
    """Puts line and key in front of a fault `what @ .path`."""
    what, _, path = fault.rpartition(" @ ")
    path = path.lstrip(".").replace("['", ".").replace("']", "").lstrip(".")
    if what.startswith("unknown key "):
        path = f"{path}.{what.removeprefix('unknown key ')}".lstrip(".")
        what = "unknown key"
    return describe_key(text, path, what)


def describe_key(text: str, path: str, what: str) -> str:
    """Returns a sentence on a key with its line.

    Args:
        text: The TOML.
        path: Key with dots, as `services.quotes.replicas`.
        what: What is wrong with it.
    """
    line = find_line(text, path)
    return f"line {line}, {path}: {what}" if line else f"{path}: {what}"


def find_line(text: str, path: str) -> int:
    """Returns the line of a key, or of the nearest key above; 0 if none."""
    header = ""
    best, best_length = 0, 0
    for number, line in enumerate(text.splitlines(), start=1):
        if match := _HEADER.match(line):
            header = name = match[1].translate(_QUOTES)
        elif match := _KEY.match(line):
            name = f"{header}.{match[1].translate(_QUOTES)}".lstrip(".")
        else:
            continue
        holds = path == name or path.startswith((f"{name}.", f"{name}["))
        if holds and len(name) > best_length:
            best, best_length = number, len(name)
    return best

"""Decodes what comes from outside, within bounds.

Failure: one entry, answer or job with content that can't be used raises far
from where it was read: text that no record can carry, a number beyond a
record's 64 bits or a float's range. The state thread ends there, the next
owner reads the same content, and owner after owner ends. So each value is
checked here, where it is read.

Depth needs no bound of its own: the parser refuses what is nested too deeply,
and nothing nested goes further, since each field is read as a number, a text
or a list of these.
"""

import json

MAX_WHOLE = (1 << 53) - 1  # A record's 64 bits carry a thousand times the sum.
MAX_CAPACITY = (1 << 31) - 1
MAX_TEXT_BYTES = 256
_MISSING = object()


class MalformedError(ValueError):
    """Content that can't be used.

    Attributes:
        reason: Short tag, used as a counter label.
    """

    def __init__(self, reason: str, detail: str) -> None:
        super().__init__(detail)
        self.reason = reason


def parse_object(data: bytes) -> dict:
    """Parses a JSON object; raises MalformedError where it is none."""
    try:
        fields = json.loads(data)
    except RecursionError as error:
        raise MalformedError("too-deep", "nested too deeply") from error
    except ValueError as error:
        raise MalformedError("no-json", "no JSON") from error
    return check_object(fields, "the content")


def check_object(value: object, name: str) -> dict:
    """Returns a value that is an object; raises MalformedError."""
    if not isinstance(value, dict):
        raise MalformedError("bad-type", f"{name} is no object")
    return value


def check_list(value: object, name: str, most: int) -> list:
    """Returns a value that is a list of `most` items at most."""
    if not isinstance(value, list):
        raise MalformedError("bad-type", f"{name} is no list")
    if len(value) > most:
        raise MalformedError("too-long", f"{name} has over {most} items")
    return value


def check_whole(
    value: object, name: str, most: int = MAX_WHOLE, least: int = 0
) -> int:
    """Returns a value that is a whole number within bounds."""
    if type(value) is int and least <= value <= most:
        return value
    if type(value) is float and value.is_integer():
        value = int(value)
    if type(value) is not int:
        raise MalformedError("bad-type", f"{name} is no whole number")
    if not least <= value <= most:
        raise MalformedError("out-of-range", f"{name} is out of range")
    return value


def check_number(value: object, name: str) -> float:
    """Returns a value that is a finite number from 0 within bounds."""
    if type(value) not in (int, float):
        raise MalformedError("bad-type", f"{name} is no number")
    if not 0 <= value <= MAX_WHOLE:  # So it is finite, and no NaN.
        raise MalformedError("out-of-range", f"{name} is out of range")
    return value


def check_text(
    value: object, name: str, most_bytes: int = MAX_TEXT_BYTES
) -> str:
    """Returns a value that is text which a record can carry."""
    if not isinstance(value, str):
        raise MalformedError("bad-type", f"{name} is no text")
    try:
        size = len(value) if value.isascii() else len(value.encode())
    except UnicodeEncodeError as error:
        raise MalformedError(
            "bad-text", f"{name} has characters that are none"
        ) from error
    if size > most_bytes:
        raise MalformedError("too-long", f"{name} has over {most_bytes} bytes")
    return value


def get_field(fields: dict, name: str, default: object = _MISSING) -> object:
    """Returns a field; raises MalformedError where it has to be there."""
    value = fields.get(name, default)
    if value is _MISSING:
        raise MalformedError("missing-field", f"there is no {name}")
    return value

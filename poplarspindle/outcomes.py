"""Tagged outcomes that operations return in place of raising."""

import dataclasses
import enum
from typing import Generic, TypeVar

T = TypeVar("T")


class Step(enum.StrEnum):
    """Where in the path an outcome arose."""

    PARSE = "parse"
    ADMIT = "admit"
    CLAIM = "claim"
    FORWARD = "forward"
    ROUTE = "route"
    CONNECT = "connect"
    SEND = "send"
    RECEIVE = "receive"
    APPEND = "append"
    READ = "read"
    LIST = "list"
    SYNC = "sync"
    PUBLISH = "publish"
    JOIN = "join"
    START = "start"
    STOP = "stop"
    HOLD = "hold"
    PACE = "pace"


@dataclasses.dataclass(frozen=True, slots=True)
class Ok(Generic[T]):
    """A step that succeeded.

    Attributes:
        value: What the step produced.
    """

    value: T


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """A step that failed.

    Attributes:
        step: The step that failed.
        peer: Address or name of the peer, empty where none was involved.
        reason: Short tag, used as a counter label.
        detail: One sentence for a person.
        may_have_acted: Whether the peer may have carried out the operation.
    """

    step: Step
    peer: str
    reason: str
    detail: str = ""
    may_have_acted: bool = False

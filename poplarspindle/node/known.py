"""What a node knows: written by its one state thread, read by callers'."""

import structlog

from poplarspindle.fleet import admission, book, dark, work
from poplarspindle.node import wishes

_log = structlog.get_logger(part="node")


class Known:
    """What a node has read.

    Attributes:
        book: All jobs.
        loaded: Whether the book holds all up to the log's tail.
        applied: Offset in the log up to which the book holds all.
        leaving: Whether the node was asked to stop.
        configuration: The operators' configuration, None before it is read.
        out: Data centres that get no more work.
        load: The owner's newest word on the fleet's load.
        silent: Silent workers, as the log says.
    """

    def __init__(self) -> None:
        self.book = book.Book()
        self.loaded = False
        self.applied = -1
        self.leaving = False
        self.configuration: work.Configuration | None = None
        self.out: frozenset[str] = frozenset()
        self.load: admission.Load | None = None
        self.silent: dict[str, dark.Dark] = {}


def apply_wish(known: Known, wish: wishes.Wish) -> None:
    """Takes in what operators wish; an older configuration is passed over."""
    if isinstance(wish, wishes.Configured):
        found = wish.configuration
        if known.configuration and found.version <= known.configuration.version:
            return
        known.configuration = found
        _log.info("configured", version=found.version, queues=len(found.queues))
    elif isinstance(wish, wishes.DataCentreOut):
        change = {wish.data_centre}
        known.out = known.out | change if wish.out else known.out - change
        _log.info("data-centre", name=wish.data_centre, out=wish.out)

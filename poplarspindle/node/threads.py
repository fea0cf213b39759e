"""Threads that outlive a defect: it is logged, and their work goes on."""

import threading
import time
from collections.abc import Callable

import structlog

RESTART_DELAY_S = 0.2

_log = structlog.get_logger(part="threads")


def start(work: Callable[[], None], stop_event: threading.Event | None = None):
    """Runs a function on a daemon thread, again whenever it raises.

    Args:
        work: The function; when it returns the thread ends.
        stop_event: When set, a function that raised is not run again.

    Returns:
        The thread.
    """

    def run() -> None:
        while True:
            try:
                work()
                return
            except Exception as error:
                name = getattr(work, "__qualname__", repr(work))
                _log.exception("raised", work=name, why=repr(error))
                if stop_event is not None and stop_event.is_set():
                    return
                time.sleep(RESTART_DELAY_S)

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    return thread

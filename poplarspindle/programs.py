"""What every program does around its work: run until it is asked to stop."""

import signal
import threading
from collections.abc import Callable

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def run_until_stopped(
    start: Callable[[], object], stop: Callable[[], object]
) -> int:
    """Starts a program, waits for SIGTERM or SIGINT and stops it.

    Args:
        start: Starts the program and returns.
        stop: Stops it gracefully and returns.

    Returns:
        The exit code 0.
    """
    asked = threading.Event()
    for number in STOP_SIGNALS:
        signal.signal(number, lambda *_: asked.set())
    start()
    asked.wait()
    stop()
    return 0

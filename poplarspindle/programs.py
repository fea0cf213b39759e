"""What every program does around its work: run until it is asked to stop."""

import signal
import threading
from collections.abc import Callable

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def run_until_stopped(
    start: Callable[[], object],
    stop: Callable[[], object],
    reload: Callable[[], object] | None = None,
    reload_s: float | None = None,
) -> int:
    """Starts a program, waits for SIGTERM or SIGINT and stops it.

    Args:
        start: Starts the program and returns.
        stop: Stops it gracefully and returns.
        reload: Called at SIGHUP and every `reload_s` seconds, if given.
        reload_s: Time between two calls of `reload` without a signal.

    Returns:
        The exit code 0.
    """
    asked = threading.Event()
    wake = threading.Event()
    for number in STOP_SIGNALS:
        signal.signal(number, lambda *_: (asked.set(), wake.set()))
    if reload is not None:
        signal.signal(signal.SIGHUP, lambda *_: wake.set())
    start()
    while not asked.is_set():
        wake.wait(reload_s)
        wake.clear()
        if reload is not None and not asked.is_set():
            reload()
    stop()
    return 0

"""What the owner remembers of workers that went silent."""

import dataclasses

from poplarspindle.fleet import work

SILENT_TOGETHER_S = 1.0  # Polls of workers that fail together end that near.
MAX_SILENCE_AGE_S = 60.0

RunKey = tuple[work.TaskName, int]


@dataclasses.dataclass(slots=True)
class CrashHistory:
    """Runs without an end whose worker has not reported since, and silences.

    Times are on the owner's monotonic clock.

    Attributes:
        lost_at: When each run was given up, by worker and run. The log holds
            these runs too; see `job_store.LostRun`.
        silences: When workers stopped answering, oldest first.
    """

    lost_at: dict[str, dict[RunKey, float]] = dataclasses.field(
        default_factory=dict
    )
    silences: list[tuple[float, str]] = dataclasses.field(default_factory=list)


def record_silence(history: CrashHistory, worker_name: str, at: float) -> None:
    """Records that a worker has stopped answering."""
    history.silences = [
        (silent_at, name)
        for silent_at, name in history.silences
        if at - silent_at < MAX_SILENCE_AGE_S
    ]
    history.silences.append((at, worker_name))


def find_silence(
    history: CrashHistory, worker_name: str, default: float
) -> float:
    """Returns when a worker last stopped answering."""
    return max(
        (at for at, name in history.silences if name == worker_name),
        default=default,
    )


def settle_silence(
    history: CrashHistory, worker_name: str, heard_at: float, now: float
) -> float:
    """Returns when a worker went silent; records that it does now if need be.

    Args:
        history: The history.
        worker_name: The worker's name.
        heard_at: When it last answered.
        now: Present time.
    """
    silent_at = find_silence(history, worker_name, float("-inf"))
    if silent_at > heard_at:
        return silent_at
    record_silence(history, worker_name, now)
    return now


def count_silent_together(
    history: CrashHistory, worker_name: str, silent_at: float
) -> int:
    """Counts the other workers that stopped answering at about one time."""
    return len(
        {
            name
            for at, name in history.silences
            if name != worker_name and abs(at - silent_at) <= SILENT_TOGETHER_S
        }
    )

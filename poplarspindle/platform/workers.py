"""Client of the workers: one sync carries commands and brings the report."""

import dataclasses

from poplarspindle import effects, outcomes, reports
from poplarspindle.platform import transport


@dataclasses.dataclass(frozen=True, slots=True)
class Sync:
    """Commands for one worker.

    Attributes:
        term: Term of the sender; the worker refuses a lower one than it saw.
    """

    term: int
    starts: tuple[effects.StartTask, ...] = ()
    renewals: tuple[effects.RenewTasks, ...] = ()
    stops: tuple[effects.StopTask, ...] = ()
    throttles: tuple[effects.ThrottleTask, ...] = ()
    acknowledgements: tuple[effects.AcknowledgeEnd, ...] = ()


def make_sync(commands: list, term: int) -> Sync:
    """Sorts a worker's commands into one sync.

    Args:
        commands: Effects for one worker; those of a lower term are dropped.
        term: Present term of the sender, 0 where it is not the owner.

    Returns:
        The sync.
    """

    def pick(kind: type) -> tuple:
        return tuple(
            c for c in commands if isinstance(c, kind) and c.term == term
        )

    return Sync(
        term,
        pick(effects.StartTask),
        pick(effects.RenewTasks),
        pick(effects.StopTask),
        pick(effects.ThrottleTask),
        pick(effects.AcknowledgeEnd),
    )


def sync_worker(
    calls: transport.Transport, address: str, worker: str, sync: Sync
) -> outcomes.Ok[reports.WorkerReport] | outcomes.Failed:
    """Sends commands to a worker and returns its report."""
    answer = calls.call(
        outcomes.Step.SYNC,
        f"http://{address}/sync?worker={worker}",
        transport.converter.unstructure(sync),
    )
    if isinstance(answer, outcomes.Failed):
        return answer
    return outcomes.Ok(
        transport.converter.structure(answer.value, reports.WorkerReport)
    )

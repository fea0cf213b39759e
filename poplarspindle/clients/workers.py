"""Client of the workers: one sync carries commands and brings the report."""

import dataclasses

from poplarspindle import effects, outcomes, reports
from poplarspindle.clients import transport


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


class Client:
    """Syncs with workers; remembers what each last said to be running.

    A worker names the set of its running attempts by a version and sends the
    set only where the asker knows another version.

    Args:
        calls: Transport to use.
    """

    def __init__(self, calls: transport.Transport) -> None:
        self._calls = calls
        self._known: dict[str, tuple[object, list]] = {}

    def sync(
        self, address: str, worker: str, sync: Sync
    ) -> outcomes.Ok[reports.WorkerReport] | outcomes.Failed:
        """Sends commands to a worker and returns its whole report."""
        url = f"http://{address}/sync?worker={worker}"
        version, running = self._known.get(worker, (None, []))
        body = {
            "known": version,
            "sync": transport.converter.unstructure(sync),
        }
        answer = self._calls.call(outcomes.Step.SYNC, url, body)
        if isinstance(answer, outcomes.Failed):
            self._known.pop(worker, None)
            return answer
        try:
            report = dict(answer.value["report"])
            if report["running"] is None and answer.value["version"] == version:
                report["running"] = running
            found = transport.converter.structure(report, reports.WorkerReport)
        except Exception as error:
            self._known.pop(worker, None)
            return outcomes.Failed(
                outcomes.Step.SYNC, url, "malformed", repr(error), True
            )
        self._known[worker] = (answer.value["version"], report["running"])
        return outcomes.Ok(found)

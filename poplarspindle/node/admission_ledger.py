"""Long-running work that a node accepted and the fleet's load lacks so far."""

import dataclasses
import threading

from poplarspindle.fleet import admission, work

# The first load that is read after a job was accepted may have been summed up
# before the owner read the job.
LOADS_UNTIL_SEEN = 2


@dataclasses.dataclass(frozen=True, slots=True)
class _Accepted:
    """A long-running job that was accepted.

    Attributes:
        loads_read: Number of loads that had been read by then.
        service: Worker pool of the job.
        millicores: Millicores that it holds until it is cancelled.
    """

    loads_read: int
    service: str
    millicores: int


class AdmissionLedger:
    """Decides on jobs, counting what this node accepted since the last loads.

    Safe to use from several threads.
    """

    def __init__(self) -> None:
        self._accepted: list[_Accepted] = []
        self._lock = threading.Lock()

    def decide(
        self,
        load: admission.Load | None,
        loads_read: int,
        submission: work.Submission,
        wall_ms: int,
    ) -> int:
        """Decides whether a job is accepted.

        Args:
            load: The newest load that was read, None if none was.
            loads_read: Number of loads read so far.
            submission: The job.
            wall_ms: Unix time in milliseconds.

        Returns:
            0 if the job is accepted, else the retry delay in seconds.
        """
        service = submission.queue.service
        with self._lock:
            self._accepted = [
                entry
                for entry in self._accepted
                if loads_read - entry.loads_read < LOADS_UNTIL_SEEN
            ]
            unseen_millicores = sum(
                entry.millicores
                for entry in self._accepted
                if entry.service == service
            )
            retry_s = admission.find_retry_s(
                load, submission, wall_ms, unseen_millicores
            )
            millicores = admission.count_until_cancelled_millicores(submission)
            if millicores and not retry_s:
                self._accepted.append(
                    _Accepted(loads_read, service, millicores)
                )
        return retry_s

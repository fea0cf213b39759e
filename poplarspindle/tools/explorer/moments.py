"""Moments of a course, folded where they differ in nothing but time."""

import collections
import dataclasses
import hashlib

# Looks at workers and lines of the owner's log repeat for as long as nothing
# happens; of these only the first one counts until something does.
REPEATED = ("look", "renewal", "acknowledgement", "note")
INVOLVING = ("start-sent", "stop-sent")
DISRUPTED = "disrupted"
MAX_MOMENTS = 400  # Of a course; a longer one is cut short.


@dataclasses.dataclass(frozen=True, slots=True)
class Moment:
    """Something that happens in a course.

    Attributes:
        kind: What happens, such as `start-sent`.
        worker: The worker concerned, empty for none.
        subject: What else tells it from others: the task, the outcome.
        at: When, in seconds of virtual time.
        number: How many of this kind at this worker came before it since the
            last disruption.
        disruptions: How many disruptions came before it.
    """

    kind: str
    worker: str
    subject: str
    at: float
    number: int
    disruptions: int

    @property
    def name(self) -> tuple[str, str, str]:
        """What is the same in courses that differ in nothing but time."""
        return self.kind, self.worker, self.subject


class Recorder:
    """Records the moments of one course, and folds what is repeated.

    Attributes:
        moments: All moments that count.
        disruptions: How many disruptions there were so far.
    """

    def __init__(self) -> None:
        self.moments: list[Moment] = []
        self.disruptions = 0
        self._numbers: collections.Counter = collections.Counter()
        self._repeated: set[tuple[str, str, str]] = set()
        self._involved: set[str] = set()

    def record(
        self, kind: str, worker: str, subject: str, at: float
    ) -> Moment | None:
        """Records a moment.

        Returns:
            None if it repeats an earlier one, or befalls a worker that no
            order was sent to so far.
        """
        name = kind, worker, subject
        if kind in INVOLVING:
            self._involved.add(worker)
        if worker and worker not in self._involved:
            return None
        if kind.startswith(REPEATED):
            if name in self._repeated:
                return None
            self._repeated.add(name)
        else:
            self._repeated.clear()
        number = self._numbers[kind, worker]
        self._numbers[kind, worker] += 1
        moment = Moment(kind, worker, subject, at, number, self.disruptions)
        if len(self.moments) < MAX_MOMENTS:
            self.moments.append(moment)
        return moment

    def record_disruption(self, name: str, worker: str, at: float) -> None:
        """Records a disruption; moments are counted anew after it."""
        self.record(f"{DISRUPTED} {name}", worker, "", at)
        self.disruptions += 1
        self._numbers.clear()
        self._repeated.clear()

    def make_fingerprint(self) -> int:
        """Returns what is the same for the same sequence of moments."""
        return hash_names(self.moments)


def hash_names(moments: list[Moment]) -> int:
    """Returns a hash of a sequence, the same in each process."""
    digest = hashlib.blake2b(digest_size=8)
    for moment in moments:
        if not moment.kind.startswith(DISRUPTED):
            digest.update("\0".join((*moment.name, "")).encode())
    return int.from_bytes(digest.digest(), "big")

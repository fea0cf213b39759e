"""Claims on caller-chosen ids: the first claim in the log's order wins.

Streams are read only when a claim is made. Concurrent claims on one stream
share one append and one read, made by the thread that holds its lock.
"""

import dataclasses
import threading
import time
import uuid
import zlib

from poplarspindle import metrics, outcomes, records, tickets
from poplarspindle.clients import logservice

READ_LIMIT = 500
DOWN_S = 0.5
POLL_S = 0.02
MAX_CLAIMS_PER_SHARD = 50_000


@dataclasses.dataclass(frozen=True, slots=True)
class FirstClaim:
    """The first claim on an id.

    Attributes:
        incarnation: Incarnation of the entry that made it.
        mine: Whether it is the claim made by this call.
    """

    incarnation: str
    mine: bool


class Shard:
    """One stream of claims as read so far.

    Attributes:
        stream: Its name.
        first: First claim by id, in the log's order.
        position: Next offset to read.
        trimmed: Whether older claims were lost to retention.
        oldest_ms: Wall clock of the oldest claim read, 0 before the first.
        waiting: Claims not yet included in an append.
        failed: Failure by nonce of claims whose append failed.
        down_until: Until then the log is treated as down, monotonic seconds.
        lock: Held by the thread that appends and reads.
    """

    def __init__(self, stream: str) -> None:
        self.stream = stream
        self.first: dict[str, records.TicketClaimed] = {}
        self.position = 0
        self.trimmed = False
        self.oldest_ms = 0
        self.waiting: list[records.TicketClaimed] = []
        self.failed: dict[str, outcomes.Failed] = {}
        self.down_until = 0.0
        self.lock = threading.Lock()


def apply_claim(
    shard: Shard, claim: records.TicketClaimed, keep_ms: int
) -> None:
    """Applies a claim read; removes claims more than `keep_ms` older."""
    if shard.oldest_ms == 0:
        shard.oldest_ms = claim.wall_ms
    shard.first.setdefault(claim.request, claim)
    while shard.first:
        request, oldest = next(iter(shard.first.items()))
        if claim.wall_ms - oldest.wall_ms <= keep_ms:
            break
        del shard.first[request]


def covers(shard: Shard, chosen: tickets.CallerChosenId, skew_s: float) -> bool:
    """Returns whether every claim on an id must be among those read.

    Args:
        shard: The stream of claims.
        chosen: The id, which holds its caller's wall-clock seconds.
        skew_s: Maximum difference between two wall clocks.
    """
    if not shard.trimmed:
        return True
    earliest_ms = (chosen.at_s - 2 * skew_s) * 1000
    return 0 < shard.oldest_ms <= earliest_ms


class Claims:
    """Makes claims for the threads of one entry.

    Args:
        service: Client of the log service.
        incarnation: Incarnation of the entry.
        shards: Number of claim streams; equal on all entries.
        window_s: Maximum age of a caller-chosen id.
        skew_s: Maximum difference between two wall clocks.
        counters: Metrics in which failures are counted.
    """

    def __init__(
        self,
        service: logservice.LogService,
        incarnation: str,
        shards: int,
        window_s: float,
        skew_s: float,
        counters: metrics.Metrics,
    ) -> None:
        self._service = service
        self._incarnation = incarnation
        self._skew_s = skew_s
        self._keep_ms = int((window_s + 2 * skew_s) * 1000)
        self._counters = counters
        self._shards = [
            Shard(f"{records.CLAIM_STREAM_PREFIX}{n}") for n in range(shards)
        ]

    def settle(
        self, request: str, chosen: tickets.CallerChosenId, deadline: float
    ) -> outcomes.Ok[FirstClaim] | outcomes.Failed:
        """Claims an id and reads the claim back.

        Args:
            request: The id.
            chosen: The same id, parsed.
            deadline: When the call fails with a timeout, monotonic seconds.

        Returns:
            The first claim on the id, or why it could not be read.
        """
        index = zlib.crc32(request.encode()) % len(self._shards)
        shard = self._shards[index]
        claim = records.TicketClaimed(
            request,
            self._incarnation,
            uuid.uuid4().hex,
            int(time.time() * 1000),
        )
        shard.waiting.append(claim)
        while (remaining_s := deadline - time.monotonic()) > 0:
            if not shard.lock.acquire(timeout=remaining_s):
                break
            try:
                self._append_waiting(shard)
                answer = self._read_or_fail(shard)
                if isinstance(answer, outcomes.Failed):
                    return answer
                first_claim = shard.first.get(request)
                if first_claim is not None:
                    if not covers(shard, chosen, self._skew_s):
                        return _make_failure("claims-forgotten")
                    mine = first_claim.nonce == claim.nonce
                    return outcomes.Ok(
                        FirstClaim(first_claim.incarnation, mine)
                    )
                if claim.nonce in shard.failed:
                    return shard.failed.pop(claim.nonce)
            finally:
                shard.lock.release()
            time.sleep(min(POLL_S, remaining_s))
        return _make_failure("claim-timeout")

    def _append_waiting(self, shard: Shard) -> None:
        """Appends all waiting claims in one append.

        After a failure that may have taken effect, the claims are left to be
        found by the read.
        """
        batch = tuple(shard.waiting)
        if not batch:
            return
        del shard.waiting[: len(batch)]
        failed = self._check_can_append(shard)
        if failed is None:
            payload = records.encode_batch(batch)
            answer = self._service.append(shard.stream, payload)
            if isinstance(answer, outcomes.Ok):
                return
            failed = answer
            self._count(failed)
            if failed.may_have_acted:
                return
            shard.down_until = time.monotonic() + DOWN_S
        if len(shard.failed) > MAX_CLAIMS_PER_SHARD:
            shard.failed.clear()
        shard.failed.update({claim.nonce: failed for claim in batch})

    def _check_can_append(self, shard: Shard) -> outcomes.Failed | None:
        """Returns why no append is tried now, or None."""
        if time.monotonic() < shard.down_until:
            return _make_failure("log-down")
        if len(shard.first) >= MAX_CLAIMS_PER_SHARD:
            return _make_failure("too-many-claims")
        return None

    def _read_or_fail(self, shard: Shard):
        """Reads to the tail; treats the log as down for DOWN_S on failure."""
        if time.monotonic() < shard.down_until:
            return _make_failure("log-down")
        answer = self._read(shard)
        if isinstance(answer, outcomes.Failed):
            self._count(answer)
            shard.down_until = time.monotonic() + DOWN_S
        return answer

    def _read(self, shard: Shard) -> outcomes.Ok[None] | outcomes.Failed:
        """Reads a shard to its tail."""
        while True:
            answer = self._service.read(
                {shard.stream: shard.position}, READ_LIMIT, 0
            )
            if isinstance(answer, outcomes.Failed):
                return answer
            (page,) = answer.value
            if page.first > shard.position or page.next < shard.position:
                shard.trimmed = True
                shard.oldest_ms = 0
                shard.position = page.first
            for offset, payload in page.records:
                self._apply_record(shard, offset, payload)
            if shard.position >= page.next or not page.records:
                return outcomes.Ok(None)

    def _apply_record(self, shard: Shard, offset: int, payload: bytes) -> None:
        """Applies the claims of one log record and advances the position."""
        batch, malformed = records.decode_batch(payload)
        for record in batch:
            if isinstance(record, records.TicketClaimed):
                apply_claim(shard, record, self._keep_ms)
        if malformed:
            self._counters.add(
                "poplarspindle_records_total", "malformed", malformed
            )
        shard.position = offset + 1

    def _count(self, failed: outcomes.Failed) -> None:
        self._counters.add(
            "poplarspindle_platform_failures_total", f"claim-{failed.reason}"
        )


def _make_failure(reason: str) -> outcomes.Failed:
    return outcomes.Failed(outcomes.Step.CLAIM, "log", reason)

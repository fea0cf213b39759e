"""The platform's minions: their entries in the store, and orders to them.

The platform's minion is the product's worker: it runs tasks under leases.
"""

import functools
import itertools
import json
import re
from collections.abc import Callable

from poplarspindle import outcomes, resources
from poplarspindle.fleet import orders, records, work
from poplarspindle.node import http_client
from poplarspindle.platform import decoding, transport

STATES = {"ready": work.Presence.READY, "draining": work.Presence.LEAVING}
ORDER_TIMEOUT_S = 0.25  # Minions answer orders in a few milliseconds.
MAX_REPORTED_ENDS = 500  # A report lists so many ends at a time.
MAX_CACHED_NAMES = 32768  # Tasks that run at a time, with room to spare.
MAX_ROWS = 100_000
MAX_CHECKPOINT_BYTES = 4000  # A record holds those of a group of tasks.
MAX_LABELS = 64
MAX_PORT = 65535
# What a header and a URL carry unchanged.
NAME_PATTERN = re.compile(r"[!-~]{1,255}")
ADDRESS_PATTERN = re.compile(
    r"(?:[A-Za-z0-9._-]+|\[[0-9A-Fa-f:.]+\]):(?P<port>[0-9]{1,5})"
)
TASK_PATTERN = re.compile(
    r"([^.]{1,64})\.([0-9]{1,15})\.([0-9]{1,9})\.([0-9]{1,9})"
)
REFUSALS = {
    "fence": orders.Refusal.FENCED,
    "old": orders.Refusal.ENDED,
    "late": orders.Refusal.LATE,
    "room": orders.Refusal.NO_CAPACITY,
}

# `json.dumps` with separators makes an encoder for each call.
_write_json = json.JSONEncoder(separators=(",", ":")).encode


def read_worker(
    record: records.Record,
) -> work.WorkerInfo | outcomes.Failed:
    """Reads an entry; a failure where it names no worker to use."""
    try:
        return _read_entry(record.key, decoding.parse_object(record.value))
    except decoding.MalformedError as error:
        return outcomes.Failed(
            outcomes.Step.LIST, record.key, error.reason, str(error)
        )


def _read_entry(name: str, fields: dict) -> work.WorkerInfo:
    if not NAME_PATTERN.fullmatch(name):
        raise decoding.MalformedError("bad-id", "no header can carry the id")
    capacity = decoding.check_object(fields.get("capacity"), "capacity")
    labels = [
        _read_text(label, "a label")
        for label in decoding.check_list(
            fields.get("labels"), "labels", MAX_LABELS
        )
    ]
    state = decoding.check_text(fields.get("state"), "state")
    if state not in STATES:
        raise decoding.MalformedError("unknown-state", "the state is unknown")
    return work.WorkerInfo(
        name,
        _read_address(fields.get("address")),
        _read_text(fields.get("service"), "service"),
        _read_text(fields.get("zone"), "zone"),
        resources.Resources(
            *(
                decoding.check_whole(amount, "capacity", decoding.MAX_CAPACITY)
                for amount in (
                    capacity.get("cpu"),
                    capacity.get("mem_mb"),
                    capacity.get("gpu", 0),
                )
            )
        ),
        frozenset(labels),
        labels[-1] if labels else "",
        STATES[state],
        decoding.check_whole(fields.get("drain_remaining_ms", 0), "drain"),
        decoding.check_whole(fields.get("born", 0), "born"),
    )


def _read_text(value: object, name: str) -> str:
    if not decoding.check_text(value, name):
        raise decoding.MalformedError("missing-field", f"{name} is empty")
    return value


def _read_address(value: object) -> str:
    address = decoding.check_text(value, "address")
    match = ADDRESS_PATTERN.fullmatch(address)
    if match is None or not 0 < int(match["port"]) <= MAX_PORT:
        raise decoding.MalformedError(
            "bad-address", "the address is no host and port"
        )
    return address


def format_task(name: work.TaskName) -> str:
    """Formats a task's name."""
    return f"{name.job}.{name.occurrence}.{name.step}.{name.index}"


@functools.lru_cache(MAX_CACHED_NAMES)
def parse_task(text: str) -> work.TaskName:
    """Parses a task's name; raises ValueError where it is malformed."""
    match = TASK_PATTERN.fullmatch(text)
    if match is None:
        raise decoding.MalformedError("bad-task", "no name of a task")
    job, *numbers = match.groups()
    return work.TaskName(job, *map(int, numbers))


def read_report(fields: dict) -> work.Report:
    """Reads an answer to a hold; raises ValueError where it is malformed."""
    try:
        running = decoding.check_list(fields["running"], "running", MAX_ROWS)
        ended = decoding.check_list(fields["finished"], "finished", MAX_ROWS)
        return work.Report(
            decoding.check_whole(fields["clock_ms"], "clock"),
            decoding.check_whole(fields.get("born", 0), "born"),
            tuple(itertools.starmap(_read_running, running)),
            tuple(itertools.starmap(_read_ended, ended)),
            len(ended) < MAX_REPORTED_ENDS,
        )
    except (KeyError, TypeError) as error:
        raise ValueError(f"malformed report: {error!r}") from error


def _read_running(
    name: object,
    attempt: object,
    checkpoint: object,
    percent: object,
    usage: object = None,
    *_: object,
) -> work.Running:
    return work.Running(
        parse_task(name),
        decoding.check_whole(attempt, "attempt"),
        _read_checkpoint(checkpoint),
        decoding.check_number(percent, "percent"),
        None if usage is None else decoding.check_number(usage, "usage"),
    )


def _read_ended(
    number: object,
    name: object,
    attempt: object,
    how: object,
    checkpoint: object,
) -> work.Ended:
    return work.Ended(
        decoding.check_whole(number, "number"),
        parse_task(name),
        decoding.check_whole(attempt, "attempt"),
        work.EndReason(decoding.check_text(how, "reason")),
        _read_checkpoint(checkpoint),
    )


def _read_checkpoint(value: object) -> str:
    return decoding.check_text(value, "checkpoint", MAX_CHECKPOINT_BYTES)


class Minion:
    """Orders to one minion; answers come on the exchange's thread.

    Args:
        calls: Carries the calls.
        info: Its entry.
    """

    def __init__(
        self, calls: http_client.HttpClient, info: work.WorkerInfo
    ) -> None:
        self.worker = info
        self._calls = calls
        self._origin = f"http://{info.address}"
        self._headers = (
            "Content-Type: application/json",
            f"Expected-Instance: {info.name}",
        )

    def send(
        self, order: orders.Order, done: Callable[[orders.Answer], None]
    ) -> None:
        """Sends an order.

        Args:
            order: The order.
            done: Takes the answer.
        """
        step, target = TARGETS[type(order)]
        self._post(
            step,
            target,
            write_order(order),
            ORDER_TIMEOUT_S,
            lambda outcome: done(read_answer(outcome)),
        )

    def poll(
        self,
        order: orders.Poll,
        timeout_s: float,
        done: Callable[[outcomes.Ok[work.Report] | outcomes.Failed], None],
    ) -> None:
        """Renews the leases and looks at what runs and ended.

        Args:
            order: The order.
            timeout_s: Time for the answer beyond the wait asked for.
            done: Takes the report or the failure.
        """
        fields: dict[str, object] = {
            "fencing_token": order.epoch,
            "last_seen": order.acknowledged_end,
            "wait_ms": order.wait_ms,
        }
        if order.until_ms:
            fields["deadline_ms"] = order.until_ms
        self._post(
            outcomes.Step.HOLD,
            "/api/hold",
            fields,
            timeout_s + order.wait_ms / 1000,
            lambda outcome: done(read_poll_answer(self.worker.name, outcome)),
        )

    def _post(self, step, target, fields, timeout_s, done) -> None:
        call = http_client.Call(
            step,
            self.worker.name,
            self._origin + target,
            self._headers,
            _write_json(fields).encode(),
            timeout_s,
        )
        self._calls.send(call, done)


TARGETS = {
    orders.Start: (outcomes.Step.START, "/api/run-start"),
    orders.Stop: (outcomes.Step.STOP, "/api/run-stop"),
    orders.Pace: (outcomes.Step.PACE, "/api/pace"),
}


def write_order(order: orders.Order) -> dict[str, object]:
    """Writes an order's fields."""
    fields: dict[str, object] = {
        "task": format_task(order.task),
        "attempt": order.attempt,
        "fencing_token": order.epoch,
    }
    if isinstance(order, orders.Start):
        fields |= {"spec": order.spec, "deadline_ms": order.until_ms}
        if order.checkpoint:
            fields["checkpoint"] = order.checkpoint
    elif isinstance(order, orders.Pace):
        fields["percent"] = order.percent
    return fields


# Only these statuses say that an order or a poll was not carried out.
NOT_CARRIED_OUT = frozenset({400, 409, 421, 429, 503})


def read_answer(outcome: http_client.Outcome) -> orders.Answer:
    """Reads the answer to an order."""
    if isinstance(outcome, outcomes.Failed):
        return orders.Answer(
            orders.Refusal.NO_ANSWER
            if outcome.may_have_acted
            else orders.Refusal.UNREACHABLE
        )
    status = outcome.value.status
    fields = transport.read_fields(outcome.value.body)
    clock_ms = _read_answer_clock(fields)
    if status == 200:
        return orders.Answer(None, clock_ms)
    if status == 409:
        reason = fields.get("reason")
        known = isinstance(reason, str) and reason in REFUSALS
        refusal = REFUSALS[reason] if known else orders.Refusal.MALFORMED
        return orders.Answer(refusal, clock_ms)
    if status == 421:
        return orders.Answer(orders.Refusal.OTHER_INCARNATION)
    if status in (429, 503):
        return orders.Answer(orders.Refusal.BUSY)
    if status == 400:
        return orders.Answer(orders.Refusal.MALFORMED)
    return orders.Answer(orders.Refusal.NO_ANSWER)


def _read_answer_clock(fields: dict) -> int:
    """Returns the worker's clock, 0 where the answer has none to use."""
    try:
        return decoding.check_whole(fields.get("clock_ms"), "clock")
    except decoding.MalformedError:
        return 0  # The same as an answer that tells no time.


def read_poll_answer(
    peer: str, outcome: http_client.Outcome
) -> outcomes.Ok[work.Report] | outcomes.Failed:
    """Reads the answer to a hold."""
    if isinstance(outcome, outcomes.Failed):
        return outcome
    status = outcome.value.status
    fields = transport.read_fields(outcome.value.body)
    if status == 409 and fields.get("reason") == "fence":
        return outcomes.Failed(outcomes.Step.HOLD, peer, "fenced")
    if status == 421:
        return outcomes.Failed(outcomes.Step.HOLD, peer, "other-life")
    if status != 200:
        return outcomes.Failed(
            outcomes.Step.HOLD,
            peer,
            f"status-{status}",
            may_have_acted=status not in NOT_CARRIED_OUT,
        )
    try:
        return outcomes.Ok(read_report(fields))
    except ValueError as error:
        return outcomes.Failed(
            outcomes.Step.HOLD, peer, "malformed", str(error), True
        )

"""The platform's minions: their entries in the store, and orders to them.

The platform's minion is the product's worker: it runs tasks under leases.
"""

import json

from poplarspindle import outcomes, resources
from poplarspindle.fleet import orders, records, work
from poplarspindle.platform import transport

STATES = {
    "ready": work.Presence.READY,
    "draining": work.Presence.LEAVING,
}
ORDER_S = 0.25  # Minions answer orders in a few milliseconds.
REFUSALS = {
    "fence": orders.Refusal.FENCED,
    "old": orders.Refusal.ENDED,
    "late": orders.Refusal.LATE,
    "room": orders.Refusal.ROOM,
}


def read_worker(record: records.Record) -> work.Worker | None:
    """Reads an entry; None where it names no worker to use."""
    try:
        fields = json.loads(record.value)
        labels = fields["labels"]
        capacity = fields["capacity"]
        host, _, port = fields["address"].rpartition(":")
        if not host or not 0 < int(port) < 65536:
            return None
        return work.Worker(
            record.key,
            fields["address"],
            _text(fields["service"]),
            _text(fields["zone"]),
            resources.Resources(
                _whole(capacity["cpu"]),
                _whole(capacity["mem_mb"]),
                _whole(capacity.get("gpu", 0)),
            ),
            frozenset(map(_text, labels)),
            labels[-1] if labels else "",
            STATES[fields["state"]],
            _whole(fields.get("drain_remaining_ms", 0)),
            _whole(fields.get("born", 0)),
        )
    except (KeyError, TypeError, ValueError, AttributeError):
        return None


def _whole(value: object) -> int:
    if type(value) is not int or value < 0:
        raise ValueError("no whole number")
    return value


def _text(value: object) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError("no text")
    return value


def format_task(name: work.TaskName) -> str:
    """Formats a task's name."""
    return f"{name.job}.{name.time}.{name.step}.{name.index}"


def parse_task(text: str) -> work.TaskName:
    """Parses a task's name; raises ValueError where it is malformed."""
    job, time, step, index = text.split(".")
    return work.TaskName(job, int(time), int(step), int(index))


def read_report(fields: dict) -> work.Report:
    """Reads an answer to a hold; raises ValueError where it is malformed."""
    try:
        return work.Report(
            int(fields["clock_ms"]),
            int(fields.get("born", 0)),
            tuple(
                work.Running(parse_task(name), run, saved, percent, *usage[:1])
                for name, run, saved, percent, *usage in fields["running"]
            ),
            tuple(
                work.Ended(number, parse_task(name), run, work.How(how), saved)
                for number, name, run, how, saved in fields["finished"]
            ),
        )
    except (KeyError, TypeError) as error:
        raise ValueError(f"malformed report: {error!r}") from error


class Minion:
    """Orders to one minion.

    Args:
        worker: Its entry.
    """

    def __init__(self, worker: work.Worker) -> None:
        self.worker = worker
        self._headers = transport.JSON_HEADERS | {
            "Expected-Instance": worker.name
        }
        self._calls = transport.Transport(worker.address)

    def start(self, order: orders.Start) -> orders.Answer:
        """Starts a run."""
        fields: dict[str, object] = {
            "task": format_task(order.task),
            "attempt": order.attempt,
            "spec": order.spec,
            "deadline_ms": order.until_ms,
            "fencing_token": order.epoch,
        }
        if order.saved:
            fields["checkpoint"] = order.saved
        return self._order(outcomes.Step.START, "/api/run-start", fields)

    def stop(self, order: orders.Stop) -> orders.Answer:
        """Stops a run; one that is not there is refused from then on."""
        fields = {
            "task": format_task(order.task),
            "attempt": order.attempt,
            "fencing_token": order.epoch,
        }
        return self._order(outcomes.Step.STOP, "/api/run-stop", fields)

    def pace(self, order: orders.Pace) -> orders.Answer:
        """Sets the share of its speed that a run may work at."""
        fields = {
            "task": format_task(order.task),
            "attempt": order.attempt,
            "percent": order.percent,
            "fencing_token": order.epoch,
        }
        return self._order(outcomes.Step.PACE, "/api/pace", fields)

    def _order(self, step, target, fields) -> orders.Answer:
        answer = self._calls.post(
            step, target, fields, ORDER_S, headers=self._headers
        )
        if isinstance(answer, outcomes.Failed):
            refusal = (
                orders.Refusal.SILENT
                if answer.may_have_acted
                else orders.Refusal.UNREACHABLE
            )
            return orders.Answer(refusal)
        status, found = answer.value.status, answer.value.read_fields()
        clock_ms = found.get("clock_ms")
        clock_ms = clock_ms if isinstance(clock_ms, int) else 0
        if status == 200:
            return orders.Answer(None, clock_ms)
        if status == 409:
            reason = REFUSALS.get(found.get("reason"), orders.Refusal.MALFORMED)
            return orders.Answer(reason, clock_ms)
        if status == 421:
            return orders.Answer(orders.Refusal.OTHER_LIFE)
        if status in (429, 503):
            return orders.Answer(orders.Refusal.BUSY)
        return orders.Answer(orders.Refusal.MALFORMED)

    def hold(
        self, order: orders.Hold, patience_s: float = ORDER_S
    ) -> outcomes.Ok[work.Report] | outcomes.Failed:
        """Renews the leases and looks at what runs and ended.

        Args:
            order: The order.
            patience_s: Time for the answer beyond the wait asked for.
        """
        fields: dict[str, object] = {
            "fencing_token": order.epoch,
            "last_seen": order.seen,
            "wait_ms": order.wait_ms,
        }
        if order.until_ms:
            fields["deadline_ms"] = order.until_ms
        answer = self._calls.post(
            outcomes.Step.HOLD,
            "/api/hold",
            fields,
            patience_s + order.wait_ms / 1000,
            headers=self._headers,
        )
        if isinstance(answer, outcomes.Failed):
            return answer
        peer = self.worker.name
        found = answer.value.read_fields()
        if answer.value.status == 409 and found.get("reason") == "fence":
            return outcomes.Failed(outcomes.Step.HOLD, peer, "fenced")
        if answer.value.status == 421:
            return outcomes.Failed(outcomes.Step.HOLD, peer, "other-life")
        if answer.value.status != 200:
            reason = f"status-{answer.value.status}"
            return outcomes.Failed(outcomes.Step.HOLD, peer, reason)
        try:
            return outcomes.Ok(read_report(found))
        except ValueError as error:
            return outcomes.Failed(
                outcomes.Step.HOLD, peer, "malformed", str(error), True
            )

    def close(self) -> None:
        """Closes idle connections."""
        self._calls.close()

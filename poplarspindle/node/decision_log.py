"""Notes of the owner's decisions, to the log and the counters."""

import structlog

from poplarspindle import metrics
from poplarspindle.fleet import away_history, effects

_log = structlog.get_logger(part="node")


def write(counters: metrics.Metrics, note: effects.Note) -> None:
    """Writes one line, counts it, and observes what it measured."""
    counters.add("poplarspindle_fleet_total", f"{note.area}-{note.event}")
    fields = dict(note.fields)
    if note.event == "placed" and "first_ms" in fields:
        counters.observe(
            "poplarspindle_first_start_seconds",
            fields["queue"],
            fields["first_ms"] / 1000,
        )
    if note.job:
        fields["job"] = note.job
    _log.info(note.event, about=note.area, **fields)


def set_gauges(
    counters: metrics.Metrics,
    room: away_history.ReportedRoom,
    excluded_millicores: int = 0,
) -> None:
    """Sets the gauges of an owner; those of a node that owns nothing are 0."""
    name = "poplarspindle_room_margin_seconds"
    counters.set(name, "now", room.now_ms / 1000)
    counters.set(name, "worst", room.worst_ms / 1000)
    counters.set(
        "poplarspindle_excluded_cores", "failing", excluded_millicores / 1000
    )

"""The document as held by a program that only reads it."""

from poplarspindle import document, effects, events, records

_AREAS = {
    records.SectionPublished: document.apply_section,
    records.DataCentreSet: document.apply_data_centre,
}
_PASSED_OVER = records.SnapshotChunk | records.HomeMoved


class Replica:
    """The document, and whether it has no holes.

    Attributes:
        state: The document as of the last event; where its state is lost,
            as it was before.
        lost: Why the state is lost, empty where it is not.

    Args:
        blank: An empty document with the keys to check by.
    """

    def __init__(self, blank: document.State) -> None:
        self.state = blank
        self.state.is_whole = False
        self.lost = ""

    @property
    def is_whole(self) -> bool:
        """Whether it was read to the tail with nothing missing."""
        return self.state.is_whole

    def take(self, event: events.Event) -> list[effects.Effect]:
        """Reduces one event of the document's stream."""
        match event:
            case events.RecordRead():
                return self._read_record(event)
            case events.MalformedRead(count=count):
                return [_count("malformed", count)]
            case events.TailReached():
                self.state.is_whole = True
            case events.RetentionPassed():
                self.state.is_whole = False
                return [_count("retention-passed")]
            case events.SnapshotRead(state=state):
                self.state = state
                self.state.is_whole = False
                self.lost = ""
                return [_count_snapshot("installed")]
            case events.SnapshotRefused(reason=reason):
                return [_count_snapshot(reason)]
            case events.StateLost(reason=reason):
                self.state.is_whole = False
                self.lost = reason
                text = f"The document is lost: {reason}."
                return [
                    _count_snapshot("state-lost"),
                    effects.LogLine("log", text, event.stream),
                ]
        return []

    def _read_record(self, event: events.RecordRead) -> list:
        self.state.offset = event.offset
        apply = _AREAS.get(type(event.record))
        if apply is not None:
            return apply(self.state, event)
        if isinstance(event.record, _PASSED_OVER):
            return []
        return [_count("foreign")]


def _count(reason: str, amount: int = 1) -> effects.Count:
    return effects.Count("poplarspindle_records_total", reason, amount)


def _count_snapshot(reason: str) -> effects.Count:
    return effects.Count("poplarspindle_snapshots_total", reason)

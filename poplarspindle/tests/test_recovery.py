"""All instances replaced at once, after retention took all early records."""

import threading
import time

import pytest

from poplarspindle import (
    document,
    entry,
    records,
    scheduler,
    settings,
)
from poplarspindle.tools.fakes import platform

SECRET = "recovery"
WAIT_S = 15.0
CENTRES = ("ourthe", "semois")
SECTION = "[data_centres.ourthe]\n[data_centres.semois]\n"


@pytest.fixture
def fake():
    made = platform.Platform(
        platform.Plan(data_centres=CENTRES, workers=1, minions=0)
    )
    made.start()
    yield made
    made.stop()


def start(kind, program, fake, name):
    made = kind(
        settings.make_values(
            program,
            log_url=fake.url,
            list_url=fake.url,
            incarnation=name,
            team_secret=SECRET,
            lease_s=0.6,
            tick_s=0.05,
            list_s=0.1,
            leave_s=0.0,
            threads=4,
        )
    )
    made.start()
    return made


def wait_for(condition):
    deadline = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < deadline
        threading.Event().wait(0.02)


def kill(fake, process):
    """Ends a process as a crash does; the platform's list drops it."""
    process.kill()
    fake.members.remove(process.incarnation)


def append(fake, change):
    key = document.derive_key(SECRET, change.team)
    signed = document.sign_change(change, key)
    fake.log.append(records.DOCUMENT_STREAM, records.encode_batch((signed,)))


def has_change(process):
    known = process.document
    return "platform" in known.sections and not known.is_in_service("semois")


def list_snapshots(fake, stream):
    """Returns the offsets at which snapshots of one chunk were written."""
    page = fake.log.read({stream: 0}, 10_000, 0)[stream]
    return [
        offset
        for offset, payload in page["records"]
        for record in records.decode_batch(payload)[0]
        if isinstance(record, records.SnapshotChunk) and record.count == 1
    ]


def test_change_outlives_retention_and_all_instances(fake):
    old = [
        start(scheduler.Scheduler, settings.SCHEDULER, fake, f"old-{i}")
        for i in range(2)
    ]
    publish = records.SectionPublished("c1", "platform", 0, "t", "a", SECTION)
    append(fake, publish)
    append(fake, records.DataCentreSet("c2", "semois", False, 0, "t", "a"))
    streams = (records.DOCUMENT_STREAM, *(f"cell/{c}" for c in CENTRES))
    wait_for(lambda: all(map(has_change, old)))
    for process in old:
        kill(fake, process)
    for number in range(2):
        name = f"saver-{number}"
        saver = start(scheduler.Scheduler, settings.SCHEDULER, fake, name)
        before = {s: fake.log.count(s) for s in streams}
        wait_for(
            lambda first=before: all(
                any(at >= first[s] for at in list_snapshots(fake, s))
                for s in streams
            )
        )
        kill(fake, saver)
        for stream in streams:
            fake.log.trim(stream, list_snapshots(fake, stream)[-1])
    new = [
        start(scheduler.Scheduler, settings.SCHEDULER, fake, "new"),
        start(entry.Entry, settings.ENTRY, fake, "new-entry"),
    ]
    wait_for(lambda: all(map(has_change, new)))
    cells = new[0].state.cells
    wait_for(lambda: all(cells[c].table.owner == "new" for c in CENTRES))
    assert all(cells[c].table.term >= 3 for c in CENTRES)
    for process in new:
        process.stop()

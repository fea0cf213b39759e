"""Tests how each record changes a task, in each phase."""

import pytest

from poplarspindle import cells, events, records, reducer, scheduler_state

CENTRE, TASK = "ourthe", "job/0"
JOB = records.JobSubmitted("job", "team", "family", 1, 1, 1000, 1000)
PHASE = cells.Phase


class RecordReader:
    """An instance that reads records of one data centre."""

    def __init__(self):
        self.state = scheduler_state.SchedulerState(
            "me", scheduler_state.Limits()
        )
        self.cell = self.state.cells.setdefault(CENTRE, cells.Cell(CENTRE))
        self.offset = -1

    def read(self, *batch):
        """Applies records and returns the task, None if there is none."""
        for record in batch:
            self.offset += 1
            event = events.RecordRead(
                1.0, cells.name_stream(CENTRE), self.offset, record
            )
            reducer.reduce(self.state, event)
        return self.cell.table.tasks.get(TASK)


CLAIM = records.OwnershipClaimed("me", 1, -1, 1)
PLACED = records.TaskPlaced(TASK, 0, "w", 1)
RUNNING = records.TaskRunning(TASK, 0, 1)
EVICTED = records.TaskEvicted(TASK, 0, 1, "room")
MOVED = records.TaskMoved(TASK, 0, 1, "lesse")
STOPPED = records.TaskStopped(TASK, 0, 1, 700, "stopped")
CANCEL = records.JobCancelled("job")
RECORDS_TO_REACH = {
    PHASE.QUEUED: (JOB,),
    PHASE.PLACED: (JOB, PLACED),
    PHASE.RUNNING: (JOB, PLACED, RUNNING),
    PHASE.STOPPING: (JOB, PLACED, RUNNING, EVICTED),
    PHASE.MOVED: (JOB, MOVED),
}


@pytest.mark.parametrize("phase", [*RECORDS_TO_REACH, None])
def test_cancelled_task_ends_from_every_phase(phase):
    reader = RecordReader()
    reader.read(CLAIM, *RECORDS_TO_REACH.get(phase, ()), CANCEL)
    if phase is None:
        task = reader.read(JOB)
    elif phase in cells.HOLDING:
        task = reader.read(STOPPED)
    else:
        task = reader.read()
    assert task.cancelled or task.phase is PHASE.CANCELLED
    assert not reader.cell.table.queue
    assert not reader.cell.table.held


@pytest.mark.parametrize("phase", RECORDS_TO_REACH)
def test_records_of_another_term_or_attempt_are_ignored(phase):
    for term, attempt in ((0, 0), (2, 0), (1, 1)):
        reader = RecordReader()
        reader.read(CLAIM, *RECORDS_TO_REACH[phase])
        task = reader.read(
            records.TaskPlaced(TASK, attempt, "other", term),
            records.TaskRunning(TASK, attempt, term),
            records.TaskEvicted(TASK, attempt, term, "room"),
            records.TaskStopped(TASK, attempt, term, 900, "stopped"),
            records.TaskEnded(TASK, attempt, term, True),
            records.TaskMoved(TASK, attempt, term, "semois"),
        )
        assert task.phase is phase
        assert task.worker in ("", "w")
        assert task.checkpoint == 0


@pytest.mark.parametrize("copies", [1, 2])
def test_stop_queues_one_further_attempt(copies):
    """Guards against a second attempt when the stop is read twice."""
    reader = RecordReader()
    task = reader.read(
        CLAIM,
        *RECORDS_TO_REACH[PHASE.STOPPING],
        *[STOPPED] * copies,
        JOB,
        PLACED,
    )
    assert (task.phase, task.attempt) == (PHASE.QUEUED, 1)
    assert task.checkpoint == 700


@pytest.mark.parametrize(
    ("succeeded", "final", "phase", "attempt"),
    [
        (True, True, PHASE.FINISHED, 0),
        (False, True, PHASE.FAILED, 0),
        (False, False, PHASE.QUEUED, 1),
    ],
)
def test_end_is_final_only_if_the_owner_decided_so(
    succeeded, final, phase, attempt
):
    reader = RecordReader()
    end = records.TaskEnded(TASK, 0, 1, succeeded, "why", final)
    task = reader.read(CLAIM, *RECORDS_TO_REACH[PHASE.RUNNING], end)
    assert (task.phase, task.attempt, task.reason) == (phase, attempt, "why")
    assert cells.is_ready(reader.cell, task, 1.0) is (phase is not PHASE.QUEUED)


def test_moved_task_may_return_but_duplicates_are_ignored():
    reader = RecordReader()
    reader.read(CLAIM, *RECORDS_TO_REACH[PHASE.MOVED])
    returned = records.TaskReceived(TASK, 2, "lesse", 500, JOB)
    duplicate = records.TaskReceived(TASK, 1, "lesse", 0, JOB)
    assert reader.read(duplicate).phase is PHASE.MOVED
    task = reader.read(returned, returned)
    assert (task.phase, task.attempt) == (PHASE.QUEUED, 2)


def test_task_with_tombstone_never_runs_again(monkeypatch):
    """Guards against a late duplicate that runs a removed task again."""
    monkeypatch.setattr(cells, "MAX_ENDED_TASKS", 0)
    reader = RecordReader()
    end = records.TaskEnded(TASK, 0, 1, True)
    assert reader.read(CLAIM, *RECORDS_TO_REACH[PHASE.RUNNING], end) is None
    received = records.TaskReceived(TASK, 0, "lesse", 0, JOB)
    assert reader.read(JOB, received, PLACED) is None


def test_confirmation_of_an_earlier_move_is_ignored():
    reader = RecordReader()
    reader.read(CLAIM, *RECORDS_TO_REACH[PHASE.MOVED])
    reader.read(records.MoveConfirmed(TASK, 0, 1))
    assert TASK in reader.cell.table.moving
    reader.read(records.MoveConfirmed(TASK, 1, 1))
    assert TASK not in reader.cell.table.moving

"""Tests of the interface for batch jobs."""

import json

import pytest

from poplarspindle import (
    document,
    inquiries,
    jobs,
    records,
    reports,
    resources,
    scheduler,
    settings,
)
from poplarspindle.clients import logservice, transport

TEXT = (
    "[data_centres.ourthe]\n[data_centres.semois]\n"
    "[families.rosters]\nprocessors = 1\n"
    "[families.giant]\nprocessors = 500\n"
    '[families.lost]\nprocessors = 1\ndata_centres = ["nowhere"]\n'
)


def make_document() -> document.State:
    known = document.State("s")
    spec = document.parse_section(TEXT).value
    known.sections["all"] = document.Section(
        name="all", version=1, team="team", author="test", text=TEXT, spec=spec
    )
    return known


@pytest.mark.parametrize(
    ("body", "reason"),
    [
        (b"", "bad-json"),
        (b"[]", "bad-json"),
        (b"\xff", "bad-json"),
        (b"[" * 60_000, "bad-json"),
        (b'{"job": "a"}', "bad-json"),
        (b" " * 70_000, "too-large"),
        (b'{"job": "a/b", "family": "rosters"}', "bad-job"),
        (b'{"job": 1, "family": "rosters"}', "bad-job"),
        (b'{"job": "a", "family": "none"}', "unknown-family"),
        (b'{"job": "a", "family": ["x"]}', "unknown-family"),
        (b'{"job": "a", "family": "rosters", "tasks": 0}', "bad-tasks"),
        (b'{"job": "a", "family": "rosters", "tasks": true}', "bad-tasks"),
        (b'{"job": "a", "family": "rosters", "tasks": 1e9}', "bad-tasks"),
        (b'{"job": "a", "family": "rosters", "more": 1}', "bad-field"),
        (b'{"job": "a", "family": "lost"}', "no-data-centre"),
    ],
)
def test_bad_submissions(body, reason):
    assert jobs.read_submission(body, make_document()).reason == reason


def test_home_follows_from_the_id_also_while_it_is_out():
    known = make_document()
    body = b'{"job": "a", "family": "rosters"}'
    home = jobs.read_submission(body, known).value.home
    known.data_centres[home] = document.DataCentreState(in_service=False)
    assert jobs.read_submission(body, known).value.home == home


class Batch:
    """An entry, and a scheduler where wanted."""

    def __init__(self, site) -> None:
        self.site = site
        self.entry = site.start_entry("only", team_secret="s")
        change = records.SectionPublished("c", "all", 0, "t", "test", TEXT)
        signed = document.sign_change(change, document.derive_key("s", "t"))
        logservice.LogService(site.url, transport.Transport(5.0)).append(
            records.DOCUMENT_STREAM, records.encode_batch((signed,))
        )
        site.wait_for(lambda: self.entry.document.sections)

    def start_scheduler(self) -> scheduler.Scheduler:
        """Starts a scheduler that the entry knows."""
        made = scheduler.Scheduler(
            settings.make_values(
                settings.SCHEDULER,
                log_url=self.site.url,
                list_url=self.site.url,
                incarnation="scheduler",
                team_secret="s",
            )
        )
        made.start()
        self.site.wait_for(lambda: "scheduler" in self.entry.members.members)
        return made

    def submit(self, tasks: int = 2):
        """Submits job a."""
        body = {"job": "a", "family": "rosters", "tasks": tasks}
        return self.call("POST", "", json.dumps(body).encode())

    def call(self, method, path="/a", body=b""):
        """Calls the interface for jobs; returns status and body."""
        answer = self.site.call(
            self.entry.address, f"/v1/jobs{path}", body, method
        )
        return answer.status, json.loads(answer.body)


@pytest.fixture
def batch(site):
    return Batch(site)


def test_life_of_a_job(batch, wait):
    made = batch.start_scheduler()
    wait(lambda: batch.call("GET")[0] == 404)
    status, body = batch.submit()
    assert (status, body["phases"]) == (202, {"queued": 2})
    assert batch.submit()[0] == 200
    status, body = batch.submit(tasks=3)
    assert (status, body["reason"]) == (409, "different-content")
    status, body = batch.call("GET")
    assert (status, body["tasks"]) == (200, 2)
    assert "a/0 is queued in" in body["sentence"]
    assert batch.call("DELETE")[0] == 202
    wait(lambda: batch.call("GET")[1]["phases"] == {"cancelled": 2})
    made.kill()


def add_worker(batch) -> None:
    """Lists a worker of 16 processors that does not answer."""
    member = reports.Member(
        "ourthe-w0",
        reports.Role.WORKER,
        "ourthe",
        address="127.0.0.1:9",
        capacity=resources.Resources(16_000, 60_000),
    )
    batch.site.fake.members.put(member)


def test_job_that_no_worker_can_hold_is_refused(batch, wait):
    add_worker(batch)
    wait(lambda: "ourthe-w0" in batch.entry.members.members)
    fields = {"job": "b", "family": "giant"}
    status, body = batch.call("POST", "", json.dumps(fields).encode())
    assert (status, body["reason"]) == (400, "never-fits")
    assert "needs 500 processors, and no worker in ourthe," in body["error"]


@pytest.mark.parametrize(
    ("subject", "known", "said"),
    [
        ("ourthe", True, "ourthe is in service, owned by"),
        ("ourthe-w0", True, "ourthe-w0 in ourthe, rack"),
        ("none", False, "No task, job, worker or data centre none"),
    ],
)
def test_schedulers_explain(batch, wait, subject, known, said):
    add_worker(batch)
    made = batch.start_scheduler()
    values = settings.make_values(
        settings.CTL, log_url=batch.site.url, list_url=batch.site.url
    )
    wait(lambda: inquiries.explain(values, "ourthe-w0").known)
    found = inquiries.explain(values, subject)
    assert found.known is known
    assert said in found.lines[0]
    made.kill()


def test_without_schedulers_the_log_decides(batch):
    status, body = batch.submit()
    assert (status, body["state"]) == (202, "in the log")
    assert batch.call("GET")[0] == 504
    assert batch.call("DELETE")[0] == 504


@pytest.mark.parametrize(
    ("fault", "status"), [("down", 504), ("lose_acks", 504)]
)
def test_unsure_append_is_told_so(batch, fault, status):
    setattr(batch.site.fake.log, fault, 1)
    told, body = batch.submit()
    assert (told, body["outcome"]) == (status, "unknown")
    assert "same id is the same job" in body["error"]


def test_lost_ack_is_settled_by_the_scheduler(batch):
    made = batch.start_scheduler()
    batch.site.fake.log.lose_acks = 1
    assert batch.submit()[0] == 202
    made.kill()

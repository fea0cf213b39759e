"""The entry: takes callers' requests and sends them to minions."""

import hashlib
import json
import random
import signal
import threading
import time
import uuid

from poplarspindle import (
    appender,
    cells,
    dispatch,
    document,
    effects,
    events,
    follower,
    lanes,
    log,
    metrics,
    outcomes,
    ownership,
    records,
    replica,
    reports,
    requests,
    serving,
    settings,
    snapshots,
)
from poplarspindle.platform import logservice, members, minions, transport

JOIN_S = 5.0
TICKETS_MOST = 1000
SEED_BITS = 32
OUTCOME_STATUS = {
    requests.Outcome.NOT_RUN: 503,
    requests.Outcome.UNKNOWN: 504,
}

logger = log.get_logger("entry")


class Entry:
    """One entry process.

    Args:
        values: Checked settings.
    """

    def __init__(self, values: settings.Values) -> None:
        self.values = values
        self.incarnation = values.incarnation or f"e-{uuid.uuid4().hex[:12]}"
        self.metrics = metrics.Metrics()
        self.state = requests.State(self.incarnation)
        self.document = document.State(values.team_secret)
        self._replica = replica.Replica(self.document)
        self._lock = threading.Lock()
        self._rng = random.Random(self.incarnation)
        self._calls = transport.Transport(values.platform_timeout_s)
        service = logservice.LogService(values.log_url, self._calls)
        self._list = members.InstanceList(values.list_url, self._calls)
        self._stopping = threading.Event()
        self._leaving = False
        seed = self._rng.getrandbits(SEED_BITS)
        self._dispatcher = dispatch.Dispatcher(
            values.entries,
            values.routing,
            minions.Minions(values.threads),
            self.metrics,
            seed,
        )
        self._appender = appender.Appender(
            service,
            self.metrics,
            appender.read_bounds(values),
            lanes.list_lifetimes(
                values.deadline_ms / 1000, values.deadline_ms / 1000
            ),
            seed,
        )
        self._follower = follower.Follower(
            service,
            lambda: (records.DOCUMENT_STREAM,),
            self._take_event,
            self.metrics,
            seed,
            snapshots.make_opener(values.team_secret),
        )
        self._server = serving.Server(
            values.address,
            self._handle,
            values.threads,
            values.deadline_ms / 1000 + JOIN_S,
        )
        self.address = ""

    def start(self) -> None:
        """Starts serving and announces this instance."""
        self._read_list()
        self.address = self._server.start()
        self._announce(reports.Presence.LIVE)
        self._appender.start()
        self._follower.start()
        threading.Thread(target=self._run_list, daemon=True).start()
        logger.info("Started.", incarnation=self.incarnation)

    def stop(self) -> None:
        """Stops gracefully: accepts for a while, then finishes all."""
        self._leaving = True
        self._announce(reports.Presence.LEAVING)
        self._stopping.wait(self.values.leave_s)
        self._server.stop()
        self._stopping.set()
        self._follower.stop()
        self._appender.close(JOIN_S)
        logger.info("Stopped.")

    def _announce(self, presence: reports.Presence) -> None:
        member = reports.Member(
            self.incarnation,
            reports.Role.ENTRY,
            self.values.data_centre,
            address=self.address,
            presence=presence,
        )
        if isinstance(self._list.announce(member), outcomes.Failed):
            logger.warning("The instance list did not answer.")

    def _take_event(self, event: events.Event) -> None:
        with self._lock:
            found = self._replica.take(event)
            self.document = self._replica.state
        for effect in found:
            if isinstance(effect, effects.Count):
                self.metrics.add(effect.name, effect.reason, effect.amount)
            elif isinstance(effect, effects.Note):
                logger.warning(effect.text, stream=effect.subject)

    def _run_list(self) -> None:
        while not self._stopping.wait(self.values.list_s):
            self._read_list()

    def _read_list(self) -> None:
        match self._list.fetch():
            case outcomes.Ok(found):
                self._dispatcher.take_members(found)
            case outcomes.Failed() as failed:
                self.metrics.add(
                    "poplarspindle_platform_failures_total",
                    f"list-{failed.reason}",
                )

    def _handle(self, request: serving.Request) -> serving.Response:
        parts = request.path.strip("/").split("/")
        match (request.method, *parts):
            case ("POST", "v1", "services", service, "requests"):
                return self._serve_request(request, service)
            case ("POST", "v1", "tickets"):
                return self._serve_tickets(request)
            case ("POST", "v1", "jobs"):
                return self._serve_job(request)
            case ("GET", "healthz"):
                return serving.Response(200, b"ok")
            case ("GET", "readyz"):
                return serving.Response(503 if self._leaving else 200)
            case ("GET", "metrics"):
                return serving.Response(200, self.metrics.render())
        return serving.Response(404)

    def _serve_tickets(self, request: serving.Request) -> serving.Response:
        text = request.body.decode("utf-8", "replace") or "1"
        if not text.isdigit() or not 1 <= int(text) <= TICKETS_MOST:
            return _refuse_input(f"give a count from 1 to {TICKETS_MOST}")
        with self._lock:
            ids = requests.mint_ids(self.state, int(text))
        return _answer_json(200, {"ids": ids})

    def _serve_request(
        self, request: serving.Request, service: str
    ) -> serving.Response:
        deadline_text = request.headers.get(
            "deadline-ms", str(self.values.deadline_ms)
        )
        if not deadline_text.isdigit() or int(deadline_text) < 1:
            return _refuse_input("Deadline-Ms must be a whole number above 0")
        idempotent_text = request.headers.get("idempotent", "false").lower()
        if idempotent_text not in ("true", "false"):
            return _refuse_input("Idempotent must be true or false")
        deadline = time.monotonic() + int(deadline_text) / 1000
        idempotent = idempotent_text == "true"
        with self._lock:
            name = request.headers.get("request-id", "")
            if not name:
                (name,) = requests.mint_ids(self.state, 1)
            verdict = requests.check_id(self.state, name, idempotent)
        if verdict is None:
            answer = self._dispatcher.dispatch(
                service, name, request.body, idempotent, deadline
            )
            if isinstance(answer, minions.Answer):
                return self._answer_whole(name, answer)
            verdict = answer
        return self._answer_verdict(name, verdict)

    def _answer_whole(self, name, answer) -> serving.Response:
        self.metrics.add("poplarspindle_requests_total", "answered")
        headers = (
            ("Request-Id", name),
            ("Outcome", requests.Outcome.ANSWERED),
        )
        return serving.Response(
            answer.status, answer.body, headers, answer.content_type
        )

    def _answer_verdict(self, name, verdict) -> serving.Response:
        self.metrics.add("poplarspindle_requests_total", verdict.outcome)
        self.metrics.add("poplarspindle_refusals_total", verdict.reason)
        headers = (
            ("Request-Id", name),
            ("Outcome", verdict.outcome),
            ("Reason", verdict.reason),
            ("Step", verdict.step),
        )
        return serving.Response(OUTCOME_STATUS[verdict.outcome], b"", headers)

    def _serve_job(self, request: serving.Request) -> serving.Response:
        """Takes a job: `{"job", "family", "tasks"}`, in JSON."""
        try:
            body = json.loads(request.body)
            name, family = str(body["job"]), str(body["family"])
            count = int(body.get("tasks", 1))
        except (ValueError, KeyError, TypeError):
            return _refuse_input("give job, family and tasks in JSON")
        if not self._replica.is_whole:
            return _answer_json(503, {"error": "the document is not read yet"})
        with self._lock:
            found = self.document.find_family(family)
            target = self._find_home(name, found[1]) if found else ""
        if not found:
            return _refuse_input(f"no section declares family {family}")
        if not target:
            return _answer_json(503, {"error": "no data centre in service"})
        section, spec = found
        job = records.JobSubmitted(
            name,
            section.team,
            family,
            spec.priority,
            count,
            int(spec.processors * 1000),
            int(spec.memory_gb * 1000),
            spec.accelerators,
            int(spec.run_s * 1000),
            spec.exclusive,
            spec.urgent,
        )
        self._appender.add(cells.name_stream(target), job)
        return _answer_json(202, {"job": name, "data_centre": target})

    def _find_home(self, job: str, spec: document.FamilySpec) -> str:
        """Returns the data centre that a job starts in."""
        allowed = spec.data_centres or self.document.list_data_centres()
        able = tuple(a for a in allowed if self.document.is_in_service(a))
        digest = hashlib.sha256(job.encode()).hexdigest()
        return ownership.rank_candidates(digest, able)[0] if able else ""


def _answer_json(status: int, body: dict) -> serving.Response:
    return serving.Response(
        status, json.dumps(body).encode(), content_type="application/json"
    )


def _refuse_input(text: str) -> serving.Response:
    return _answer_json(400, {"error": text})


def run(values: settings.Values) -> int:
    """Runs an entry until SIGTERM or SIGINT."""
    log.set_up(values.log_format, values.log_level)
    process = Entry(values)
    asked = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: asked.set())
    process.start()
    asked.wait()
    process.stop()
    return 0


def main() -> None:
    """Runs `poplarspindle-entry`."""
    settings.run_command(settings.ENTRY, "Serves callers' requests.", run)


if __name__ == "__main__":
    main()

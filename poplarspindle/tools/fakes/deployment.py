"""The users' platform over HTTP: a store and minions, for tests and demos.

It speaks the platform's own protocol, so its words stand here as they do in
the adapter. Minions run tasks for as long as the job's estimate says.
"""

import base64
import collections
import itertools
import json
import struct
import threading
import time
import urllib.parse

from poplarspindle import http_server

WAIT_S = 0.02
THREADS = 64


def answer(status: int, fields: dict | None = None, raw: bytes | None = None):
    """Makes an answer of JSON fields or raw bytes."""
    body = json.dumps(fields or {}).encode() if raw is None else raw
    return http_server.Response(status, body, (), "application/json")


class FakeStore:
    """The store: keyed topics of one partition, and one group.

    Attributes:
        up: Whether it answers; else it says 503.
        appends: Appends that were carried out.
        joins: Joins answered, by member.
    """

    def __init__(self) -> None:
        self._lock = threading.Condition()
        self._topics: dict[str, list[tuple[str, bytes]]] = {}
        self._epochs: dict[str, int] = {}
        self._answers: dict[tuple, int] = {}
        self._members: dict[str, float] = {}
        self._generation = 0
        self._chosen = ""
        self.joins: collections.Counter = collections.Counter()
        self.up = True
        self.appends = 0
        self._server = http_server.Server("127.0.0.1:0", self._handle, THREADS)
        self.address = self._server.start()

    def stop(self) -> None:
        """Stops serving."""
        self._server.stop()

    def choose(self, member: str) -> None:
        """Deals everything to one member of the group."""
        with self._lock:
            self._chosen = member
            self._generation += 1

    def write(self, topic: str, key: str, value: bytes) -> None:
        """Writes a record as an operator or a minion does."""
        with self._lock:
            self._topics.setdefault(topic, []).append((key, value))
            self._lock.notify_all()

    def read_keys(self, topic: str) -> dict[str, bytes]:
        """Returns the newest value of each key, of all parts."""
        with self._lock:
            return {
                key: value
                for name, rows in self._topics.items()
                if name.partition(":")[0] == topic
                for key, value in rows
            }

    def _handle(self, request: http_server.Request) -> http_server.Response:
        if not self.up:
            return answer(503)
        query = dict(urllib.parse.parse_qsl(request.query))
        name = request.path.removeprefix("/api/log-").replace("-", "_")
        if int(query.get("part", 0)):
            query["topic"] += f":{query['part']}"
        handle = getattr(self, f"_{name}", None)
        return handle(query, request.body) if handle else answer(404)

    def _append(self, query: dict, body: bytes) -> http_server.Response:
        topic = query["topic"]
        with self._lock:
            epoch = int(query.get("epoch", 0))
            if "producer" in query:
                key = (topic, epoch, int(query["seq"]))
                if key in self._answers:
                    return answer(200, {"offset": self._answers[key]})
                if epoch < self._epochs.get(topic, 0):
                    return answer(409, {"reason": "fenced"})
            rows = self._topics.setdefault(topic, [])
            if int(query.get("at", len(rows))) != len(rows):
                return answer(412, {"end_offset": len(rows)})
            if "producer" in query:
                self._epochs[topic] = epoch
            offset = len(rows)
            rows += _split(body)
            if "producer" in query:
                self._answers[key] = offset
            self.appends += 1
            self._lock.notify_all()
        return answer(200, {"offset": offset, "end_offset": offset + 1})

    def _read(self, query: dict, body: bytes) -> http_server.Response:
        first = int(query["from"])
        deadline = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        with self._lock:
            while True:
                rows = self._topics.get(query["topic"], [])
                left_s = deadline - time.monotonic()
                if len(rows) > first or left_s <= 0:
                    break
                self._lock.wait(left_s)
            found = rows[first:]
            end = len(rows)
        return answer(200, raw=struct.pack(">QQ", end, 0) + _join(found))

    def _newest(self, query: dict, body: bytes) -> http_server.Response:
        with self._lock:
            rows = self._topics.get(query["topic"], [])
            newest = dict(rows)
            end = len(rows)
        items = [
            {"key": key, "value": base64.b64encode(value).decode()}
            for key, value in newest.items()
            if value
        ]
        return answer(
            200, {"items": items, "has_more": False, "end_offset": end}
        )

    def _join(self, query: dict, body: bytes) -> http_server.Response:
        fields = json.loads(body)
        now = time.monotonic()
        with self._lock:
            before = sorted(self._members)
            self._members[fields["member"]] = now + fields["ttl_ms"] / 1000
            self._members = {
                name: until
                for name, until in self._members.items()
                if until > now
            }
            if sorted(self._members) != before:
                self._generation += 1
            self.joins[fields["member"]] += 1
            chosen = self._chosen
            if chosen not in self._members:
                chosen = min(self._members)
            mine = chosen == fields["member"]
        parts = [[topic, 0, 0] for topic in fields["topics"] if mine]
        return answer(200, {"generation": self._generation, "parts": parts})

    def _leave(self, query: dict, body: bytes) -> http_server.Response:
        with self._lock:
            self._members.pop(json.loads(body)["member"], None)
        return answer(200)


def _split(body: bytes) -> list[tuple[str, bytes]]:
    found = []
    while body:
        (length,) = struct.unpack_from(">I", body)
        content, body = body[4 : 4 + length], body[4 + length :]
        size = content[0]
        found.append((content[1 : 1 + size].decode(), content[1 + size :]))
    return found


def _join(rows: list[tuple[str, bytes]]) -> bytes:
    parts = []
    for key, value in rows:
        content = bytes([len(key)]) + key.encode() + value
        parts.append(struct.pack(">I", len(content)) + content)
    return b"".join(parts)


class FakeMinion:
    """A minion that runs tasks for a fixed time and keeps a ledger.

    Attributes:
        ledger: `(task, attempt, began, ended, how)` of each run.
        leases: `(owner's epoch, milliseconds asked for)` of each hold.
    """

    def __init__(self, name: str, run_s: float = 0.1) -> None:
        self.name = name
        self._run_s = run_s
        self._lock = threading.RLock()
        self._began = time.monotonic()
        self._born = int(time.time() * 1000)
        self._fence = 0
        self._numbers = itertools.count(1)
        self._running: dict[tuple[str, int], float] = {}
        self._highest: dict[str, int] = {}
        self._ends: list[list] = []
        self.ledger: list[tuple[str, int, float, float, str]] = []
        self.leases: list[tuple[int, int]] = []
        self._server = http_server.Server("127.0.0.1:0", self._handle, 8)
        self.address = self._server.start()

    def stop(self) -> None:
        """Stops serving."""
        self._server.stop()

    def describe(self) -> bytes:
        """Returns its entry in the store."""
        fields = {
            "service": "pool",
            "address": self.address,
            "zone": "dc",
            "slots": 8,
            "state": "ready",
            "capacity": {"cpu": 8000, "mem_mb": 32000, "gpu": 0},
            "labels": ["a", "r1"],
            "seq": 1,
            "born": self._born,
        }
        return json.dumps(fields).encode()

    def _clock_ms(self) -> int:
        return 1 + int((time.monotonic() - self._began) * 1000)

    def _handle(self, request: http_server.Request) -> http_server.Response:
        expected = request.headers.get("expected-instance", self.name)
        if expected != self.name:
            return answer(421)
        fields = json.loads(request.body)
        name = request.path.removeprefix("/api/").replace("-", "_")
        with self._lock:
            if fields["fencing_token"] < self._fence:
                return self._refuse("fence")
            self._fence = fields["fencing_token"]
            self._advance()
        return getattr(self, f"_{name}")(fields)

    def _refuse(self, reason: str) -> http_server.Response:
        fields = {"clock_ms": self._clock_ms(), "reason": reason}
        return answer(409, fields)

    def _advance(self) -> None:
        now = time.monotonic()
        for key, began in list(self._running.items()):
            if now - began >= self._run_s:
                self._end(key, "done")

    def _end(self, key: tuple[str, int], how: str) -> None:
        began = self._running.pop(key)
        self._ends.append([next(self._numbers), *key, how, ""])
        self.ledger.append((*key, began, time.monotonic(), how))

    def _run_start(self, fields: dict) -> http_server.Response:
        key = fields["task"], fields["attempt"]
        with self._lock:
            if key not in self._running:
                if key[1] <= self._highest.get(key[0], 0):
                    return self._refuse("old")
                self._highest[key[0]] = key[1]
                self._running[key] = time.monotonic()
        return answer(200, {"clock_ms": self._clock_ms()})

    def _run_stop(self, fields: dict) -> http_server.Response:
        key = fields["task"], fields["attempt"]
        with self._lock:
            highest = self._highest.get(key[0], 0)
            self._highest[key[0]] = max(highest, key[1])
            if key in self._running:
                self._end(key, "stopped")
        return answer(200, {"clock_ms": self._clock_ms()})

    def _pace(self, fields: dict) -> http_server.Response:
        return answer(200, {"clock_ms": self._clock_ms()})

    def _hold(self, fields: dict) -> http_server.Response:
        deadline = time.monotonic() + fields.get("wait_ms", 0) / 1000
        if "deadline_ms" in fields:
            left_ms = fields["deadline_ms"] - self._clock_ms()
            self.leases.append((fields["fencing_token"], left_ms))
        while True:
            with self._lock:
                self._advance()
                seen = fields["last_seen"]
                self._ends = [row for row in self._ends if row[0] > seen]
                if self._ends or time.monotonic() >= deadline:
                    running = [[*key, "", 100] for key in self._running]
                    report = {
                        "clock_ms": self._clock_ms(),
                        "born": self._born,
                        "running": running,
                        "finished": list(self._ends),
                    }
                    return answer(200, report)
            time.sleep(WAIT_S)


def write_configuration(store: FakeStore, version: int = 1) -> None:
    """Writes a configuration with one queue, `/q/` at host `desk`."""
    route = {
        "name": "q",
        "host": "desk",
        "path_prefix": "/q/",
        "service": "pool",
        "max_attempts": 2,
        "slack_factor": 2.0,
        "target_completion_ms": 1000,
        "timeout_ms": 3000,
    }
    fields = {
        "version": version,
        "routes": [route],
        "services": [{"name": "pool", "enforce_limits": True}],
        "limits": {},
    }
    store.write("keyed.op", "config", json.dumps(fields).encode())


def write_settings(store: FakeStore, node: str, ports: tuple[int, int]) -> str:
    """Returns the settings file of a node."""
    return "\n".join(
        [
            f"node_name={node}",
            "zone=dc",
            f"listen_addrs.frontend=127.0.0.1:{ports[0]}",
            f"listen_addrs.readiness=127.0.0.1:{ports[1]}",
            f"platform.address={store.address}",
            "bounds.grace_s=1",
        ]
    )

"""Small stand-ins for cases: the platform's store, minions, machines, nodes.

Standard library only. Times in the record are seconds since the case began.
"""

import base64
import collections
import contextlib
import http.client
import http.server
import json
import os
import pathlib
import random
import signal
import socket
import socketserver
import struct
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOLD_MAX_MS = 6000
STOP_MS = 100
HEARTBEAT_S = 1.1
GANG_TIMEOUT_S = 3.0
PARTS = 8
RECORD_BYTES = 262144
REQUEST_BYTES = 2097152
MEM_MB = 128000
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run."""

    def __init__(self, folder: str) -> None:
        self._file = open(pathlib.Path(folder) / "record.txt", "w")
        self._lock = threading.Lock()
        self.began = time.monotonic()
        self.rows: list[tuple] = []

    def now(self) -> float:
        return time.monotonic() - self.began

    def add(self, what: str, *fields) -> None:
        with self._lock:
            row = (round(self.now(), 3), what, *fields)
            self.rows.append(row)
            print(f"{row[0]:8.3f}", what, *fields, file=self._file, flush=True)

    def find(self, what: str) -> list[tuple]:
        with self._lock:
            return [row for row in self.rows if row[1] == what]


class _Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def __init__(self, address, handler) -> None:
        self.connections: set[socket.socket] = set()
        super().__init__(address, handler)

    def handle_error(self, request, client_address) -> None:
        pass

    def process_request(self, request, client_address) -> None:
        request.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connections.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request) -> None:
        self.connections.discard(request)
        super().shutdown_request(request)


def serve(handle, port: int = 0) -> _Server:
    """Serves `handle(method, path, query, headers, body) -> (status, bytes)`.

    A handler that returns None closes the connection without an answer.
    """

    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        wbufsize = -1

        def _answer(self) -> None:
            url = urllib.parse.urlsplit(self.path)
            length = int(self.headers.get("Content-Length") or 0)
            body = self.rfile.read(length)
            query = dict(urllib.parse.parse_qsl(url.query))
            found = handle(self.command, url.path, query, self.headers, body)
            if found is None:
                self.close_connection = True
                return
            status, data = found
            self.send_response_only(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)
            self.wfile.flush()

        do_GET = do_POST = do_DELETE = _answer

        def log_message(self, *arguments) -> None:
            pass

    server = _Server(("127.0.0.1", port), Handler)
    threading.Thread(
        target=server.serve_forever, args=(0.02,), daemon=True
    ).start()
    return server


def close_hard(server: _Server) -> None:
    """Closes the port and resets all connections, as a crash does."""
    server.shutdown()
    server.server_close()
    for connection in list(server.connections):
        with contextlib.suppress(OSError):
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            connection.shutdown(socket.SHUT_RDWR)
            connection.close()


def fields(status: int, **values) -> tuple[int, bytes]:
    return status, json.dumps(values).encode()


class Store:
    """The metadata store: a log with keyed topics, and groups."""

    def __init__(self, record: Record, port: int = 0) -> None:
        self.record = record
        self.changed = threading.Condition()
        self.logs: dict[tuple[str, int], list[bytes]] = (
            collections.defaultdict(list)
        )
        self.producers: dict[tuple, dict] = {}
        self.members: dict[str, dict[str, float]] = {}
        self.held: dict[str, dict[tuple, str]] = {}
        self.generations: collections.Counter = collections.Counter()
        self._appending = collections.defaultdict(threading.Lock)
        self.server = serve(self.handle, port)
        self.address = f"127.0.0.1:{self.server.server_address[1]}"

    def write(self, topic: str, key: str, value: bytes) -> None:
        """Writes as the operator or a minion does."""
        content = bytes([len(key)]) + key.encode() + value
        with self.changed:
            self.logs[topic, 0].append(content)
            self.changed.notify_all()

    def newest(self, topic: str, part: int) -> dict[str, tuple[int, bytes]]:
        found: dict[str, tuple[int, bytes]] = {}
        for offset, content in enumerate(self.logs[topic, part]):
            size = content[0]
            key = content[1 : 1 + size].decode()
            found.pop(key, None)
            if content[1 + size :]:
                found[key] = (offset, content[1 + size :])
        return found

    def handle(self, method, path, query, headers, body):
        name = path.removeprefix("/api/log-")
        handler = getattr(self, f"_{name}", None)
        return handler(query, body) if handler else fields(404)

    def _append(self, query, body):
        place = query["topic"], int(query.get("part", 0))
        if place[0] in ("keyed.op", "keyed.servers"):
            return fields(403)
        contents = []
        if len(body) > REQUEST_BYTES:
            return self._refuse_size(place, len(body))
        while body:
            (length,) = struct.unpack_from(">I", body)
            contents.append(body[4 : 4 + length])
            body = body[4 + length :]
        most = max(map(len, contents), default=0)
        if most > RECORD_BYTES:
            return self._refuse_size(place, most)
        with self._appending[place]:
            time.sleep(0.004)
            with self.changed:
                return self._append_now(place, query, contents)

    def _refuse_size(self, place, size):
        """Appends nothing of a call that is beyond the store's limits."""
        self.record.add("too-large", *place, f"bytes={size}")
        return fields(400, reason="size")

    def _append_now(self, place, query, contents):
        rows = self.logs[place]
        if "producer" in query:
            epoch, seq = int(query["epoch"]), int(query["seq"])
            state = self.producers.setdefault(
                (place, query["producer"]),
                {"epoch": -1, "seq": 0, "last": collections.deque(maxlen=5)},
            )
            if epoch < state["epoch"]:
                return fields(409, reason="fenced", epoch=state["epoch"])
            if epoch == state["epoch"]:
                for known, given in state["last"]:
                    if known == seq:
                        return given
                if seq != state["seq"] + 1:
                    return fields(409, reason="seq", seq=state["seq"] + 1)
        if "at" in query and int(query["at"]) != len(rows):
            return fields(412, end_offset=len(rows))
        offset = len(rows)
        rows += contents
        given = fields(200, offset=offset, end_offset=len(rows))
        if "producer" in query:
            if epoch > state["epoch"]:
                state["last"].clear()
            state["epoch"], state["seq"] = epoch, seq
            state["last"].append((seq, given))
        self.changed.notify_all()
        return given

    def _read(self, query, body):
        place = query["topic"], int(query.get("part", 0))
        first = int(query["from"])
        deadline = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        with self.changed:
            while True:
                left_s = deadline - time.monotonic()
                if len(self.logs[place]) > first or left_s <= 0:
                    break
                self.changed.wait(left_s)
            rows, end = self.logs[place][first:], len(self.logs[place])
        data, size = [struct.pack(">QQ", end, 0)], 0
        for content in rows:
            size += len(content)
            if size > 1024 * int(query.get("max_kb", 1024)):
                break
            data.append(struct.pack(">I", len(content)) + content)
        return 200, b"".join(data)

    def _newest(self, query, body):
        place = query["topic"], int(query.get("part", 0))
        with self.changed:
            found = self.newest(*place)
            end = len(self.logs[place])
        keys = sorted(key for key in found if key > query.get("depends_on", ""))
        items = [
            {
                "key": key,
                "value": base64.b64encode(found[key][1]).decode(),
                "offset": found[key][0],
            }
            for key in keys[:500]
        ]
        return fields(
            200, items=items, has_more=len(keys) > 500, end_offset=end
        )

    def _join(self, query, body):
        asked = json.loads(body)
        group, member = asked["group"], asked["member"]
        now = time.monotonic()
        with self.changed:
            members = self.members.setdefault(group, {})
            members[member] = now + asked["ttl_ms"] / 1000
            self._deal(group, asked["topics"], now)
            rows = [
                [topic, part, 0]
                for (topic, part), held in self.held[group].items()
                if held == member
            ]
            return fields(
                200, generation=self.generations[group], parts=rows
            )

    def _deal(self, group, topics, now) -> None:
        members = self.members[group]
        for name in [name for name, until in members.items() if until < now]:
            del members[name]
        held = self.held.setdefault(group, {})
        before = dict(held)
        for topic in topics:
            for part in range(PARTS):
                if held.get((topic, part)) not in members:
                    counts = collections.Counter(held.values())
                    held[topic, part] = min(
                        members, key=lambda name: (counts[name], name)
                    )
        # Evenly: later partitions move first.
        while members:
            counts = collections.Counter({name: 0 for name in members})
            counts.update(held.values())
            least = min(members, key=lambda name: (counts[name], name))
            most = max(members, key=lambda name: (counts[name], name))
            if counts[most] - counts[least] < 2:
                break
            place = max(row for row, name in held.items() if name == most)
            held[place] = least
        if held != before:
            self.generations[group] += 1

    def _leave(self, query, body):
        asked = json.loads(body)
        with self.changed:
            self.members.get(asked["group"], {}).pop(asked["member"], None)
            self.generations[asked["group"]] += 1
        return fields(200)



class Gangs:
    """Which members of each gang's run are there, on all minions."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._members: dict[tuple, dict[str, float]] = {}
        self._ends: dict[tuple, str] = {}

    def join(self, task: str, attempt: int) -> None:
        with self._lock:
            key = task.rpartition(".")[0], attempt
            self._members.setdefault(key, {})[task] = time.monotonic()

    def end(self, task: str, attempt: int, how: str) -> None:
        with self._lock:
            key = task.rpartition(".")[0], attempt
            self._ends.setdefault(key, "done" if how == "done" else "broken")

    def find_end(self, task: str, run: dict) -> str:
        """Returns how a member's run ends now, "" for not yet."""
        with self._lock:
            key = task.rpartition(".")[0], run["attempt"]
            if key in self._ends:
                return self._ends[key]
            members = self._members.get(key, {})
        now = time.monotonic()
        if len(members) < run["gang"]:
            waited_s = now - run["began"]
            return "alone" if waited_s >= GANG_TIMEOUT_S else ""
        age_ms = (now - max(members.values())) * 1000
        return "done" if run["ms"] and age_ms >= run["ms"] else ""


GANGS = Gangs()


class Minion:
    """A minion: leases, fencing tokens, ends; tasks last as `spec` says.

    `spec` is JSON with `ms` (0 for a task that lasts), `cpu`, `tail` (of a
    task that serves, in milliseconds), `fills`, `gang` (its members) and
    `fail_ms` (of a task that can never be done, after how long it fails). A
    task that fills raises the tails beside it by `press` percent.
    """

    def __init__(self, record, store, name, labels=("a", "r1"), cpu=8000):
        self.record, self.store, self.name = record, store, name
        self.labels, self.cpu = list(labels), cpu
        self.lock = threading.RLock()
        self.changed = threading.Condition(self.lock)
        self.up = False
        self.load = 1.0  # Of the tasks that serve; their tails follow it.
        self.lives = 0
        self.port = 0
        self.last_beat = float("-inf")
        self.listed = False
        self.start()
        threading.Thread(target=self._run, daemon=True).start()

    def start(self, first_beat_s: float = 0.0) -> None:
        """Begins a life; it holds and knows nothing of before.

        Args:
            first_beat_s: When it writes its entry, after that; at most an
                interval of heartbeats.
        """
        with self.lock:
            self.born_ms = int(time.time() * 1000)
            self.began = time.monotonic()
            self.lives += 1
            self.seq = 0
            self.fence = 0
            self.lease_until = 0
            self.number = 0
            self.running: dict[str, dict] = {}
            self.highest: dict[str, int] = {}
            self.ends: list[list] = []
            self.server = serve(self.handle, self.port)
            self.port = self.server.server_address[1]
            self.up = True
        self.record.add("minion-up", self.name, f"life={self.lives}",
                        f"labels={','.join(self.labels)}")
        if first_beat_s:
            # Its entry stays as it was until then.
            self.last_beat = time.monotonic() + first_beat_s - HEARTBEAT_S
        else:
            self.beat()

    def crash(self) -> None:
        """Ends this life at once."""
        with self.lock:
            self.up = False
            lost = [f"{t}#{r['attempt']}" for t, r in self.running.items()]
            for task, run in self.running.items():
                if run["gang"]:
                    GANGS.end(task, run["attempt"], "lost")
            self.running.clear()
        self.record.add("minion-crash", self.name, f"life={self.lives}",
                        f"lost={' '.join(lost)}")
        close_hard(self.server)

    def clock_ms(self) -> int:
        return 1 + int((time.monotonic() - self.began) * 1000)

    def beat(self) -> None:
        """Writes its entry in the store."""
        with self.lock:
            if not self.up:
                return
            self.seq += 1
            self.last_beat = time.monotonic()
            self.listed = True
            entry = {
                "service": "pool", "address": f"127.0.0.1:{self.port}",
                "zone": "za", "version": "1", "slots": 8, "state": "ready",
                "cold_remaining_ms": 0, "seq": self.seq,
                "capacity": {"cpu": self.cpu, "mem_mb": MEM_MB, "gpu": 0},
                "labels": self.labels, "born": self.born_ms,
            }
        self.store.write(
            "keyed.servers", self.name, json.dumps(entry).encode()
        )

    def _run(self) -> None:
        while True:
            time.sleep(0.01)
            now = time.monotonic()
            with self.changed:
                if self.up:
                    self._advance()
                silent_s = now - self.last_beat
                if self.listed and silent_s > 3 * HEARTBEAT_S and not self.up:
                    self.listed = False
                    self.store.write("keyed.servers", self.name, b"")
            if self.up and silent_s >= HEARTBEAT_S:
                self.beat()

    def _advance(self) -> None:
        lapsed = self.clock_ms() > self.lease_until
        for task, run in list(self.running.items()):
            age_ms = (time.monotonic() - run["began"]) * 1000
            if lapsed:
                self._end(task, "lapsed")
            elif run["stop_at"] and time.monotonic() >= run["stop_at"]:
                self._end(task, "stopped")
            elif run["fail_ms"] and age_ms >= run["fail_ms"]:
                self._end(task, "failed")
            elif run["gang"]:
                how = GANGS.find_end(task, run)
                if how:
                    self._end(task, how)
            elif run["ms"] and age_ms >= run["ms"]:
                self._end(task, "done")

    def _end(self, task, how) -> None:
        run = self.running.pop(task)
        if run["gang"]:
            GANGS.end(task, run["attempt"], how)
        self.highest[task] = max(self.highest.get(task, 0), run["attempt"])
        self.number += 1
        self.ends.append([self.number, task, run["attempt"], how, ""])
        self.record.add("end", self.name, f"life={self.lives}",
                        f"{task}#{run['attempt']}", how)
        self.changed.notify_all()

    def handle(self, method, path, query, headers, body):
        if not self.up:
            return None
        if headers.get("Expected-Instance", self.name) != self.name:
            return fields(421)
        asked = json.loads(body)
        if path == "/api/hold":
            return self._hold(asked)
        with self.changed:
            if asked.get("fencing_token", 0) < self.fence:
                return self._refuse("fence")
            self.fence = asked.get("fencing_token", 0)
            if path == "/api/run-start":
                return self._start(asked)
            if path == "/api/run-stop":
                return self._stop(asked)
            run = self.running.get(asked["task"])
            if run is not None and run["attempt"] == asked["attempt"]:
                run["percent"] = asked["percent"]
            return fields(200, clock_ms=self.clock_ms())

    @staticmethod
    def count(run) -> int:
        """Returns what a task takes of the capacity."""
        return 0 if run.get("fills") else run["cpu"]

    def count_used(self) -> int:
        """Returns how much of the capacity is in use, in thousandths."""
        with self.lock:
            return sum(map(self.count, self.running.values()))

    def _refuse(self, reason):
        return fields(409, clock_ms=self.clock_ms(), reason=reason)

    def _renew(self, asked) -> None:
        if "deadline_ms" in asked:
            until = min(asked["deadline_ms"], self.clock_ms() + HOLD_MAX_MS)
            if self.clock_ms() > self.lease_until:
                self._advance()
            self.lease_until = max(self.lease_until, until)

    def _start(self, asked):
        task, attempt = asked["task"], asked["attempt"]
        run = self.running.get(task)
        if run is not None and run["attempt"] == attempt:
            self._renew(asked)
            return fields(200, clock_ms=self.clock_ms())
        spec = json.loads(asked["spec"])
        if run is not None or attempt <= self.highest.get(task, 0):
            self._renew(asked)
            return self._refuse("old")
        if self.count_used() + self.count(spec) > self.cpu:
            self._renew(asked)
            return self._refuse("room")
        if asked["deadline_ms"] <= self.clock_ms():
            return self._refuse("late")
        self._renew(asked)
        self.running[task] = {
            "attempt": attempt, "began": time.monotonic(),
            "ms": spec["ms"], "cpu": spec["cpu"], "stop_at": 0.0,
            "tail": spec.get("tail", 0), "fills": spec.get("fills", False),
            "gang": spec.get("gang", 0), "fail_ms": spec.get("fail_ms", 0),
            "press": spec.get("press", 0), "percent": 100,
        }
        if spec.get("gang"):
            GANGS.join(task, attempt)
        self.record.add("start", self.name, f"life={self.lives}",
                        f"{task}#{attempt}", f"labels={','.join(self.labels)}")
        return fields(200, clock_ms=self.clock_ms())

    def _stop(self, asked):
        task, attempt = asked["task"], asked["attempt"]
        run = self.running.get(task)
        if run is not None and run["attempt"] == attempt:
            run["stop_at"] = run["stop_at"] or time.monotonic() + STOP_MS / 1000
        else:
            self.highest[task] = max(self.highest.get(task, 0), attempt)
        return fields(200, clock_ms=self.clock_ms())

    def _count_press(self) -> float:
        """Returns by what factor tasks that fill raise the tails here."""
        return 1 + sum(
            run["press"] * run["percent"] / 10000
            for run in self.running.values()
        )

    def find_worst_tail(self) -> int:
        """Returns the highest tail of a serving task, 0 for none."""
        with self.lock:
            pressed = self.load * self._count_press()
            return max((round(run["tail"] * pressed)
                        for run in self.running.values()), default=0)

    def _hold(self, asked):
        deadline = time.monotonic() + min(2000, asked.get("wait_ms", 0)) / 1000
        life = self.lives
        with self.changed:
            if asked.get("fencing_token", 0) < self.fence:
                return self._refuse("fence")
            self.fence = asked.get("fencing_token", 0)
            self._renew(asked)
            seen = asked.get("last_seen", 0)
            self.ends = [row for row in self.ends if row[0] > seen]
            while not self.ends and self.up and life == self.lives:
                left_s = deadline - time.monotonic()
                if left_s <= 0:
                    break
                self.changed.wait(min(left_s, 0.05))
            if not self.up or life != self.lives:
                return None
            pressed = self.load * self._count_press()
            running = [
                [
                    task, run["attempt"], "", run["percent"],
                    round(run["tail"] * pressed) or run["cpu"],
                ]
                for task, run in self.running.items()
            ]
            return fields(
                200, clock_ms=self.clock_ms(), born=self.born_ms,
                running=running, finished=self.ends[:500],
            )


class Cloud:
    """The list of machines."""

    def __init__(self, minions: list[Minion]) -> None:
        self.minions = minions
        self.server = serve(self.handle)
        self.address = f"127.0.0.1:{self.server.server_address[1]}"

    def handle(self, method, path, query, headers, body):
        if path != "/api/machines":
            return fields(404)
        rows = [
            {
                "machine": f"m-{minion.name}", "pool": "pool",
                "state": "up" if minion.up else "down", "zone": "za",
                "labels": minion.labels, "id": minion.name,
                "capacity": {"cpu": minion.cpu, "mem_mb": MEM_MB, "gpu": 0},
            }
            for minion in self.minions
        ]
        return fields(200, machines=rows, next_token="")


def free_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class Node:
    """One process of the system, started as the deploy file says."""

    def __init__(self, record, name, store_address, cloud_address, folder):
        self.record, self.name = record, name
        front, ready, control = free_ports(3)
        self.front, self.ready = front, ready
        self.path = pathlib.Path(folder) / f"{name}.conf"
        self.log_path = pathlib.Path(folder) / f"{name}.log"
        lines = {
            "node_name": name, "role": "node", "machine_class": "edge",
            "serves": "edge", "ip": "127.0.0.1", "zone": "za", "region": "ra",
            "zones.za": "ra",
            "listen_addrs.frontend": f"127.0.0.1:{front}",
            "listen_addrs.readiness": f"127.0.0.1:{ready}",
            "listen_addrs.control": f"127.0.0.1:{control}",
            "bootstrap": "true", "limits.cpu_share": "0.537",
            "limits.cores": "2", "limits.memory_mb": "300",
            "limits.max_fds": "4100", "limits.link_mbps": "1000.0",
            "discovery": "platform", "entry": "vip", "heartbeat_ms": "1100",
            "fault_tolerance.machines": "2", "bounds.stable_window_ms": "3000",
            "bounds.ack_ms": "4000", "bounds.drain_ms": "2000",
            "bounds.grace_s": "6", "bounds.config_apply_ms": "2000",
            "bounds.hold_max_ms": str(HOLD_MAX_MS),
            "bounds.stop_grace_ms": "900", "bounds.gang_timeout_ms": "3000",
            "bounds.cancel_ms": "3000", "bounds.visible_ms": "3000",
            "bounds.early_ms": "250", "bounds.finish_s": "14",
            "bounds.status_s": "120", "bounds.notice_ms": "4500",
            "bounds.rate_ms": "100", "bounds.impact_ms": "4000",
            "commands": "invoke", "platform.address": store_address,
            "platform.form": "log", "platform.writes_per_s": "800",
            "platform.reads_per_s": "2000", "platform.parts": str(PARTS),
            "platform.append_ms": "4.0", "platform.record_bytes": "262144",
            "platform.request_bytes": "2097152", "platform.keep_s": "300",
            "platform.ttl_min_ms": "1000", "cloud.address": cloud_address,
            "cloud.rate_per_s": "60.0",
        }
        self.path.write_text(
            "".join(f"{key}={value}\n" for key, value in lines.items())
        )
        self.process = None
        self.start()

    def start(self) -> None:
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment |= {
            "POPLARSPINDLE_CONFIG": str(self.path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        self.process = subprocess.Popen(
            [sys.executable, "-m", "poplarspindle.platform"],
            cwd=ROOT, env=environment, stdout=open(self.log_path, "ab"),
            stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL,
        )
        self.record.add("node-start", self.name)

    def signal(self, number: int) -> None:
        self.record.add("node-signal", self.name, number)
        self.process.send_signal(number)

    def is_ready(self) -> bool:
        return call("GET", self.ready, "/api/readyz")[0] == 200

    def stop(self) -> None:
        if self.process.poll() is None:
            with contextlib.suppress(OSError):
                self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()


def call(method, port, path, body=None, timeout_s=3.0, host="desk.example"):
    """Makes one call; returns status (0 for no answer) and fields."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout_s)
    try:
        data = json.dumps(body).encode() if body is not None else None
        headers = {"Host": host, "Deadline-Ms": str(int(timeout_s * 1000))}
        if data is not None:
            headers["Content-Type"] = "application/json"
        connection.request(method, path, data, headers)
        answer = connection.getresponse()
        raw = answer.read()
        with contextlib.suppress(ValueError):
            return answer.status, json.loads(raw or b"{}")
        return answer.status, {}
    except (OSError, http.client.HTTPException):
        return 0, {}
    finally:
        connection.close()


def write_configuration(store, version: int, extra=(), attempts=3) -> None:
    """Writes the configuration: queue `/q/`, and further prefixes."""
    routes = [
        {
            "name": f"route{index}", "host": "desk.example",
            "path_prefix": prefix, "service": "pool", "priority": 0,
            "max_attempts": attempts, "slack_factor": 2.0,
            "target_completion_ms": 1000, "timeout_ms": 3000,
        }
        for index, prefix in enumerate(("/q/", *extra))
    ]
    value = {
        "version": version, "routes": routes,
        "services": [{"name": "pool", "enforce_limits": True}], "limits": {},
    }
    store.write("keyed.op", "config", json.dumps(value).encode())
    store.record.add("configuration", f"version={version}",
                     f"prefixes={','.join(('/q/', *extra))}")


class Fleet:
    """Store, minions, machines and nodes; ended with the `with` block."""

    def __init__(self, folder, minions: int, nodes: int = 3, labels=None,
                 cpu: int = 8000, through=None) -> None:
        # So that the nodes are ended when the script is.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory()
        self.store = Store(self.record)
        write_configuration(self.store, 1)
        labels = labels or (lambda index: ("a", "r1"))
        self.minions = [
            Minion(self.record, self.store, f"w{index}", labels(index), cpu)
            for index in range(minions)
        ]
        self.cloud = Cloud(self.minions)
        address = through(self) if through else self.store.address
        self.nodes = [
            Node(self.record, f"edge-za-{index + 1}",
                 address if isinstance(address, str) else address[index],
                 self.cloud.address, self.temporary.name)
            for index in range(nodes)
        ]

    def __enter__(self):
        return self

    def __exit__(self, *_) -> None:
        keep = os.environ.get("KEEP_LOGS")
        for node in self.nodes:
            node.stop()
            if keep:
                pathlib.Path(keep).mkdir(parents=True, exist_ok=True)
                (pathlib.Path(keep) / node.log_path.name).write_bytes(
                    node.log_path.read_bytes()
                )
        self.temporary.cleanup()

    def wait_ready(self, limit_s: float = 20.0) -> bool:
        """Waits until all nodes are ready and tasks can be started."""
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            if all(node.is_ready() for node in self.nodes):
                return True
            time.sleep(0.1)
        return False

    def submit(self, pipeline, ms, cpu, prefix="/q/", node=None, tries=5,
               **spec) -> str:
        """Hands a job in as a client does, with retries; returns its id."""
        job = f"{random.getrandbits(64):016x}"
        body = {"spec": json.dumps({"ms": ms, "cpu": cpu, **spec}),
                "pipeline": pipeline}
        for _ in range(tries):
            front = (node or random.choice(self.nodes)).front
            status, _ = call("POST", front, prefix + job, body)
            self.record.add("post", job, status)
            if status == 200:
                return job
            time.sleep(0.5)
        return ""

    def show(self, job, prefix="/q/", node=None) -> str:
        front = (node or random.choice(self.nodes)).front
        status, found = call("GET", front, prefix + job)
        state = found.get("state", "")
        self.record.add("get", job, status, state)
        return state if status == 200 else f"status-{status}"

    def find_runs(self, job) -> dict[str, Minion]:
        """Returns which minion runs each task of a job now."""
        found = {}
        for minion in self.minions:
            with minion.lock:
                for task in minion.running if minion.up else ():
                    if task.startswith(job):
                        found[task] = minion
        return found

    def wait_running(self, job, count, limit_s=15.0) -> bool:
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            if len(self.find_runs(job)) >= count:
                return True
            time.sleep(0.02)
        return False


class Proxy:
    """Carries connections to an address; open ones may go silent for good."""

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = host, int(port)
        self._lock = threading.Lock()
        self._silent: set[int] = set()
        self._open: dict[int, tuple[socket.socket, socket.socket]] = {}
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def silence(self) -> int:
        """Has all open connections carry nothing more; new ones work."""
        with self._lock:
            self._silent |= set(self._open)
            return len(self._open)

    def _accept(self) -> None:
        number = 0
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            number += 1
            try:
                far = socket.create_connection(self._target, 2.0)
            except OSError:
                near.close()
                continue
            for one in (near, far):
                one.settimeout(None)
                one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._lock:
                self._open[number] = near, far
            for source, sink in ((near, far), (far, near)):
                threading.Thread(
                    target=self._carry, args=(number, source, sink),
                    daemon=True,
                ).start()

    def _carry(self, number, source, sink) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                if number not in self._silent:
                    sink.sendall(data)
        with self._lock:
            found = self._open.pop(number, ())
        if number in self._silent:
            return  # The other end hears nothing of it.
        for one in found:
            with contextlib.suppress(OSError):
                one.shutdown(socket.SHUT_RDWR)

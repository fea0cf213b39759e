"""Stand-ins of the platform for the cases of review 3, standard library only.

A store (keyed topics, groups), minions with leases and fencing tokens, and the
list of machines, all over HTTP on loopback addresses and the real clock. They
speak what PROTOCOL.md says; where it is silent they behave like a sound peer.
What was sent, answered and run goes to a record with times.
"""

import base64
import collections
import http.client
import http.server
import json
import os
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HEARTBEAT_S = 1.5
HOLD_MAX_MS = 6000
STOP_GRACE_S = 0.2
GANG_TIMEOUT_S = 3.0
KEEP_APPENDS = 5


class Record:
    """The record of a case, with seconds since its begin."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def write(self, text):
        with self._lock:
            if not self._file.closed:
                self._file.write(f"{self.now():8.3f} {text}\n")
                self._file.flush()

    def close(self):
        with self._lock:
            self._file.close()


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_):
        pass

    def _serve(self):
        length = int(self.headers.get("Content-Length", 0))
        body = self.rfile.read(length)
        answer = self.server.answer(self.command, self.path, self.headers, body)
        if answer is None:  # No answer, and the connection ends.
            self.close_connection = True
            return
        status, data = answer
        if not isinstance(data, bytes):
            data = json.dumps(data).encode()
        try:
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)
        except OSError:
            self.close_connection = True

    do_GET = do_POST = do_DELETE = _serve


class Server(http.server.ThreadingHTTPServer):
    """An HTTP server that can be cut off like a process that is killed."""

    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 256

    def __init__(self, answer, port=0):
        self.answer = answer
        self._open = set()
        super().__init__(("127.0.0.1", port), _Handler)
        self.address = "127.0.0.1:%d" % self.server_address[1]
        threading.Thread(
            target=self.serve_forever, args=(0.02,), daemon=True
        ).start()

    def process_request(self, request, client_address):
        self._open.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        self._open.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request, client_address):
        pass

    def kill(self):
        """Ends as a killed process does: all its connections are reset."""
        self.shutdown()
        self.server_close()
        for request in list(self._open):
            try:
                request.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
                request.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Store:
    """The platform's store."""

    def __init__(self, record):
        self._record = record
        self._changed = threading.Condition()
        self._topics = collections.defaultdict(list)
        self._producers = {}
        self._groups = {}
        self.servers = []
        self.on_conditional_write = lambda caller: None
        self.address = self.listen("")

    def listen(self, caller):
        """Opens an address of its own for a caller, to know its calls."""
        server = Server(
            lambda method, path, headers, body: self._answer(
                caller, method, path, body
            )
        )
        self.servers.append(server)
        return server.address

    def write(self, topic, key, value):
        """Writes as the operator or a minion does; returns when it is stored."""
        with self._changed:
            self._topics[topic, 0].append((key, value))
            self._changed.notify_all()

    def read_newest(self, topic):
        with self._changed:
            return {
                key: value
                for key, value in dict(self._topics[topic, 0]).items()
                if value
            }

    def _answer(self, caller, method, path, body):
        path, _, query = path.partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        name = path.removeprefix("/api/log-")
        query["caller"] = caller
        handle = {
            "append": self._append,
            "read": self._read,
            "newest": self._newest,
            "join": self._join,
            "leave": self._leave,
        }.get(name)
        return handle(query, body) if handle else (404, {})

    def _append(self, query, body):
        key = query["topic"], int(query["part"])
        time.sleep(0.004)
        with self._changed:
            rows = self._topics[key]
            if "producer" in query:
                who = (*key, query["producer"])
                epoch, seq = int(query["epoch"]), int(query["seq"])
                seen, last, kept = self._producers.get(who, (-1, -1, {}))
                if epoch < seen:
                    return 409, {"reason": "fenced"}
                if epoch == seen:
                    if seq in kept:
                        return 200, kept[seq]
                    if seq != last + 1:
                        return 409, {"reason": "seq", "seq": last + 1}
            if "at" in query and int(query["at"]) != len(rows):
                return 412, {"end_offset": len(rows)}
            first = len(rows)
            rows += _split(body)
            fields = {"offset": first, "end_offset": len(rows)}
            if "producer" in query:
                if epoch > seen:
                    kept = {}
                kept[seq] = fields
                kept.pop(seq - KEEP_APPENDS, None)
                self._producers[who] = epoch, seq, kept
            self._changed.notify_all()
        if "at" in query:
            self._record.write(
                f"store: {query['caller']} writes under a condition, "
                f"epoch {query.get('epoch')}"
            )
            self.on_conditional_write(query["caller"])
        return 200, fields

    def _read(self, query, body):
        first = int(query["from"])
        deadline = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        with self._changed:
            rows = self._topics[query["topic"], int(query["part"])]
            while len(rows) <= first and time.monotonic() < deadline:
                self._changed.wait(deadline - time.monotonic())
            end, found = len(rows), rows[first:]
        most, size, parts = int(query.get("max_kb", 1024)) * 1024, 0, []
        for key, value in found:
            part = _encode(key, value)
            if parts and size + len(part) > most:
                break
            size += len(part)
            parts.append(part)
        return 200, struct.pack(">QQ", end, 0) + b"".join(parts)

    def _newest(self, query, body):
        with self._changed:
            rows = self._topics[query["topic"], int(query["part"])]
            newest = {}
            for offset, (key, value) in enumerate(rows):
                newest[key] = offset, value
            end = len(rows)
        after = query.get("depends_on", "")
        keys = sorted(k for k, row in newest.items() if row[1] and k > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(newest[key][1]).decode(),
                "offset": newest[key][0],
            }
            for key in keys[:500]
        ]
        return 200, {
            "items": items,
            "has_more": len(keys) > 500,
            "end_offset": end,
        }

    def _join(self, query, body):
        fields = json.loads(body)
        now = time.monotonic()
        with self._changed:
            group = self._groups.setdefault(
                fields["group"], {"members": {}, "generation": 1}
            )
            before = list(group["members"])
            group["members"][fields["member"]] = now + fields["ttl_ms"] / 1000
            group["members"] = {
                name: until
                for name, until in group["members"].items()
                if until > now
            }
            if list(group["members"]) != before:
                group["generation"] += 1
            mine = next(iter(group["members"])) == fields["member"]
            rows = [[topic, 0, 0] for topic in fields["topics"] if mine]
            return 200, {"generation": group["generation"], "parts": rows}

    def _leave(self, query, body):
        fields = json.loads(body)
        with self._changed:
            group = self._groups.get(fields["group"], {"members": {}})
            if group["members"].pop(fields["member"], None) is not None:
                group["generation"] += 1
        return 200, {}


def _split(body):
    rows = []
    while body:
        (length,) = struct.unpack_from(">I", body)
        content, body = body[4 : 4 + length], body[4 + length :]
        size = content[0]
        rows.append((content[1 : 1 + size].decode(), content[1 + size :]))
    return rows


def _encode(key, value):
    content = bytes([len(key.encode())]) + key.encode() + value
    return struct.pack(">I", len(content)) + content


class Minion:
    """One life of a machine: runs tasks under leases.

    `world.describe(job, step)` gives the need of a task and `world.run_s` how
    long a run takes, None for one that lasts.
    """

    def __init__(self, world, name, machine, rack, port=0, capacity=None):
        self.world, self.name, self.machine, self.rack = world, name, machine, rack
        self.capacity = capacity or {"cpu": 16000, "mem_mb": 64000, "gpu": 0}
        self.state = "ready"
        self.drain_until = None
        self.alive = True
        self.born = int(time.time() * 1000)
        self._began = time.monotonic()
        self._changed = threading.Condition()
        self._token = 0
        self._lease_ms = 0
        self._running = {}
        self._highest = {}
        self._ends = []
        self._number = 0
        self.server = Server(self._answer, port)
        self.port = self.server.server_address[1]
        self.address = self.server.address
        self._seq = 0
        self.heard_of = time.monotonic()
        self.beat()
        threading.Thread(target=self._tick, daemon=True).start()

    def beat(self):
        """Writes its entry, as it does at each heartbeat."""
        self._seq += 1
        fields = {
            "service": "pool",
            "address": self.address,
            "zone": self.world.zone,
            "version": "1",
            "slots": 8,
            "state": self.state,
            "cold_remaining_ms": 0,
            "seq": self._seq,
            "born": self.born,
            "capacity": self.capacity,
            "labels": ["a", self.rack],
        }
        if self.drain_until is not None:
            left = self.drain_until - time.monotonic()
            fields["drain_remaining_ms"] = max(0, int(left * 1000))
        self.world.store.write(
            "keyed.servers", self.name, json.dumps(fields).encode()
        )
        self.heard_of = time.monotonic()

    def clock_ms(self):
        return 1 + int((time.monotonic() - self._began) * 1000)

    def _tick(self):
        while self.alive:
            time.sleep(0.02)
            with self._changed:
                self._advance()
            if time.monotonic() - self.heard_of >= HEARTBEAT_S:
                self.beat()

    def _advance(self):
        now = time.monotonic()
        if self._running and self.clock_ms() > self._lease_ms:
            for key in list(self._running):
                self._end(key, "lapsed")
        for key, run in list(self._running.items()):
            if run["stop_at"] is not None and now >= run["stop_at"]:
                self._end(key, "stopped")
            elif run["gang"] is not None:
                how = run["gang"].find_end(self, key, run, now)
                if how:
                    self._end(key, how)
            elif run["takes_s"] is not None and now >= run["began"] + run["takes_s"]:
                self._end(key, run["how"])

    def _end(self, key, how):
        run = self._running.pop(key)
        if run["gang"] is not None:
            run["gang"].leave(key, how)
        self._number += 1
        self._highest[key[0]] = max(self._highest.get(key[0], 0), key[1])
        self._ends.append([self._number, *key, how, ""])
        self.world.note_end(self, key, how)
        self._changed.notify_all()

    def kill(self):
        """Crashes: everything that runs there is gone, nothing is sent."""
        with self._changed:
            self.alive = False
            for key, run in self._running.items():
                if run["gang"] is not None:
                    run["gang"].leave(key, "lost")
                self.world.note_end(self, key, "lost with the minion")
            self._running.clear()
        self.world.record.write(f"minion {self.name} at {self.address} is killed")
        self.server.kill()

    def list_running(self):
        with self._changed:
            return dict(self._running)

    def _answer(self, method, path, headers, body):
        if not self.alive:
            return None
        expected = headers.get("Expected-Instance")
        if expected is not None and expected != self.name:
            return 421, {}
        if method == "GET":
            return 200, {}
        fields = json.loads(body)
        with self._changed:
            self._advance()
            if not self.alive:
                return None
            if fields.get("fencing_token", 0) < self._token:
                return self._refuse("fence")
            self._token = fields.get("fencing_token", 0)
            handle = {
                "/api/run-start": self._start,
                "/api/run-stop": self._stop,
                "/api/pace": lambda _: (200, {"clock_ms": self.clock_ms()}),
                "/api/hold": self._hold,
            }.get(path)
            return handle(fields) if handle else (404, {})

    def _refuse(self, reason):
        return 409, {"clock_ms": self.clock_ms(), "reason": reason}

    def _grant(self, fields):
        if fields.get("deadline_ms"):
            until = min(fields["deadline_ms"], self.clock_ms() + HOLD_MAX_MS)
            self._lease_ms = max(self._lease_ms, until)

    def _start(self, fields):
        key = fields["task"], fields["attempt"]
        if key in self._running:
            self._grant(fields)
            return 200, {"clock_ms": self.clock_ms()}
        if fields["deadline_ms"] <= self.clock_ms():
            self.world.record.write(f"minion {self.name} refuses {key}: late")
            return self._refuse("late")
        self._grant(fields)
        if key[1] <= self._highest.get(key[0], 0):
            self.world.record.write(f"minion {self.name} refuses {key}: old")
            return self._refuse("old")
        need = self.world.describe(key[0])
        for name in ("cpu", "mem_mb", "gpu"):
            used = sum(run["need"].get(name, 0) for run in self._running.values())
            if used + need.get(name, 0) > self.capacity[name]:
                return self._refuse("room")
        takes_s, how = self.world.plan(key[0], key[1])
        self._running[key] = {
            "began": time.monotonic(),
            "takes_s": takes_s,
            "how": how,
            "stop_at": None,
            "need": need,
            "gang": self.world.find_gang(key) if need.get("gang") else None,
        }
        if self._running[key]["gang"] is not None:
            self._running[key]["gang"].join(key)
        self.world.note_start(self, key, fields)
        return 200, {"clock_ms": self.clock_ms()}

    def _stop(self, fields):
        key = fields["task"], fields["attempt"]
        self._highest[key[0]] = max(self._highest.get(key[0], 0), key[1])
        run = self._running.get(key)
        if run is not None and run["stop_at"] is None:
            run["stop_at"] = time.monotonic() + STOP_GRACE_S
        return 200, {"clock_ms": self.clock_ms()}

    def _hold(self, fields):
        self._grant(fields)
        seen = fields.get("last_seen", 0)
        self._ends = [row for row in self._ends if row[0] > seen]
        deadline = time.monotonic() + min(2000, fields.get("wait_ms", 0)) / 1000
        while self.alive and not self._ends and time.monotonic() < deadline:
            self._changed.wait(max(0.0, deadline - time.monotonic()))
        if not self.alive:
            return None
        now = time.monotonic()
        running = []
        for key, run in self._running.items():
            part = (now - run["began"]) / run["takes_s"] if run["takes_s"] else 1
            percent = 100 if run["takes_s"] is None else min(99, int(100 * part))
            running.append([*key, "", percent, run["need"].get("cpu", 0)])
        return 200, {
            "clock_ms": self.clock_ms(),
            "born": self.born,
            "running": running,
            "finished": self._ends[:500],
        }


class Gang:
    """One run of a gang: its members work only while all are present."""

    def __init__(self, size):
        self._size = size
        self._lock = threading.Lock()
        self._present = set()
        self._whole_at = None
        self._how = None

    def join(self, key):
        with self._lock:
            self._present.add(key)
            if len(self._present) == self._size and self._whole_at is None:
                self._whole_at = time.monotonic()

    def leave(self, key, how):
        with self._lock:
            self._present.discard(key)
            if self._how is None:
                self._how = "done" if how == "done" else "broken"

    def find_end(self, minion, key, run, now):
        """Returns how a member ends now, None while it goes on."""
        with self._lock:
            if self._how is not None:
                return self._how
            if self._whole_at is None:
                waited_s = now - run["began"]
                return "alone" if waited_s >= GANG_TIMEOUT_S else None
            if run["takes_s"] is None:
                return None
            return run["how"] if now >= self._whole_at + run["takes_s"] else None


class World:
    """A small deployment: store, machines, minions and nodes.

    Attributes:
        record: What happened.
        jobs: What clients handed in, by id.
        ends: `(task, attempt, minion, how)` of each run that ended.
        starts: `(seconds, task, attempt, minion)` of each run that began.
    """

    zone = "z1"

    def __init__(self, folder, minions=8, per_rack=4):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.scratch = tempfile.mkdtemp(prefix="review3-")
        self.jobs, self.ends, self.starts = {}, [], []
        self.plans = {}
        self._gangs = {}
        self._lock = threading.RLock()
        self.store = Store(self.record)
        self.cloud = Server(self._answer_cloud)
        self._names = 0
        self.minions = {}
        self.nodes = {}
        self.on_start = lambda minion, key: None
        for number in range(minions):
            machine = f"w-{number}"
            self.add_minion(machine, f"r-{number // per_rack}")
        threading.Thread(target=self._expire, daemon=True).start()

    # The platform.

    def add_minion(self, machine, rack, port=0):
        """Starts a new life of a machine, under a new id."""
        with self._lock:
            self._names += 1
            name = f"i-{self._names:04x}"
            minion = Minion(self, name, machine, rack, port)
            self.minions[machine] = minion
        self.record.write(f"minion {name} of {machine} is up at {minion.address}")
        return minion

    def crash(self, machine, down_s):
        """Crashes a minion; another life of its machine comes after `down_s`."""
        minion = self.minions[machine]
        minion.kill()

        def come_back():
            time.sleep(down_s)
            self.add_minion(machine, minion.rack, minion.port)

        threading.Thread(target=come_back, daemon=True).start()

    def _expire(self):
        """Removes entries after three heartbeats of silence."""
        heard = {}
        while True:
            time.sleep(0.1)
            now = time.monotonic()
            for name, value in self.store.read_newest("keyed.servers").items():
                if heard.get(name, (None, 0))[0] != value:
                    heard[name] = value, now
                elif now - heard[name][1] > 3 * HEARTBEAT_S:
                    self.store.write("keyed.servers", name, b"")
                    self.record.write(f"store: entry of {name} expires")

    def _answer_cloud(self, method, path, headers, body):
        with self._lock:
            rows = [
                {
                    "machine": machine,
                    "pool": "pool",
                    "state": "up" if minion.alive else "down",
                    "zone": self.zone,
                    "labels": ["a", minion.rack],
                    "capacity": minion.capacity,
                    "id": minion.name if minion.alive else "",
                }
                for machine, minion in self.minions.items()
            ]
        return 200, {"machines": rows, "next_token": ""}

    def configure(self, version, routes):
        """Writes a configuration; the store's answer acknowledges it."""
        rows = [
            {
                "name": f"q{index}",
                "host": "desk.example",
                "path_prefix": prefix,
                "service": "pool",
                "priority": 0,
                "max_attempts": 3,
                "slack_factor": 2.0,
                "target_completion_ms": 1000,
                "timeout_ms": 3000,
            }
            for index, prefix in enumerate(routes)
        ]
        fields = {
            "version": version,
            "routes": rows,
            "services": [{"name": "pool", "enforce_limits": True}],
            "limits": {"max_body_bytes": 262144, "max_header_bytes": 16384},
        }
        self.store.write("keyed.op", "config", json.dumps(fields).encode())
        self.record.write(f"operator: configuration {version}, routes {routes}")

    # What minions ask of a task.

    def describe(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job]["pipeline"][int(step)] if job in self.jobs else {}

    def find_gang(self, key):
        """Returns the run of the gang that a member belongs to."""
        name, attempt = key
        step = name.rpartition(".")[0]
        with self._lock:
            if (step, attempt) not in self._gangs:
                self._gangs[step, attempt] = Gang(self.describe(name)["count"])
            return self._gangs[step, attempt]

    def plan(self, task, attempt):
        """Returns how long a run takes and how it ends."""
        job, _, step, _ = task.split(".")
        row = self.jobs.get(job, {}).get("pipeline", [{}])[int(step)]
        if row.get("long_running"):
            return None, "done"
        return self.plans.get(job, row.get("estimated_ms", 1000) / 1000), "done"

    def note_start(self, minion, key, fields):
        with self._lock:
            self.starts.append((self.record.now(), *key, minion.name))
        self.record.write(
            f"minion {minion.name} starts {key[0]} attempt {key[1]}"
            f" token {fields['fencing_token']}"
        )
        self.on_start(minion, key)

    def note_end(self, minion, key, how):
        with self._lock:
            self.ends.append((*key, minion.name, how))
        self.record.write(f"minion {minion.name} ends {key[0]} attempt {key[1]}: {how}")

    # The nodes.

    def start_node(self, name, store_address=None, cpu=1.0):
        """Starts a node with the command of the deploy file."""
        if name not in self.nodes:
            self.nodes[name] = {"ports": (_free_port(), _free_port(), _free_port())}
        node = self.nodes[name]
        frontend, readiness, control = node["ports"]
        node["settings"] = os.path.join(self.scratch, f"{name}.conf")
        with open(node["settings"], "w", encoding="utf-8") as file:
            file.write(
                SETTINGS.format(
                    name=name,
                    zone=self.zone,
                    frontend=frontend,
                    readiness=readiness,
                    control=control,
                    store=store_address or self.store.address,
                    cloud=self.cloud.address,
                )
            )
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            command = re.search(rb'^run = "(.*)"', file.read(), re.M)[1].decode()
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "POPLARSPINDLE_CONFIG": node["settings"],
            "PYTHONPATH": os.path.join(ROOT, "target", "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        words = command.split()
        words[0] = sys.executable if words[0] == "python3" else words[0]
        node["log"] = open(os.path.join(self.scratch, f"{name}.log"), "ab")
        node["process"] = subprocess.Popen(
            words, cwd=ROOT, env=environment, stdout=node["log"], stderr=node["log"]
        )
        self.record.write(f"node {name} starts, frontend 127.0.0.1:{frontend}")

    def signal_node(self, name, number):
        self.record.write(f"node {name} gets {signal.Signals(number).name}")
        self.nodes[name]["process"].send_signal(number)

    def find_owner(self):
        """Returns the node whose log says last that it took over."""
        found = (0, None)
        for name in self.nodes:
            with open(os.path.join(self.scratch, f"{name}.log"), "rb") as file:
                for line in file:
                    if b'"took-over"' in line:
                        epoch = json.loads(line)["epoch"]
                        found = max(found, (epoch, name))
        return found[1]

    def wait_until_ready(self, timeout_s=20):
        deadline = time.monotonic() + timeout_s
        for name, node in self.nodes.items():
            while self.get_status(node["ports"][1], "/api/readyz") != 200:
                if time.monotonic() > deadline:
                    raise Unfit(f"{name} does not get ready")
                time.sleep(0.1)
        while self.find_owner() is None:
            if time.monotonic() > deadline:
                raise Unfit("no node owns the fleet")
            time.sleep(0.1)
        time.sleep(2.0)

    def get_status(self, port, path):
        try:
            connection = http.client.HTTPConnection("127.0.0.1", port, timeout=1)
            connection.request("GET", path)
            return connection.getresponse().status
        except OSError:
            return 0

    # Clients.

    def call(self, node, method, path, body=None, timeout_s=3.0):
        """Makes a client's call; returns status and fields, 0 for no answer."""
        port = self.nodes[node]["ports"][0]
        began = self.record.now()
        status, fields = 0, {}
        try:
            connection = http.client.HTTPConnection(
                "127.0.0.1", port, timeout=timeout_s
            )
            headers = {
                "Host": "desk.example",
                "Content-Type": "application/json",
                "Deadline-Ms": str(int(timeout_s * 1000)),
            }
            text = None if body is None else json.dumps(body)
            connection.request(method, path, text, headers)
            response = connection.getresponse()
            status, data = response.status, response.read()
            fields = json.loads(data) if data else {}
        except (OSError, ValueError, http.client.HTTPException) as error:
            fields = {"no-answer": repr(error)}
        self.record.write(
            f"client: {method} {path} at {node}, sent {began:.3f}:"
            f" {status or 'no answer'} {json.dumps(fields)}"
        )
        return status, fields

    def submit(self, node, job, pipeline, prefix="/q/", run_s=None, **times):
        """Hands a job in; returns the status, 0 for no answer."""
        body = {"spec": "x", "pipeline": pipeline, **times}
        self.jobs[job] = body
        if run_s is not None:
            self.plans[job] = run_s
        return self.call(node, "POST", prefix + job, body)[0]

    def get_state(self, node, job, prefix="/q/"):
        status, fields = self.call(node, "GET", prefix + job)
        return fields.get("state", str(status))

    def list_log_lines(self, *words):
        """Returns lines of the nodes' logs that contain all words."""
        found = []
        for name in self.nodes:
            path = os.path.join(self.scratch, f"{name}.log")
            with open(path, encoding="utf-8", errors="replace") as file:
                found += [line for line in file if all(w in line for w in words)]
        return found

    def stop(self):
        """Ends all processes and servers."""
        for node in self.nodes.values():
            process = node["process"]
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
            node["log"].close()
        for minion in self.minions.values():
            if minion.alive:
                minion.alive = False
                minion.server.kill()
        for server in self.store.servers:
            server.kill()
        self.cloud.kill()
        self.record.close()
        if os.environ.get("KEEP"):
            print("logs:", self.scratch)
            return
        for name in os.listdir(self.scratch):
            os.unlink(os.path.join(self.scratch, name))
        os.rmdir(self.scratch)


class Unfit(Exception):
    """The case could not be run."""


def _free_port():
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        return free.getsockname()[1]


def run(folder, case):
    """Runs a case; exits with 1 if the rule was broken, 0 if it held, else 2.

    Args:
        folder: Folder for its record.
        case: Function of the world and whether there is trouble; returns the
            sentences that tell how the rule was broken.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    world = None
    code = 2
    try:
        world = World(folder)
        world.record.write(f"trouble: {trouble}")
        broken = case(world, trouble)
        for line in broken:
            world.record.write(f"BROKEN {line}")
            print("BROKEN", line)
        code = 1 if broken else 0
    except Unfit as error:
        print("not run:", error)
    except Exception as error:  # The case itself is at fault.
        print("not run:", repr(error))
    finally:
        if world is not None:
            world.record.write(f"exit code {code}")
            world.stop()
    sys.exit(code)


SETTINGS = """node_name={name}
role=node
machine_class=edge
serves=edge
ip=127.0.0.1
zone={zone}
region=r
zones.{zone}=r
listen_addrs.frontend=127.0.0.1:{frontend}
listen_addrs.readiness=127.0.0.1:{readiness}
listen_addrs.control=127.0.0.1:{control}
internal_ports=7720,7735
seeds=
bootstrap=true
limits.cpu_share=0.537
limits.cores=2
limits.memory_mb=300
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1500
contracts=base,drain,config,cost,recover,sched,places,platform,advice,upkeep,sharing
fault_tolerance.machines=2
fault_tolerance.zones=1
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.stable_window_ms=3000
bounds.ack_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_s=6
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.rollback_slack_ms=250
bounds.skew_max_ms=5000
bounds.evacuate_ms=5000
bounds.recovery_s=12
bounds.hold_max_ms=6000
bounds.stop_grace_ms=900
bounds.gang_timeout_ms=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.remote_factor=1.5
bounds.checkpoint_interval_s=1
bounds.restore_ms=600
bounds.notice_ms=4500
bounds.fencing_enabled=true
bounds.lease_ms=3000
bounds.thaw_ms=300
bounds.rate_ms=100
bounds.impact_ms=4000
commands=invoke
platform.address={store}
platform.form=log
platform.writes_per_s=600
platform.reads_per_s=2000
platform.parts=8
platform.append_ms=4.0
platform.partition_mb_s=20.0
platform.read_mb_s=80.0
platform.record_bytes=262144
platform.request_bytes=2097152
platform.keep_s=300
platform.partition_mb=200
platform.ttl_min_ms=1000
cloud.address={cloud}
cloud.rate_per_s=60.0
cloud.duties=
cloud.duty_per_s=60.0
"""

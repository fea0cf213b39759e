"""Stand-ins of the platform's store and of minions, standard library only.

They follow PROTOCOL.md. Each runs as a process of its own:

    python3 standins.py store  '{"port": 0, ...}'
    python3 standins.py minion '{"id": "i-1", "port": 0, "store": "...", ...}'

The first line on standard output is the address in use.
"""

import base64
import http.client
import http.server
import json
import random
import struct
import sys
import threading
import time
import urllib.parse

PARTS = 8
KEEP_S = 20.0
FAIL_S = 0.05
APPEND_S = 0.004
PAGE = 500


class Handler(http.server.BaseHTTPRequestHandler):
    """Calls `server.app(method, path, query, headers, body)`."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def log_message(self, *_):
        pass

    def _serve(self):
        size = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(size) if size else b""
        target = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(target.query))
        status, answer = self.server.app(
            self.command, target.path, query, self.headers, body
        )
        if not isinstance(answer, bytes):
            answer = json.dumps(answer).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(answer)))
        self.end_headers()
        self.wfile.write(answer)
        self.wfile.flush()

    do_GET = do_POST = do_DELETE = _serve


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, *_):
        pass  # A peer broke the connection off.


def serve(app, port):
    server = Server(("127.0.0.1", port), Handler)
    server.app = app
    print("127.0.0.1:%d" % server.server_address[1], flush=True)
    server.serve_forever()


class Part:
    """One partition: records with their times, and producers."""

    def __init__(self):
        self.busy = threading.Lock()
        self.first = 0
        self.rows = []  # (time, content)
        self.newest = {}  # key -> (offset, value)
        self.producers = {}  # name -> [epoch, last seq, [(seq, answer)]]

    @property
    def end(self):
        return self.first + len(self.rows)


class Store:
    def __init__(self, options):
        self.options = options
        self.changed = threading.Condition()
        self.parts = {}
        self.beats = {}
        self.members = {}  # member -> time at which it is out
        self.acked = {}
        self.generation = 0
        self.holders = {}
        self.lost_until, self.lost_share, self.lost_late = 0.0, 0.0, False
        threading.Thread(target=self._expire, daemon=True).start()

    def part(self, topic, number):
        with self.changed:
            return self.parts.setdefault((topic, int(number)), Part())

    def __call__(self, method, path, query, headers, body):
        name = path.rsplit("/", 1)[-1].replace("-", "_")
        handle = getattr(self, "do_" + name, None)
        if handle is None:
            return 404, {}
        if (
            name == "log_append"
            and time.monotonic() < self.lost_until
            and random.random() < self.lost_share
        ):
            # Done, or done 1 to 6 s later, and not answered.
            delay_s = random.uniform(1, 6) if self.lost_late else 0
            threading.Timer(delay_s, handle, (query, body)).start()
            time.sleep(7.0)
            raise ConnectionError("answer lost")
        return handle(query, body)

    def do_trouble(self, query, body):
        self.lost_until = time.monotonic() + float(query["lost_s"])
        self.lost_share = float(query["share"])
        self.lost_late = query.get("late") == "1"
        return 200, {}

    # What stands for operators and minions, who write in their own way.

    def do_put(self, query, body):
        self._put(query["topic"], query["key"], body)
        if query["topic"] == "keyed.servers":
            with self.changed:
                self.beats[query["key"]] = time.monotonic()
        return 200, {}

    def do_beat(self, query, body):
        with self.changed:
            known = query["key"] in self.beats
            if known:
                self.beats[query["key"]] = time.monotonic()
        return (200 if known else 410), {}

    def _put(self, topic, key, value):
        name = key.encode()
        self._append(self.part(topic, 0), topic, [bytes([len(name)]) + name + value])

    def _expire(self):
        silence_s = 3 * self.options.get("heartbeat_ms", 1500) / 1000
        while True:
            time.sleep(0.2)
            now = time.monotonic()
            with self.changed:
                gone = [k for k, at in self.beats.items() if now - at > silence_s]
                for key in gone:
                    del self.beats[key]
                for part in self.parts.values():
                    cut = 0
                    while cut < len(part.rows) and now - part.rows[cut][0] > KEEP_S:
                        cut += 1
                    part.rows = part.rows[cut:]
                    part.first += cut
            for key in gone:
                self._put("keyed.servers", key, b"")

    def _append(self, part, topic, contents):
        with self.changed:
            offset = part.end
            now = time.monotonic()
            for content in contents:
                if topic.startswith("keyed."):
                    size = content[0]
                    key, value = content[1 : 1 + size].decode(), content[1 + size :]
                    if value:
                        part.newest[key] = (part.end, value)
                    else:
                        part.newest.pop(key, None)
                part.rows.append((now, content))
            self.changed.notify_all()
            return {"offset": offset, "end_offset": part.end}

    def do_log_append(self, query, body):
        topic = query["topic"]
        if topic in ("keyed.op", "keyed.servers"):
            return 403, {}
        part = self.part(topic, query["part"])
        contents, at = [], 0
        while at < len(body):
            (length,) = struct.unpack_from(">I", body, at)
            contents.append(body[at + 4 : at + 4 + length])
            at += 4 + length
        with part.busy:
            time.sleep(APPEND_S)
            if "at" in query and int(query["at"]) != part.end:
                return 412, {"end_offset": part.end}
            if "producer" not in query:
                return 200, self._append(part, topic, contents)
            epoch, seq = int(query["epoch"]), int(query["seq"])
            state = part.producers.get(query["producer"])
            if state and epoch < state[0]:
                return 409, {"reason": "fenced"}
            if not state or epoch > state[0]:
                state = part.producers[query["producer"]] = [epoch, None, []]
            elif not body:
                return 200, {"offset": part.end, "end_offset": part.end}
            else:
                for number, answer in state[2]:
                    if number == seq:
                        return 200, answer
                if state[1] is not None and seq != state[1] + 1:
                    return 409, {"reason": "seq", "seq": state[1] + 1}
            answer = self._append(part, topic, contents)
            state[1] = seq
            state[2] = [*state[2], (seq, answer)][-5:]
            return 200, answer

    def do_log_read(self, query, body):
        part = self.part(query["topic"], query["part"])
        start = int(query["from"])
        until = time.monotonic() + min(30000, int(query.get("wait_ms", 0))) / 1000
        most = int(query.get("max_kb", 1024)) * 1024
        with self.changed:
            while True:
                if start < part.first:
                    return 410, {"first": part.first}
                left_s = until - time.monotonic()
                if part.end > start or left_s <= 0:
                    break
                self.changed.wait(left_s)
            chunks, size = [struct.pack(">QQ", part.end, part.first)], 0
            for _, content in part.rows[start - part.first :]:
                if size and size + len(content) > most:
                    break
                size += len(content)
                chunks.append(struct.pack(">I", len(content)) + content)
        return 200, b"".join(chunks)

    def do_log_newest(self, query, body):
        part = self.part(query["topic"], query["part"])
        after = query.get("depends_on", "")
        with self.changed:
            keys = sorted(key for key in part.newest if key > after)
            items = [
                {
                    "key": key,
                    "value": base64.b64encode(part.newest[key][1]).decode(),
                    "offset": part.newest[key][0],
                }
                for key in keys[:PAGE]
            ]
            return 200, {
                "items": items,
                "has_more": len(keys) > PAGE,
                "end_offset": part.end,
            }

    def do_log_trim(self, query, body):
        return 200, {}

    def _deal(self):
        """Drops silent members; gives parts over whose holder has let go."""
        now = time.monotonic()
        for member in [m for m, until in self.members.items() if until < now]:
            del self.members[member]
            self.generation += 1
        members = sorted(self.members)
        for row in self.holders:
            target = members[row[1] % len(members)] if members else None
            holder = self.holders[row]
            if holder != target and (
                holder not in self.members
                or self.acked.get(holder, 0) >= self.generation
            ):
                self.holders[row] = target
        return members

    def do_log_join(self, query, body):
        fields = json.loads(body)
        member = fields["member"]
        with self.changed:
            self._deal()
            if member not in self.members:
                self.generation += 1
            ttl = max(1000, fields["ttl_ms"]) / 1000
            self.members[member] = time.monotonic() + ttl
            self.acked[member] = fields.get("generation", 0)
            for topic in fields["topics"]:
                for number in range(PARTS):
                    self.holders.setdefault((topic, number), None)
            members = self._deal()
            rows = [
                [topic, number, 0]
                for (topic, number), holder in self.holders.items()
                if holder == member and members[number % len(members)] == member
            ]
            return 200, {"generation": self.generation, "parts": rows}

    def do_log_leave(self, query, body):
        with self.changed:
            if self.members.pop(json.loads(body)["member"], None):
                self.generation += 1
            self._deal()
        return 200, {}


class Minion:
    """A sound minion; `spec` of a job is JSON that says how its tasks behave.

    `ms`: how long a task works. `gang`: how many tasks work only together; the
    minions hear of each other's runs by the ledger that they share. Options:
    `use`: the tail or the processors that a run reports.
    `failing`: it fails whatever it starts (a disruption of a test).
    """

    def __init__(self, options):
        self.options = options
        self.id = options["id"]
        self.began = time.monotonic()
        self.born = int(time.time() * 1000)
        self.lock = threading.Condition()
        self.fence = 0
        self.lease_ms = 0
        self.leased = False
        self.runs = {}  # (task, attempt) -> dict
        self.over = {}  # task -> highest attempt that ended or was stopped
        self.ends = []
        self.number = 0
        self.ledger = open(options["ledger"], "a", buffering=1)
        self.cut_until = 0.0
        self.late_until, self.late_share = 0.0, 0.0
        threading.Thread(target=self._work, daemon=True).start()

    def note(self, event, **fields):
        row = {"t": round(time.time(), 3), "minion": self.id, "event": event}
        self.ledger.write(json.dumps(row | fields) + "\n")

    def clock_ms(self):
        return 1000 + int((time.monotonic() - self.began) * 1000)

    def describe(self):
        o = self.options
        return {
            "service": o["service"],
            "address": o.get("listed", o["address"]),
            "zone": o["zone"],
            "version": "1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "seq": 1,
            "capacity": o["capacity"],
            "labels": ["kind-a", o["rack"]],
            "born": self.born,
        }

    def register(self):
        """Writes the entry at once, then beats."""
        while True:
            try:
                self._register()
            except OSError:
                time.sleep(0.2)

    def _register(self):
        host, _, port = self.options["store"].rpartition(":")
        call = http.client.HTTPConnection(host, int(port), timeout=2)
        while True:
            key = urllib.parse.quote(self.id)
            call.request(
                "POST",
                f"/standin/put?topic=keyed.servers&key={key}",
                json.dumps(self.describe()),
            )
            call.getresponse().read()
            known = True
            while known:
                time.sleep(self.options.get("heartbeat_ms", 1500) / 1000)
                while time.monotonic() < self.cut_until:
                    time.sleep(0.05)
                call.request("POST", f"/standin/beat?key={key}", "")
                answer = call.getresponse()
                answer.read()
                known = answer.status == 200

    def _end(self, key, how):
        run = self.runs.pop(key)
        self.over[key[0]] = max(self.over.get(key[0], 0), key[1])
        self.number += 1
        self.ends.append([self.number, key[0], key[1], how, ""])
        self.note("end", task=key[0], attempt=key[1], how=how)
        self.lock.notify_all()
        return run

    def _work(self):
        while True:
            time.sleep(0.01)
            with self.lock:
                now = time.monotonic()
                if self.leased and self.clock_ms() >= self.lease_ms:
                    self.leased = False
                    self.note("lease-over")
                    for key in list(self.runs):
                        self._end(key, "lapsed")
                due = [k for k, run in self.runs.items() if now >= run["ends_at"]]
                if due and self.options.get("failing"):
                    due = list(self.runs)  # Its fault strikes all at once.
                for key in due:
                    self._end(key, self.runs[key]["how"])
                for key, run in list(self.runs.items()):
                    if run["gang"] and run["how"] != "failed":
                        self._work_in_gang(key, run, now)

    def _work_in_gang(self, key, run, now):
        """Begins once all members are there; breaks once one has ended."""
        unit = key[0].rpartition(".")[0], key[1]
        present, over = self._read_gang(unit)
        if over - {"done"}:
            self._end(key, "broken")
        elif run["ends_at"] == float("inf") and len(present) >= run["gang"]:
            run["ends_at"] = now + run["work_s"]
        elif run["ends_at"] == float("inf") and now - run["began"] > 3.0:
            self._end(key, "alone")

    def _read_gang(self, unit):
        present, over = set(), set()
        with open(self.options["ledger"]) as ledger:
            for line in ledger:
                try:
                    row = json.loads(line)
                except ValueError:
                    continue
                if (row.get("task", "").rpartition(".")[0], row.get("attempt")) != unit:
                    continue
                if row["event"] == "start":
                    present.add(row["task"])
                elif row["event"] == "end":
                    over.add(row["how"])
        return present, over

    def _lease(self, until_ms):
        longest = self.clock_ms() + self.options.get("hold_max_ms", 6000)
        self.lease_ms = max(self.lease_ms, min(until_ms, longest))
        self.leased = self.leased or self.lease_ms > self.clock_ms()

    def __call__(self, method, path, query, headers, body):
        if path == "/standin/trouble":
            now = time.monotonic()
            self.cut_until = max(self.cut_until, now + float(query.get("cut_s", 0)))
            if "late_s" in query:
                self.late_until = now + float(query["late_s"])
                self.late_share = float(query["share"])
            return 200, {}
        if self._is_cut():
            raise ConnectionError("cut off")
        if headers.get("Expected-Instance", self.id) != self.id:
            return 421, {}
        if path == "/healthz":
            return 200, {}
        handle = getattr(self, "do_" + path.rsplit("/", 1)[-1].replace("-", "_"), None)
        if handle is None:
            return 404, {}
        fields = json.loads(body)
        if (
            time.monotonic() < self.late_until
            and random.random() < self.late_share
        ):
            # No answer now; carried out 2 to 12 s later.
            delay_s = random.uniform(2, 12)
            threading.Timer(delay_s, self._carry_out, (handle, fields)).start()
            time.sleep(3.0)
            raise ConnectionError("no answer")
        status, answer = self._carry_out(handle, fields)
        if self._is_cut():
            raise ConnectionError("cut off")
        return status, answer

    def _is_cut(self):
        """Waits for the end of a cut; what came meanwhile is lost."""
        cut = time.monotonic() < self.cut_until
        while time.monotonic() < self.cut_until:
            time.sleep(0.05)
        return cut

    def _carry_out(self, handle, fields):
        with self.lock:
            token = fields.get("fencing_token", 0)
            if token < self.fence:
                return self._refuse("fence")
            self.fence = token
            return handle(fields)

    def _refuse(self, reason):
        return 409, {"clock_ms": self.clock_ms(), "born": self.born, "reason": reason}

    def _say(self, **fields):
        return 200, {"clock_ms": self.clock_ms(), "born": self.born} | fields

    def do_run_start(self, fields):
        key = fields["task"], fields["attempt"]
        if key in self.runs:
            self._lease(fields["deadline_ms"])
            return self._say()
        if fields["deadline_ms"] <= self.clock_ms():
            return self._refuse("late")
        self._lease(fields["deadline_ms"])
        if key[1] <= self.over.get(key[0], 0):
            return self._refuse("old")
        if len(self.runs) >= self.options.get("room", 8):
            return self._refuse("room")
        spec = json.loads(fields["spec"])
        failing = self.options.get("failing", False)
        work_s = FAIL_S if failing else spec["ms"] / 1000
        gang = spec.get("gang", 0)
        waits = gang and not failing
        self.runs[key] = {
            "ends_at": float("inf") if waits else time.monotonic() + work_s,
            "work_s": work_s,
            "gang": gang,
            "use": spec.get("use", 1000),
            "began": time.monotonic(),
            "how": "failed" if failing else "done",
        }
        self.note("start", task=key[0], attempt=key[1], token=fields["fencing_token"])
        return self._say()

    def do_run_stop(self, fields):
        key = fields["task"], fields["attempt"]
        self.note("stop", task=key[0], attempt=key[1])
        self.over[key[0]] = max(self.over.get(key[0], 0), key[1])
        if key in self.runs:
            self._end(key, "stopped")
        return self._say()

    def do_pace(self, fields):
        return self._say()

    def do_hold(self, fields):
        if "deadline_ms" in fields:
            self._lease(fields["deadline_ms"])
        seen = fields.get("last_seen", 0)
        for end in self.ends:
            if end[0] <= seen:
                self.note("taken", task=end[1], attempt=end[2], how=end[3])
        self.ends = [end for end in self.ends if end[0] > seen]
        until = time.monotonic() + min(2000, fields.get("wait_ms", 0)) / 1000
        while not self.ends and (left_s := until - time.monotonic()) > 0:
            self.lock.wait(left_s)
        rows = [[*key, "", 100, run["use"]] for key, run in self.runs.items()]
        return self._say(running=rows, finished=self.ends[:500])


def main():
    kind, options = sys.argv[1], json.loads(sys.argv[2])
    if kind == "store":
        serve(Store(options), options.get("port", 0))
    minion = Minion(options)
    threading.Thread(target=minion.register, daemon=True).start()
    serve(minion, int(options["address"].rpartition(":")[2]))


if __name__ == "__main__":
    main()

"""Starts a small deployment on loopback addresses, and asks it as clients do."""

import http.client
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
STANDINS = pathlib.Path(__file__).with_name("standins.py")
ZONES = ("ostland-see", "ostland-donau", "ostland-huegel")
HOST, PREFIX, SERVICE = "desk.example", "/jobs/", "erntedesk"

# DEPLOY.md, "Settings of a process", with the bounds of Frostlese's sheet.
SETTINGS = """\
role=node
machine_class=edge
serves=edge
region=ostland
bootstrap=true
in_tolerance=false
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
bounds.cold_overage=1.5
bounds.cold_slack=5
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
bounds.migrate_s=1.5
bounds.maintenance_s=2
bounds.fencing_enabled=true
bounds.lease_ms=3000
bounds.thaw_ms=300
bounds.rate_ms=100
bounds.impact_ms=4000
commands=invoke
platform.form=log
platform.writes_per_s=600
platform.reads_per_s=2000
platform.parts=8
platform.append_ms=4.0
platform.partition_mb_s=20.0
platform.read_mb_s=80.0
platform.record_bytes=262144
platform.request_bytes=2097152
platform.keep_s=20
platform.partition_mb=200
platform.ttl_min_ms=1000
cloud.rate_per_s=60.0
cloud.duties=
cloud.duty_per_s=60.0
"""


def find_ports(count):
    """Returns free ports."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class CannotRun(Exception):
    """The case could not run."""


class Deployment:
    """A store, minions and nodes, each a process; and a record of all.

    Args:
        folder: Folder of the case.
        minions: Number of minions.
        nodes: Number of nodes.
        max_attempts: Of the one queue.
        proxied: What stands behind proxies: `store`, `minions`.
        minion_options: Further options of each minion.
    """

    def __init__(self, folder, minions=8, nodes=3, max_attempts=3, proxied=(),
                 **minion_options):
        self.folder = pathlib.Path(folder)
        self.temp = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
        self.lines = []
        self.began = time.time()
        self.processes = []
        self.minions = {}
        self.nodes = []
        self.max_attempts = max_attempts
        self.minion_options = minion_options
        self.lives = 0
        self.sizes = minions, nodes
        self.proxied = proxied
        self.failing = set()  # Indexes of minions that fail all they start.
        self.configuration = self._configuration()

    def start(self):
        """Starts all processes and waits until the nodes are ready."""
        minions, nodes = self.sizes
        self.store = self._start_standin("store", {"heartbeat_ms": 1500})
        self.proxies = []
        self.write_configuration(self.configuration)
        ports = find_ports(minions + 2 * nodes)
        self.minion_addresses = [f"127.0.0.1:{port}" for port in ports[:minions]]
        self.listed_addresses = [
            self._start_proxy(address) if "minions" in self.proxied else address
            for address in self.minion_addresses
        ]
        for index in range(minions):
            self.start_minion(index)
        for index in range(nodes):
            self._start_node(index, ports[minions + 2 * index :][:2])
        deadline = time.time() + 20
        while not all(map(self._is_ready, self.nodes)):
            if time.time() > deadline:
                raise CannotRun("the nodes did not get ready")
            time.sleep(0.1)
        time.sleep(3.0)  # The owner has looked at all minions.
        self.note("ready", nodes=len(self.nodes), minions=len(self.minions))

    def _configuration(self):
        route = {
            "name": "wake-call",
            "host": HOST,
            "path_prefix": PREFIX,
            "service": SERVICE,
            "priority": 0,
            "max_attempts": self.max_attempts,
            "slack_factor": 2.0,
            "target_completion_ms": 1000,
            "timeout_ms": 3000,
        }
        return {
            "version": 3,
            "routes": [route],
            "services": [{"name": SERVICE, "enforce_limits": True}],
            "limits": {"max_body_bytes": 262144, "max_header_bytes": 16384},
        }

    def write_configuration(self, configuration):
        """Writes a configuration as the operator does."""
        self._put("keyed.op", "config", json.dumps(configuration))
        self.note("configuration", version=configuration["version"])

    # Processes.

    def _start_proxy(self, address):
        process = self._start_standin("", {"to": address}, STANDINS.with_name("proxy.py"))
        self.proxies.append(process)
        return process.address

    def hush(self):
        """Has all connections that are open through proxies turn silent."""
        for proxy in self.proxies:
            proxy.send_signal(signal.SIGUSR1)
        self.note("silent", proxies=len(self.proxies))

    def _start_standin(self, kind, options, program=STANDINS):
        process = subprocess.Popen(
            [sys.executable, str(program), *filter(None, [kind]), json.dumps(options)],
            stdout=subprocess.PIPE,
            text=True,
            cwd=self.temp,
        )
        self.processes.append(process)
        process.address = process.stdout.readline().strip()
        if not process.address:
            raise CannotRun(f"the stand-in of a {kind} did not start")
        return process

    def start_minion(self, index, name=""):
        """Starts a minion's process: another life has another id, or its own."""
        self.lives += 1
        name = name or f"i-{index}-{self.lives}"
        options = {
            "id": name,
            "service": SERVICE,
            "zone": ZONES[index % len(ZONES)],
            "rack": f"r{index % 3}",
            "capacity": {"cpu": 32000, "mem_mb": 125000, "gpu": 0},
            "room": 64,
            "address": self.minion_addresses[index],
            "listed": self.listed_addresses[index],
            "store": self.store.address,
            "ledger": str(self.temp / "ledger.txt"),
            "failing": index in self.failing,
            **self.minion_options,
        }
        process = self._start_standin("minion", options)
        process.index = index
        self.minions[name] = process
        self.note("minion-started", minion=name)
        return name

    def _start_node(self, index, ports):
        settings = self.temp / f"node-{index}.conf"
        store = self.store.address
        if "store" in self.proxied:
            store = self._start_proxy(store)
        settings.write_text(
            f"node_name=edge-{index}\nzone={ZONES[index % 3]}\nip=127.0.0.1\n"
            + SETTINGS
            + f"listen_addrs.frontend=127.0.0.1:{ports[0]}\n"
            + f"listen_addrs.readiness=127.0.0.1:{ports[1]}\n"
            + f"platform.address={store}\n"
            + f"cloud.address={store}\n"
        )
        log = open(self.temp / f"node-{index}.log", "ab")
        process = subprocess.Popen(
            ["python3", "-m", "poplarspindle.platform"],
            cwd=ROOT,
            stdout=log,
            stderr=log,
            env={
                "PATH": os.environ["PATH"],
                "HOME": str(self.temp),
                "LANG": os.environ.get("LANG", "C.UTF-8"),
                "POPLARSPINDLE_CONFIG": str(settings),
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
            },
        )
        process.frontend, process.readiness = (
            f"127.0.0.1:{port}" for port in ports
        )
        process.name = f"edge-{index}"
        process.index, process.ports = index, ports
        self.processes.append(process)
        if index < len(self.nodes):
            self.nodes[index] = process
        else:
            self.nodes.append(process)

    def restart_node(self, index):
        """Kills a node's process and starts it again."""
        node = self.nodes[index]
        node.kill()
        node.wait()
        self.note("node-killed", node=index)
        time.sleep(0.3)
        self._start_node(index, node.ports)

    def _is_ready(self, node):
        try:
            return self._call(node.readiness, "GET", "/api/readyz", 1.0)[0] == 200
        except OSError:
            return False

    def kill_minion(self, name, number=signal.SIGKILL):
        """Sends a minion's process a signal."""
        process = self.minions[name]
        process.send_signal(number)
        if number == signal.SIGKILL:
            process.wait()
        self.note("signal", minion=name, signal=signal.Signals(number).name)
        return process.index

    def close(self, verdict):
        """Ends all processes and writes the record."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
            if process.stdout:
                process.stdout.close()
        rows = self.lines + self.read_ledger()
        rows.sort(key=lambda row: row["t"])
        with open(self.folder / "record.txt", "w") as record:
            for row in rows:
                row = {"t": round(row["t"] - self.began, 3)} | {
                    key: value for key, value in row.items() if key != "t"
                }
                record.write(json.dumps(row) + "\n")
            record.write(verdict + "\n")
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.temp, keep, dirs_exist_ok=True)
        shutil.rmtree(self.temp, ignore_errors=True)

    # What clients, minions and the platform see.

    def note(self, event, **fields):
        """Adds a line to the record."""
        self.lines.append({"t": round(time.time(), 3), "event": event} | fields)

    def read_ledger(self):
        """Returns what the minions have noted."""
        path = self.temp / "ledger.txt"
        if not path.exists():
            return []
        rows = []
        for line in path.read_text().splitlines():
            try:
                rows.append(json.loads(line))
            except ValueError:
                pass  # The last line of a killed process.
        return rows

    def _put(self, topic, key, value):
        query = urllib.parse.urlencode({"topic": topic, "key": key})
        status, _ = self._call(
            self.store.address, "POST", f"/standin/put?{query}", 2.0, value
        )
        if status != 200:
            raise CannotRun("the store did not take a record")

    @staticmethod
    def _call(address, method, path, timeout_s, body=None, headers=()):
        host, _, port = address.rpartition(":")
        call = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
        try:
            call.request(method, path, body, dict(headers))
            answer = call.getresponse()
            return answer.status, answer.read()
        finally:
            call.close()

    def ask(self, method, job, body=None, node=0, prefix=PREFIX):
        """Makes one call of a client; returns its status and fields."""
        headers = {"Host": HOST, "Deadline-Ms": "3000"}
        if body is not None:
            headers["Content-Type"] = "application/json"
            body = json.dumps(body)
        try:
            status, answer = self._call(
                self.nodes[node % len(self.nodes)].frontend,
                method,
                prefix + job,
                3.5,
                body,
                headers.items(),
            )
            fields = json.loads(answer or b"{}")
        except (OSError, ValueError, http.client.HTTPException) as error:
            status, fields = 0, {"error": repr(error)}
        self.note(
            "client", call=method, path=prefix + job, node=node, status=status,
            answer=fields,
        )
        return status, fields

    def submit(self, job, spec, steps):
        """Hands a job in, again at another node after no clear answer."""
        body = {"spec": json.dumps(spec), "pipeline": steps}
        for attempt in range(5):
            status, _ = self.ask("POST", job, body, attempt)
            if status == 200:
                return True
            time.sleep(0.5)
        return False

    def show(self, job):
        """Returns a job's state, empty where no node tells it."""
        for node in range(len(self.nodes)):
            status, fields = self.ask("GET", job, None, node)
            if status == 200:
                return fields.get("state", "")
        return ""

    def find_run(self, job):
        """Returns the minion that runs a task of a job, and since when."""
        found = {}
        for row in self.read_ledger():
            if row.get("task", "").startswith(job):
                key = row["task"], row["attempt"]
                if row["event"] == "start":
                    found[key] = row["minion"], row["t"]
                elif row["event"] == "end":
                    found.pop(key, None)
        found = {
            key: run
            for key, run in found.items()
            if self.minions[run[0]].poll() is None
        }
        return found


def main(folder, case, **options):
    """Runs a case; exits with 1 if the rule was broken, 0 if it held, else 2.

    Args:
        folder: Folder of the case.
        case: Takes the deployment and whether there is trouble; returns what
            broke the rule, empty if it held.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    deployment = None
    code, verdict = 2, "could not run"
    try:
        deployment = Deployment(folder, **options)
        deployment.start()
        broken = case(deployment, trouble)
        code = 1 if broken else 0
        verdict = f"broken: {broken}" if broken else "held"
    except CannotRun as error:
        verdict = f"could not run: {error}"
    finally:
        if deployment is not None:
            deployment.close(verdict)
    print(verdict)
    sys.exit(code)

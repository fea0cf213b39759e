"""The whole stand-in platform: log, list, workers and minions."""

import concurrent.futures
import dataclasses
import threading

from poplarspindle import http_server, reports, resources
from poplarspindle.tools.fakes import log, members, minions, workers

PLATFORM_THREADS = 64
MINION_THREADS = 24
ADVANCE_S = 0.02
WORKER_CAPACITY = resources.Resources(16000, 60000, 2)


@dataclasses.dataclass(frozen=True)
class Plan:
    """Size of a stand-in platform.

    Attributes:
        data_centres: Names of the data centres.
        workers: Workers in each data centre.
        racks: Racks in each data centre.
        capacity: What each worker offers.
        services: Services that every minion answers for.
        minions: Number of minions.
        slots: Requests a minion runs at once.
        connections: Connections a minion accepts.
        service_s: Median service time of a minion.
        hard_slots: Whether minions refuse a request that finds no slot.
        list_lag_s: How late the instance list is.
        seed: Seed of the minions' service times.
    """

    data_centres: tuple[str, ...] = ("ourthe", "semois", "lesse")
    workers: int = 4
    racks: int = 2
    capacity: resources.Resources = WORKER_CAPACITY
    services: tuple[str, ...] = ("quotes", "bookings")
    minions: int = 6
    slots: int = 8
    connections: int = 64
    service_s: float = 0.005
    hard_slots: bool = True
    list_lag_s: float = 0.3
    seed: int = 0


class Platform:
    """A running stand-in platform.

    Args:
        plan: Its size.
        address: `host:port` of log, list and workers.
    """

    def __init__(self, plan: Plan, address: str = "127.0.0.1:0") -> None:
        self.plan = plan
        self.log = log.FakeLog()
        self.members = members.FakeList(plan.list_lag_s)
        self.workers = workers.FakeWorkers()
        self.executions: list[minions.Execution] = []
        self.minions: list[minions.FakeMinion] = []
        self._servers: list[http_server.Server] = []
        self._main = http_server.Server(address, self._handle, PLATFORM_THREADS)
        self._stopping = threading.Event()
        self._clock = threading.Thread(target=self._advance, daemon=True)
        self.url = ""

    def start(self) -> str:
        """Starts all servers; returns the platform's URL."""
        address = self._main.start()
        self.url = f"http://{address}"
        self._add_workers(address)
        for index in range(self.plan.minions):
            self._add_minion(index)
        self._clock.start()
        return self.url

    def stop(self) -> None:
        """Stops all servers."""
        self._stopping.set()
        for minion in self.minions:
            minion.release()
        servers = (*self._servers, self._main)
        with concurrent.futures.ThreadPoolExecutor(len(servers)) as pool:
            list(pool.map(http_server.Server.stop, servers))

    def set_presence(self, name: str, presence: reports.Presence) -> None:
        """Changes how the list shows an instance."""
        found = {m.name: m for m in self.members.fetch()}[name]
        self.members.put(dataclasses.replace(found, presence=presence))

    def _add_workers(self, address: str) -> None:
        for data_centre in self.plan.data_centres:
            for index in range(self.plan.workers):
                member = reports.Member(
                    f"{data_centre}-w{index}",
                    reports.Role.WORKER,
                    data_centre,
                    f"{data_centre}-r{index % self.plan.racks}",
                    address,
                    capacity=self.plan.capacity,
                )
                self.workers.add(member)
                self.members.put(member)

    def _add_minion(self, index: int) -> None:
        name = f"minion-{index}"
        minion = minions.FakeMinion(
            name,
            self.executions,
            self.plan.slots,
            self.plan.service_s,
            self.plan.seed + index,
        )
        minion.hard_slots = self.plan.hard_slots
        server = http_server.Server(
            "127.0.0.1:0", minion.handle, MINION_THREADS
        )
        address = server.start()
        centres = self.plan.data_centres
        member = reports.Member(
            name,
            reports.Role.MINION,
            centres[index % len(centres)],
            address=address,
            services=self.plan.services,
            slots=self.plan.slots,
            connections=self.plan.connections,
        )
        self.minions.append(minion)
        self._servers.append(server)
        self.members.put(member)

    def _advance(self) -> None:
        while not self._stopping.wait(ADVANCE_S):
            self.workers.advance()

    def _handle(self, request: http_server.Request) -> http_server.Response:
        if request.path == "/healthz":
            return http_server.Response(200, b"ok")
        if request.path in ("/append", "/read"):
            return self.log.handle(request)
        if request.path in ("/members", "/announce"):
            return self.members.handle(request)
        return self.workers.handle(request)

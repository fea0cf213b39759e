"""The entry: takes callers' requests and sends them to minions."""

import dataclasses
import random
import re
import threading
import time
import uuid
from collections.abc import Callable
from typing import TypeVar

from poplarspindle import (
    appender,
    bulkheads,
    claims,
    dispatch,
    document,
    effects,
    events,
    follower,
    frontend,
    http_server,
    interface,
    jobs,
    log,
    lookups,
    membership,
    messages,
    metrics,
    outcomes,
    peers,
    programs,
    records,
    replica,
    reports,
    retired_ids,
    settings,
    snapshots,
    tickets,
    traces,
)
from poplarspindle.clients import logservice, members, minions, transport

JOIN_S = 5.0
SEED_BITS = 32
WAITING_SHARE = 2
INCARNATION_PATTERN = re.compile(r"[A-Za-z][A-Za-z0-9-]{0,62}")
T = TypeVar("T")

logger = log.get_logger("entry")


class Entry:
    """One entry process.

    Args:
        values: Checked settings.
    """

    def __init__(self, values: settings.Values) -> None:
        self.values = values
        self.incarnation = values.incarnation or f"e-{uuid.uuid4().hex[:12]}"
        if not INCARNATION_PATTERN.fullmatch(self.incarnation):
            raise ValueError("incarnation must be a letter, then A-Z 0-9 -")
        self.metrics = metrics.Metrics()
        self.document = document.State(values.team_secret)
        self._replica = replica.Replica(self.document)
        self.members = membership.State(self.incarnation, time.monotonic())
        self.address = ""
        self.peer_address = ""
        self._presence = reports.Presence.LIVE
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._links = peers.Links(self.metrics)
        self._ring = traces.Ring(
            values.trace_requests, time.monotonic, time.time
        )
        self._budget = traces.Budget(values.audit_bytes_s)
        self._make_clients(random.Random(self.incarnation))
        self._make_frontend()
        self._make_servers()

    def _make_clients(self, rng: random.Random) -> None:
        """Makes what talks to the platform and the minions."""
        values = self.values
        seed = rng.getrandbits(SEED_BITS)
        calls = transport.Transport(values.platform_timeout_s)
        self._service = logservice.LogService(values.log_url, calls)
        self._list = members.InstanceList(values.list_url, calls)
        self._dispatcher = dispatch.Dispatcher(
            values.entries,
            values.routing,
            minions.Minions(values.threads, idle_s=values.idle_s),
            self.metrics,
            seed,
            dispatch.read_rules(values),
            self._find_priority,
        )
        self._audit = appender.Appender(
            self._service,
            self.metrics,
            dataclasses.replace(
                appender.read_bounds(values),
                delay_s=values.audit_delay_ms / 1000,
            ),
            {},
            seed,
        )
        self._follower = follower.Follower(
            self._service,
            lambda: (records.DOCUMENT_STREAM,),
            self._take_event,
            self.metrics,
            seed,
            snapshots.make_opener(values.team_secret),
        )

    def _make_frontend(self) -> None:
        """Makes what carries requests, jobs and look-ups."""
        values = self.values
        limits = tickets.Limits(
            life_s=values.ticket_life_s,
            answer_life_s=values.answer_life_s,
            answer_bytes=values.answer_bytes,
        )
        claimed = claims.Claims(
            self._service,
            self.incarnation,
            values.claim_shards,
            values.claim_window_s,
            values.clock_skew_s,
            self.metrics,
        )
        self.frontend = frontend.Frontend(
            tickets.State(self.incarnation, limits),
            self.members,
            self._links,
            claimed,
            retired_ids.RetiredIds(self._service),
            self._ring,
            self._dispatcher.dispatch,
            self._take_trace,
            values.claim_window_s,
            values.clock_skew_s,
            bulkheads.Bulkhead(values.threads // WAITING_SHARE),
        )
        self._interface = interface.Interface(
            values,
            self.metrics,
            self.members,
            self.is_live,
            self._read_document,
            self.frontend,
            lookups.Lookup(
                self._ring, self._links, self.members, self._service
            ),
            jobs.Jobs(
                self._service, self._links, self.members, self._stopping.wait
            ),
        )

    def _make_servers(self) -> None:
        values = self.values
        self._server = http_server.Server(
            values.address,
            self._interface.handle,
            values.threads,
            values.deadline_most_ms / 1000 + JOIN_S,
            values.caller_s,
            lambda reason: self.metrics.add(
                "poplarspindle_refusals_total", reason
            ),
        )
        self._peers = peers.Server(
            values.peer_address,
            {
                messages.Forward: self.frontend.take_forward,
                messages.ResultQuery: self.frontend.take_result_query,
                messages.TraceQuery: self._take_trace_query,
            },
            self.metrics,
            values.peer_threads,
        )

    def start(self) -> None:
        """Starts serving and announces this instance."""
        self.peer_address = self._peers.start()
        self.address = self._server.start()
        self._read_list()
        self._announce()
        self._audit.start()
        self._follower.start()
        threading.Thread(target=self._run_list, daemon=True).start()
        logger.info(
            "Started.", incarnation=self.incarnation, address=self.address
        )

    def stop(self) -> None:
        """Stops gracefully: accepts for a while, then finishes all.

        Other entries' forwards are taken until callers' own requests have
        ended; the last word is which ids never ran.
        """
        self._presence = reports.Presence.LEAVING
        self._announce()
        self._stopping.wait(self.values.leave_s)
        self._server.stop()
        self._peers.stop()
        self._retire()
        self._stopping.set()
        self._follower.stop()
        self._audit.close(JOIN_S)
        self._links.close()
        logger.info("Stopped.")

    def _retire(self) -> None:
        """Leaves word which ids were handed out and never ran."""
        unused = self.frontend.list_unused()
        if not unused:
            return
        record = records.TicketsRetired(
            self.incarnation, unused, int(time.time() * 1000)
        )
        answer = self._service.append(
            records.RETIRED_STREAM, records.encode_batch((record,))
        )
        if isinstance(answer, outcomes.Failed):
            self.metrics.add(
                "poplarspindle_platform_failures_total",
                f"retire-{answer.reason}",
            )

    def _announce(self) -> None:
        member = reports.Member(
            self.incarnation,
            reports.Role.ENTRY,
            self.values.data_centre,
            address=self.address,
            peer_address=self.peer_address,
            presence=self._presence,
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
            elif isinstance(effect, effects.LogLine):
                logger.warning(effect.text, stream=effect.subject)

    def _run_list(self) -> None:
        while not self._stopping.wait(self.values.list_s):
            self._read_list()

    def _read_list(self) -> None:
        match self._list.fetch():
            case outcomes.Ok(found):
                self._take_list(found)
            case outcomes.Failed() as failed:
                self.metrics.add(
                    "poplarspindle_platform_failures_total",
                    f"list-{failed.reason}",
                )

    def _find_priority(self, service: str) -> int:
        """Returns a service's priority in the document."""
        with self._lock:
            found = self.document.find_service(service)
        return found[1].priority if found else dispatch.PRIORITY

    def _take_list(self, members: tuple[reports.Member, ...]) -> None:
        judgement = membership.apply_list(
            self.members, members, self._presence, time.monotonic()
        )
        self.metrics.add("poplarspindle_list_total", judgement.reading)
        if judgement.taken:
            self._dispatcher.apply_members(members)
            addresses = (member.peer_address for member in members)
            self._links.keep(frozenset(addresses))
        if judgement.announce:
            self._announce()

    def _take_trace(self, trace: traces.Trace) -> None:
        """Writes a trace that ended to the audit, within its budget."""
        if not traces.is_worth_keeping(trace):
            return
        record = traces.make_record(trace)
        size = traces.estimate_size(record)
        with self._lock:
            allowed = self._budget.take(size, time.monotonic())
        stream = lookups.name_stream(self.values.data_centre)
        kept = allowed and self._audit.add(stream, record)
        self.metrics.add(
            "poplarspindle_traces_total", "written" if kept else "dropped"
        )

    def _take_trace_query(
        self, question: messages.TraceQuery, deadline: float
    ) -> messages.TraceFound:
        return self._ring.find(question.request)

    def _read_document(self, read: Callable[[document.State], T]) -> T:
        """Returns what a function reads from the document."""
        with self._lock:
            return read(self.document)

    def is_live(self) -> bool:
        """Tells whether it was not told to stop."""
        return self._presence is reports.Presence.LIVE


def run(values: settings.Values) -> int:
    """Runs an entry until SIGTERM or SIGINT."""
    log.set_up(values.log_format, values.log_level)
    process = Entry(settings.name_incarnation(values, "entry"))
    return programs.run_until_stopped(process.start, process.stop)


def main() -> None:
    """Runs `poplarspindle-entry`."""
    settings.run_command(settings.ENTRY, "Serves callers' requests.", run)


if __name__ == "__main__":
    main()

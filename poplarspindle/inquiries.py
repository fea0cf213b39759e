"""Asks on an operator's behalf what happened to a request or a job."""

import dataclasses
import urllib.parse

import urllib3

from poplarspindle import lookups, outcomes, reports, settings, traces
from poplarspindle.clients import logservice, members, transport

ASK_S = 8.0
CONNECT_S = 1.0
PATHS = ("requests", "jobs")
SOURCES = {
    lookups.Source.HERE: "from an entry's memory",
    lookups.Source.PEER: "from an entry's memory",
    lookups.Source.AUDIT: "from the audit stream",
    lookups.Source.NOWHERE: "",
}


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What was found.

    Attributes:
        known: Whether anything is known.
        sentence: One plain sentence.
        began: Wall-clock time of the first step, empty where unknown.
        lines: One line per step, or per open task of a job.
        source: Who told it, empty where nobody could.
    """

    known: bool
    sentence: str
    began: str = ""
    lines: tuple[str, ...] = ()
    source: str = ""


def explain(values: settings.Values, subject: str) -> Report:
    """Asks the live schedulers why a subject is as it is.

    Args:
        values: Settings of the operators' command line.
        subject: Id or name of a task, job, worker or data centre.

    Returns:
        The longest answer: the owner of its data centre knows most.
    """
    calls = transport.Transport(values.platform_timeout_s)
    listed = members.InstanceList(values.list_url, calls).fetch()
    if isinstance(listed, outcomes.Failed):
        return Report(False, "The instance list does not answer.")
    pool = urllib3.PoolManager(
        retries=False,
        timeout=urllib3.Timeout(connect=CONNECT_S, read=ASK_S),
    )
    found = [
        report
        for member in listed.value
        if member.role is reports.Role.SCHEDULER and member.address
        if (report := _ask_scheduler(pool, member.address, subject))
    ]
    if not found:
        return Report(False, "No scheduler answers.")
    return max(found, key=lambda r: (r.known, sum(map(len, r.lines))))


def _ask_scheduler(
    pool: urllib3.PoolManager, address: str, subject: str
) -> Report | None:
    """Returns a scheduler's answer, None where it gives none."""
    query = urllib.parse.urlencode({"subject": subject})
    url = f"http://{address}/v1/explain?{query}"
    try:
        answer = pool.request("GET", url)
        fields = answer.json()
        return Report(
            fields["found"], "", "", tuple(fields["sentences"]), address
        )
    except (urllib3.exceptions.HTTPError, ValueError, KeyError):
        return None


def inquire(values: settings.Values, name: str) -> Report:
    """Asks the live entries, else reads the audit stream itself.

    Args:
        values: Settings of the operators' command line.
        name: Request id or job id.

    Returns:
        The report; it says so where nothing can be known.
    """
    calls = transport.Transport(values.platform_timeout_s)
    listed = members.InstanceList(values.list_url, calls).fetch()
    if isinstance(listed, outcomes.Failed):
        return Report(False, "The instance list does not answer.")
    pool = urllib3.PoolManager(
        retries=False,
        timeout=urllib3.Timeout(connect=CONNECT_S, read=ASK_S),
    )
    for member in listed.value:
        if member.role is not reports.Role.ENTRY or not member.address:
            continue
        report = ask_entry(pool, member.address, name)
        if report is not None:
            return report
    centres = (member.data_centre for member in listed.value)
    service = logservice.LogService(values.log_url, calls)
    found = lookups.find_audit(service, centres, name)
    source = lookups.Source.AUDIT if found.known else lookups.Source.NOWHERE
    return _read_body(traces.describe(name, found, source), found.known)


def ask_entry(
    pool: urllib3.PoolManager, address: str, name: str
) -> Report | None:
    """Asks one entry; returns None where it does not answer."""
    quoted = urllib.parse.quote(name, safe="")
    first = None
    for path in PATHS:
        try:
            answer = pool.request("GET", f"http://{address}/v1/{path}/{quoted}")
            body = answer.json()
        except (urllib3.exceptions.HTTPError, ValueError):
            return None
        if answer.status == 200:
            return _read_body(body, True)
        first = first or _read_body(body, False)
    return first


def render(report: Report) -> str:
    """Returns a report as text for a terminal."""
    told = f"({report.source})" if report.source else ""
    began = f"first step at {report.began}" if report.began else ""
    head = " ".join(filter(None, (report.sentence, told)))
    steps = (f"  {line}" for line in report.lines)
    return "\n".join(filter(None, (head, began, *steps)))


def _read_body(body: dict, known: bool) -> Report:
    tasks = (
        f"{task['task']} attempt {task['attempt']} {task['phase']}"
        f" {task['data_centre']} {task['worker'] or '-'} {task['reason']}"
        for task in body.get("open", ())
    )
    return Report(
        known,
        body.get("sentence") or body.get("error", ""),
        body.get("began", ""),
        (*body.get("steps", ()), *tasks),
        SOURCES.get(body.get("source"), body.get("told_by", "")),
    )

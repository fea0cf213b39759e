"""The operators' command line: publish, out, in, status, trace."""

import getpass
import json
import os
import pathlib
import sys
import time
import uuid

import defopt
import urllib3

import poplarspindle
from poplarspindle import (
    document,
    events,
    inquiries,
    outcomes,
    records,
    settings,
)
from poplarspindle.platform import logservice, transport

EXIT_OK = 0
EXIT_CONFLICT = 3
EXIT_REFUSED = 4
EXIT_UNKNOWN = 5
SETTLE_S = 10.0
READ_LIMIT = 500
READ_WAIT_MS = 500


class Operator:
    """The document as an operator sees it, and a way to change it.

    Args:
        values: Checked settings.
    """

    def __init__(self, values: settings.Values) -> None:
        calls = transport.Transport(values.platform_timeout_s)
        self._service = logservice.LogService(values.log_url, calls)
        self.document = document.State(values.team_secret)
        self._position = 0

    def read(self, wait_ms: int = 0) -> bool:
        """Reads the document's stream once; tells whether it answered."""
        stream = records.DOCUMENT_STREAM
        answer = self._service.read(
            {stream: self._position}, READ_LIMIT, wait_ms
        )
        if isinstance(answer, outcomes.Failed):
            return False
        (page,) = answer.value
        for offset, payload in page.records:
            self._reduce(offset, payload)
        return True

    def _reduce(self, offset: int, payload: bytes) -> None:
        batch, _ = records.decode_batch(payload)
        for record in batch:
            event = events.RecordRead(
                0.0, records.DOCUMENT_STREAM, offset, record
            )
            if isinstance(record, records.SectionPublished):
                document.apply_section(self.document, event)
            elif isinstance(record, records.DataCentreSet):
                document.apply_data_centre(self.document, event)
        self._position = offset + 1

    def settle(self, change) -> document.Decision | None:
        """Appends a change and reads on to its verdict.

        Returns:
            The verdict, or None where it could not be read in time.
        """
        payload = records.encode_batch((change,))
        deadline = time.monotonic() + SETTLE_S
        self._service.append(records.DOCUMENT_STREAM, payload)
        while time.monotonic() < deadline:
            self.read(READ_WAIT_MS)
            decision = self.document.decisions.get(change.change_id)
            if decision is not None:
                return decision
        return None


def _open() -> Operator:
    match settings.check_values(settings.CTL, {}, os.environ):
        case outcomes.Failed() as failed:
            print(failed.detail, file=sys.stderr)
            sys.exit(settings.EXIT_USAGE)
        case outcomes.Ok(values):
            operator = Operator(values)
            if not operator.read():
                print("The log does not answer.", file=sys.stderr)
                sys.exit(EXIT_UNKNOWN)
            return operator, values


def _sign(values: settings.Values, change):
    key = document.derive_key(values.team_secret, change.team)
    return document.sign_change(change, key)


def _report(change, decision: document.Decision | None) -> int:
    """Prints a verdict and returns the exit code."""
    if decision is None:
        print(
            f"unknown: change {change.change_id} was not read back;"
            f" settle it with: poplarspindle-ctl settle {change.change_id}"
        )
        return EXIT_UNKNOWN
    print(f"{decision.verdict}: {decision.reason}")
    return {
        document.Verdict.ACCEPTED: EXIT_OK,
        document.Verdict.CONFLICT: EXIT_CONFLICT,
        document.Verdict.REFUSED: EXIT_REFUSED,
    }[decision.verdict]


def publish(
    section: str, path: str, *, team: str, base: int | None = None
) -> int:
    """Publishes a section from a file.

    Args:
        section: Name of the section.
        path: File with the section's text.
        team: Team that owns the section.
        base: Version the text was made on; the present one by default.
    """
    text = pathlib.Path(path).read_text(encoding="utf-8")
    match document.parse_section(text):
        case outcomes.Failed() as failed:
            print(f"refused: {failed.detail}", file=sys.stderr)
            return EXIT_REFUSED
    operator, values = _open()
    current = operator.document.sections.get(section)
    version = current.version if current else 0
    change = records.SectionPublished(
        uuid.uuid4().hex,
        section,
        version if base is None else base,
        team,
        getpass.getuser(),
        text,
    )
    change = _sign(values, change)
    return _report(change, operator.settle(change))


def show(section: str | None = None) -> int:
    """Shows a section, or the names and versions of all.

    Args:
        section: Name of the section.
    """
    operator, _ = _open()
    if section is None:
        for item in operator.document.sections.values():
            print(f"{item.name} version {item.version} team {item.team}")
        return EXIT_OK
    found = operator.document.sections.get(section)
    if found is None:
        print(f"no section {section}", file=sys.stderr)
        return EXIT_REFUSED
    print(found.text)
    return EXIT_OK


def settle(change_id: str) -> int:
    """Tells what became of a change.

    Args:
        change_id: Id of the change, as `publish` printed it.
    """
    operator, _ = _open()
    decision = operator.document.decisions.get(change_id)
    if decision is None:
        print("not there: it may be published again")
        return EXIT_UNKNOWN
    print(f"{decision.verdict}: {decision.reason}")
    return EXIT_OK


def out(data_centre: str, *, team: str) -> int:
    """Takes a data centre out of service.

    Args:
        data_centre: Name of the data centre.
        team: Team in whose name it is done.
    """
    return _set_data_centre(data_centre, False, team)


def in_(data_centre: str, *, team: str) -> int:
    """Takes a data centre back into service.

    Args:
        data_centre: Name of the data centre.
        team: Team in whose name it is done.
    """
    return _set_data_centre(data_centre, True, team)


def _set_data_centre(data_centre: str, in_service: bool, team: str) -> int:
    operator, values = _open()
    known = operator.document.data_centres
    current = known.get(data_centre, document.DataCentreState())
    change = records.DataCentreSet(
        uuid.uuid4().hex,
        data_centre,
        in_service,
        current.version,
        team,
        getpass.getuser(),
    )
    change = _sign(values, change)
    return _report(change, operator.settle(change))


def status(address: str) -> int:
    """Shows the data centres as a scheduler sees them.

    Args:
        address: The scheduler's `host:port`.
    """
    answer = urllib3.request("GET", f"http://{address}/v1/status")
    print(json.dumps(answer.json(), indent=2))
    return EXIT_OK


def explain(subject: str) -> int:
    """Tells why a task, job, worker or data centre is as it is.

    Of a data centre it also tells what would move where, and what would be
    left behind, if it were taken out now.

    Args:
        subject: Its id or name.
    """
    match settings.check_values(settings.CTL, {}, os.environ):
        case outcomes.Failed() as failed:
            print(failed.detail, file=sys.stderr)
            return settings.EXIT_USAGE
        case outcomes.Ok(values):
            pass
    found = inquiries.explain(values, subject)
    print("\n".join(found.lines or (found.sentence,)))
    return EXIT_OK if found.known else EXIT_UNKNOWN


def trace(name: str) -> int:
    """Tells what happened to one request or one job.

    Args:
        name: Request id or job id.
    """
    match settings.check_values(settings.CTL, {}, os.environ):
        case outcomes.Failed() as failed:
            print(failed.detail, file=sys.stderr)
            return settings.EXIT_USAGE
        case outcomes.Ok(values):
            report = inquiries.inquire(values, name)
    print(inquiries.render(report))
    return EXIT_OK if report.known else EXIT_UNKNOWN


COMMANDS = {
    "publish": publish,
    "show": show,
    "settle": settle,
    "out": out,
    "in": in_,
    "status": status,
    "trace": trace,
    "explain": explain,
}


def main() -> None:
    """Runs `poplarspindle-ctl`."""
    code = defopt.run(
        COMMANDS,
        version=f"poplarspindle-ctl {poplarspindle.__version__}",
        show_defaults=False,
    )
    sys.exit(code)


if __name__ == "__main__":
    main()

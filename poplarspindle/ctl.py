"""The operators' command line.

Exit codes: 0 done; 2 wrong usage; 3 conflict, another change won; 4 refused;
5 unknown, the change may take effect or may have; 6 the log or a scheduler
does not answer and nothing was changed.
"""

import difflib
import getpass
import json
import os
import pathlib
import sys
import uuid

import defopt

import poplarspindle
from poplarspindle import (
    document,
    inquiries,
    operators,
    outcomes,
    records,
    settings,
    stories,
)

EXIT_OK = 0
EXIT_CONFLICT = 3
EXIT_REFUSED = 4
EXIT_UNKNOWN = 5
EXIT_UNREACHABLE = 6

VERDICT_CODES = {
    document.Verdict.ACCEPTED: EXIT_OK,
    document.Verdict.CONFLICT: EXIT_CONFLICT,
    document.Verdict.REFUSED: EXIT_REFUSED,
}


class CommandError(Exception):
    """A command that can't go on.

    Attributes:
        code: Exit code.
    """

    def __init__(self, code: int, text: str) -> None:
        super().__init__(text)
        self.code = code


def _read_values() -> settings.Values:
    match settings.check_values(settings.CTL, {}, os.environ):
        case outcomes.Failed() as failed:
            raise CommandError(settings.EXIT_USAGE, failed.detail)
        case outcomes.Ok(values):
            return values


def _connect(team: str = "") -> operators.Operator:
    try:
        return operators.Operator(_read_values(), team)
    except ValueError as error:
        raise CommandError(settings.EXIT_USAGE, str(error)) from error


def _open(team: str = "") -> operators.Operator:
    """Connects and reads the document to its tail."""
    operator = _connect(team)
    match operator.open():
        case outcomes.Failed() as failed:
            raise CommandError(EXIT_UNREACHABLE, failed.detail)
    return operator


def _warn(text: str) -> None:
    print(f"warning: {text}", file=sys.stderr)


def _warn_of_keys() -> None:
    values = _read_values()
    if not values.team_secret and not values.team_key:
        _warn(
            "no team secret and no team key is set:"
            " anybody who reaches the log can sign as any team"
        )


def _read_file(path: str) -> str:
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise CommandError(
            settings.EXIT_USAGE, f"can't read {path}: {error.strerror}"
        ) from error
    except UnicodeDecodeError as error:
        raise CommandError(
            settings.EXIT_USAGE, f"{path} is not UTF-8: {error}"
        ) from error


def _settle(operator: operators.Operator, change: document.Change) -> int:
    """Publishes a change, prints its verdict and returns the exit code."""
    match operator.settle(operator.sign(change)):
        case outcomes.Ok(decision):
            return _report(change.change_id, decision)
        case outcomes.Failed(may_have_acted=False):
            raise CommandError(
                EXIT_UNREACHABLE, "the log took nothing: nothing was changed"
            )
    print(
        f"unknown: change {change.change_id} was not read back in time;"
        f" settle it with: poplarspindle-ctl settle {change.change_id}"
    )
    return EXIT_UNKNOWN


def _report(change_id: str, decision: document.Decision) -> int:
    print(
        f"{decision.verdict}: {decision.reason};"
        f" {decision.subject} is at version {decision.version}"
        f" (change {change_id})"
    )
    return VERDICT_CODES[decision.verdict]


def publish(
    section: str, path: str, *, team: str, base: int | None = None
) -> int:
    """Publishes a section from a file.

    Args:
        section: Name of the section.
        path: File with the section's text.
        team: Team that owns the section.
        base: Version the text was made on, as `show` prints it; the present
            one by default, which overwrites what others did meanwhile.
    """
    text = _read_file(path)
    match document.parse_section(text):
        case outcomes.Failed() as failed:
            raise CommandError(EXIT_REFUSED, f"{path}: {failed.detail}")
        case outcomes.Ok(spec):
            checked = spec
    _warn_of_keys()
    operator = _open(team)
    _warn_of_unknown_centres(operator, checked)
    current = operator.state.sections.get(section)
    version = current.version if current else 0
    change = records.SectionPublished(
        uuid.uuid4().hex,
        section,
        version if base is None else base,
        team,
        getpass.getuser(),
        text,
        seen=operator.offset - 1,
    )
    return _settle(operator, change)


def _warn_of_unknown_centres(
    operator: operators.Operator, spec: document.SectionSpec
) -> None:
    known = {*operator.state.list_data_centres(), *spec.data_centres}
    tables = {"services": spec.services, "families": spec.families}
    for kind, table in tables.items():
        for name, item in table.items():
            for unknown in sorted({*item.data_centres} - known):
                _warn(f"{kind}.{name}: no section names {unknown} yet")


def _find_section(operator: operators.Operator, name: str) -> document.Section:
    found = operator.state.sections.get(name)
    if found is None:
        known = ", ".join(operator.state.sections) or "none"
        raise CommandError(
            EXIT_REFUSED, f"no section {name}; there are: {known}"
        )
    return found


def show(section: str | None = None) -> int:
    """Shows a section, or the names and versions of all.

    Args:
        section: Name of the section.
    """
    operator = _open()
    if section is not None:
        found = _find_section(operator, section)
        print(f"# {found.name} version {found.version} team {found.team}")
        print(found.text.rstrip("\n"))
        return EXIT_OK
    for item in operator.state.sections.values():
        print(
            f"{item.name} version {item.version} team {item.team}"
            f" by {item.author}"
        )
    for name in operator.state.list_data_centres():
        stands = "in" if operator.state.is_in_service(name) else "out"
        print(f"data centre {name} {stands}")
    return EXIT_OK


def diff(section: str, path: str) -> int:
    """Shows what publishing a file would change in a section.

    Args:
        section: Name of the section.
        path: File with the new text.
    """
    text = _read_file(path)
    operator = _open()
    found = operator.state.sections.get(section)
    old = found.text if found else ""
    version = found.version if found else 0
    lines = difflib.unified_diff(
        old.splitlines(),
        text.splitlines(),
        f"{section} version {version}",
        path,
        lineterm="",
    )
    print("\n".join(lines))
    return EXIT_OK


def history(subject: str | None = None) -> int:
    """Lists the verdicts that are still known, oldest first.

    Args:
        subject: Only those on this section or data centre.
    """
    operator = _open()
    decisions = {
        **operator.state.decisions,
        **operator.state.refusals,
    }
    chosen = sorted(
        (decision.offset, change_id, decision)
        for change_id, decision in decisions.items()
        if subject in (None, decision.subject)
    )
    for offset, change_id, decision in chosen:
        print(
            f"{offset} {decision.subject} version {decision.version}"
            f" {decision.verdict} team {decision.team} by {decision.author}"
            f" change {change_id}: {decision.reason}"
        )
    return EXIT_OK


def settle(change_id: str, *, team: str = "") -> int:
    """Tells what became of a change.

    Args:
        change_id: Id of the change, as `publish` printed it.
        team: Team that signed it, needed with a team key only.
    """
    operator = _open(team)
    match operator.find_decision(change_id):
        case outcomes.Ok(decision):
            return _report(change_id, decision)
        case outcomes.Failed(reason="not-there"):
            print(
                f"not there: read to offset {operator.offset}. Publish again:"
                " should a late copy still land, only one of both is accepted"
            )
            return EXIT_UNKNOWN
        case outcomes.Failed() as failed:
            raise CommandError(EXIT_UNREACHABLE, failed.detail)


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
    _warn_of_keys()
    operator = _open(team)
    current = operator.state.data_centres.get(data_centre)
    known = operator.state.list_data_centres()
    if current is None and data_centre not in known:
        raise CommandError(
            EXIT_REFUSED,
            f"no section names data centre {data_centre};"
            f" there are: {', '.join(known) or 'none'}",
        )
    stands = current or document.DataCentreState()
    if stands.in_service == in_service:
        _warn(f"{data_centre} is {'in' if in_service else 'out'} already")
    change = records.DataCentreSet(
        uuid.uuid4().hex,
        data_centre,
        in_service,
        stands.version,
        team,
        getpass.getuser(),
        seen=operator.offset - 1,
    )
    return _settle(operator, change)


def key(team: str) -> int:
    """Prints the signing key of a team, to be handed to that team only.

    Args:
        team: Name of the team.
    """
    values = _read_values()
    if not values.team_secret:
        raise CommandError(
            settings.EXIT_USAGE, "set POPLARSPINDLE_TEAM_SECRET first"
        )
    print(document.derive_key(values.team_secret, team).hex())
    return EXIT_OK


def status(address: str | None = None) -> int:
    """Shows the data centres as a scheduler sees them.

    Args:
        address: The scheduler's `host:port`; by default one that the
            platform's instance list shows.
    """
    match _connect().ask_scheduler("/v1/status", address or ""):
        case outcomes.Failed() as failed:
            raise CommandError(
                EXIT_UNREACHABLE,
                f"no answer from {failed.peer}: {failed.detail}",
            )
        case outcomes.Ok(found):
            print(json.dumps(found, indent=2))
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


def story(job: str, *paths: str) -> int:
    """Tells what happened to one job on the users' platform, from log lines.

    Args:
        job: Its id.
        paths: Files of log lines of any number of nodes.
    """
    lines = [line for path in paths for line in _read_file(path).splitlines()]
    found = stories.read_lines(lines, job)
    print("\n".join(stories.tell(found)) or f"No line names job {job}.")
    return EXIT_OK if found else EXIT_UNKNOWN


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
    "diff": diff,
    "history": history,
    "settle": settle,
    "out": out,
    "in": in_,
    "key": key,
    "status": status,
    "trace": trace,
    "explain": explain,
    "story": story,
}


def run(argv: list[str] | None = None) -> int:
    """Runs one command and returns its exit code.

    Args:
        argv: Arguments, those of the process by default.
    """
    try:
        return defopt.run(
            COMMANDS,
            argv=argv,
            version=f"poplarspindle-ctl {poplarspindle.__version__}",
            show_defaults=False,
        )
    except CommandError as error:
        print(f"error: {error}", file=sys.stderr)
        return error.code


def main() -> None:
    """Runs `poplarspindle-ctl`."""
    sys.exit(run())


if __name__ == "__main__":
    main()

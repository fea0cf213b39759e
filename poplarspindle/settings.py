"""How programs read and check their settings.

A value comes from the flag, else from the environment variable
`POPLARSPINDLE_<NAME>`, else from the table.
"""

import dataclasses
import inspect
import os
import sys
import uuid
from collections.abc import Callable, Mapping

import defopt

import poplarspindle
from poplarspindle import defaults, outcomes

EXIT_USAGE = 2
INCARNATION_DIGITS = 12

ENTRY = defaults.ENTRY
SCHEDULER = defaults.SCHEDULER
CTL = defaults.CTL
LOAD = defaults.LOAD
STANDIN = defaults.STANDIN
DEFAULT_SETTINGS = defaults.DEFAULT_SETTINGS

BY_NAME = {setting.name: setting for setting in DEFAULT_SETTINGS}


@dataclasses.dataclass(frozen=True)
class Values:
    """Checked values of the settings of one program.

    Attributes:
        program: Name of the program.
        table: Value by setting name.
    """

    program: str
    table: Mapping[str, str | int | float | bool]

    def __getattr__(self, name: str) -> str | int | float | bool:
        """Returns a setting's value by attribute access."""
        table = self.__dict__.get("table", {})
        if name not in table:
            raise AttributeError(name)
        return table[name]


def select_settings(program: str) -> tuple[defaults.Setting, ...]:
    """Returns the settings that a program reads."""
    return tuple(s for s in DEFAULT_SETTINGS if program in s.programs)


def make_values(program: str, **changes: object) -> Values:
    """Returns the defaults of a program with some values replaced."""
    table = {s.name: s.default for s in select_settings(program)}
    return Values(program, {**table, **changes})


def name_incarnation(values: Values, role: str) -> Values:
    """Gives a process an id that no other start of it ever had.

    Args:
        values: Checked settings; `incarnation` is taken as a prefix.
        role: Prefix where none is set.

    Returns:
        The settings with the whole id.
    """
    prefix = values.incarnation or role
    name = f"{prefix}-{uuid.uuid4().hex[:INCARNATION_DIGITS]}"
    return Values(values.program, {**values.table, "incarnation": name})


def read_value(setting: defaults.Setting, text: str) -> object:
    """Reads one value.

    Args:
        setting: The setting.
        text: The value as given.

    Returns:
        The value in the setting's type.

    Raises:
        ValueError: The text is not allowed.
    """
    if isinstance(setting.default, bool):
        return {"true": True, "false": False}[text.lower()]
    if isinstance(setting.default, int | float):
        number = type(setting.default)(text)
        if not setting.low <= number <= setting.high:
            raise ValueError(text)
        return number
    if setting.choices and text not in setting.choices:
        raise ValueError(text)
    return text


def check_values(
    program: str,
    flags: Mapping[str, str | None],
    environment: Mapping[str, str],
) -> outcomes.Ok[Values] | outcomes.Failed:
    """Reads all settings of a program.

    Args:
        program: Name of the program.
        flags: Value by setting name, None where no flag was given.
        environment: The process's environment.

    Returns:
        The values, or the first fault with setting, value and what is allowed.
    """
    table = {}
    for setting in select_settings(program):
        text = flags.get(setting.name)
        if text is None:
            text = environment.get(setting.variable)
        if text is None:
            table[setting.name] = setting.default
            continue
        try:
            table[setting.name] = read_value(setting, text)
        except (ValueError, KeyError):
            return outcomes.Failed(
                outcomes.Step.PARSE,
                "",
                "bad-setting",
                f"{setting.name}: {text!r} is not allowed;"
                f" give {setting.allowed}"
                f" (--{setting.name.replace('_', '-')} or {setting.variable})",
            )
    return outcomes.Ok(Values(program, table))


def make_command(
    program: str, summary: str, run: Callable[[Values], int]
) -> Callable[..., int]:
    """Makes a command whose flags are the settings of a program.

    Args:
        program: Name of the program.
        summary: First line of the help.
        run: Called with the checked values; returns the exit code.

    Returns:
        A function for defopt.
    """
    chosen = select_settings(program)

    def command(**flags: str | None) -> int:
        match check_values(program, flags, os.environ):
            case outcomes.Ok(values):
                return run(values)
            case outcomes.Failed() as failed:
                print(failed.detail, file=sys.stderr)
                return EXIT_USAGE

    parameters = [
        inspect.Parameter(
            setting.name,
            inspect.Parameter.KEYWORD_ONLY,
            default=None,
            annotation=str | None,
        )
        for setting in chosen
    ]
    command.__signature__ = inspect.Signature(parameters)
    command.__annotations__ = {s.name: str | None for s in chosen}
    lines = [
        f"    {s.name}: {s.summary} Allowed: {s.allowed}."
        f" Default: {s.default!r}. Variable: {s.variable}."
        for s in chosen
    ]
    command.__doc__ = "\n".join([summary, "", "Args:", *lines])
    command.__name__ = program
    return command


def run_command(
    program: str, summary: str, run: Callable[[Values], int]
) -> None:
    """Runs a program's command line and exits with its code."""
    command = make_command(program, summary, run)
    code = defopt.run(
        command,
        version=f"poplarspindle-{program} {poplarspindle.__version__}",
        show_defaults=False,
    )
    sys.exit(code)

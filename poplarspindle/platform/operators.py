"""What operators write: the configuration, data centres taken out, waves."""

from poplarspindle.fleet import records, work
from poplarspindle.node import operator_commands
from poplarspindle.platform import decoding

CONFIGURATION_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
MAX_ROWS = 10_000
MAX_TEXT_BYTES = 4096


def read_operator_command(
    record: records.Record,
) -> operator_commands.OperatorCommand | None:
    """Reads one key of the operators.

    Returns:
        What they wish, None for a key that is not known.

    Raises:
        ValueError: The value is malformed.
    """
    if record.key.startswith(EVACUATION_PREFIX):
        data_centre = record.key.removeprefix(EVACUATION_PREFIX)
        return operator_commands.DataCentreEvacuation(
            data_centre, bool(record.value)
        )
    if record.key == CONFIGURATION_KEY and record.value:
        return operator_commands.ConfigurationChange(
            read_configuration(record.value)
        )
    return None


def read_configuration(value: bytes) -> work.Configuration:
    """Reads the configuration; raises ValueError where it is malformed."""
    fields = decoding.parse_object(value)
    routes = decoding.check_list(fields.get("routes"), "routes", MAX_ROWS)
    services = decoding.check_list(fields.get("services"), "services", MAX_ROWS)
    limits = decoding.check_object(fields.get("limits", {}), "limits")
    queues = [
        _read_queue(decoding.check_object(route, "a route")) for route in routes
    ]
    return work.Configuration(
        decoding.check_whole(fields.get("version"), "version"),
        {queue.name: queue for queue in queues},
        frozenset(filter(None, map(_read_guarded, services))),
        _read_whole(limits, "max_body_bytes", 262_144),
        _read_whole(limits, "max_header_bytes", 16_384),
    )


def _read_guarded(service: object) -> str:
    """Returns the name of a service that refuses what does not fit, else ""."""
    fields = decoding.check_object(service, "a service")
    name = _read_text(fields, "name")
    return name if fields.get("enforce_limits") else ""


def _read_queue(route: dict) -> work.Queue:
    return work.Queue(
        _read_text(route, "name"),
        _read_text(route, "host"),
        _read_text(route, "path_prefix"),
        _read_text(route, "service"),
        decoding.check_whole(
            route.get("priority", 0), "priority", least=-decoding.MAX_WHOLE
        ),
        _read_whole(route, "max_attempts", 1),
        float(decoding.check_number(route.get("slack_factor", 1.0), "slack")),
        _read_whole(route, "target_completion_ms", 1000),
        _read_whole(route, "timeout_ms", 3000),
        bool(route.get("recommendation")),
    )


def _read_text(fields: dict, name: str) -> str:
    return decoding.check_text(fields.get(name), name, MAX_TEXT_BYTES)


def _read_whole(fields: dict, name: str, default: int) -> int:
    return decoding.check_whole(fields.get(name, default), name)

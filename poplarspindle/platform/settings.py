"""The platform's settings file, read into the product's own settings."""

import os
import re

from poplarspindle.node import settings

PATH_VARIABLE = "POPLARSPINDLE_CONFIG"
MAX_PARTITIONS = 8  # The owner waits at each part; a call each.
MAX_NUMBER = 1e12
MAX_PORT = 65535
_PORT = re.compile(r"[0-9]{1,5}")
DEFAULT_PATH = "/etc/poplarspindle/settings.conf"


def find_path() -> str:
    """Returns the path of the settings file."""
    return os.environ.get(PATH_VARIABLE, DEFAULT_PATH)


def read_settings(text: str) -> settings.Settings:
    """Reads settings from lines of the form `a.b=value`.

    Args:
        text: Content of the file; fields that are not known are ignored.

    Raises:
        ValueError: A field is missing or has no fitting value.
    """
    fields = dict(
        line.split("=", 1)
        for line in map(str.strip, text.splitlines())
        if "=" in line and not line.startswith("#")
    )

    def require(name: str) -> str:
        if not fields.get(name):
            raise ValueError(f"The settings have no {name}.")
        return fields[name]

    def number(name: str, default: float) -> float:
        value = fields.get(name) or default
        try:
            found = float(value)
        except ValueError as error:
            raise ValueError(f"{name} is no number: {value}") from error
        if not 0 <= found <= MAX_NUMBER:
            raise ValueError(f"{name} is out of range: {value}")
        return found

    def address(name: str) -> str:
        host, _, port = require(name).rpartition(":")
        if not host or not _PORT.fullmatch(port) or int(port) > MAX_PORT:
            raise ValueError(f"{name} is no host and port: {fields[name]}")
        return fields[name]

    return settings.Settings(
        node=require("node_name"),
        data_centre=require("zone"),
        callers_address=address("listen_addrs.frontend"),
        readiness_address=address("listen_addrs.readiness"),
        store_address=address("platform.address"),
        store_writes_per_s=number("platform.writes_per_s", 600),
        store_reads_per_s=number("platform.reads_per_s", 2000),
        record_most_bytes=int(number("platform.record_bytes", 262_144)),
        batch_most_bytes=int(number("platform.request_bytes", 2_097_152)),
        log_parts=max(1, min(MAX_PARTITIONS, int(number("platform.parts", 8)))),
        member_ttl_least_ms=int(number("platform.ttl_min_ms", 1000)),
        lease_most_ms=int(number("bounds.hold_max_ms", 6000)),
        stop_grace_ms=int(number("bounds.stop_grace_ms", 900)),
        leave_s=number("bounds.grace_s", 6),
        early_ms=int(number("bounds.early_ms", 250)),
        visible_ms=int(number("bounds.visible_ms", 3000)),
        keep_ended_s=number("bounds.status_s", 120),
        pace_ms=int(number("bounds.rate_ms", 100)),
        harm_ms=int(number("bounds.impact_ms", 4000)),
        notice_ms=int(number("bounds.notice_ms", 4500)),
        remote_factor=number("bounds.remote_factor", 1.5),
        gang_wait_ms=int(number("bounds.gang_timeout_ms", 3000)),
        processors=number("limits.cpu_share", 1) * number("limits.cores", 1),
        link_mbps=number("limits.link_mbps", 1000),
        memory_mb=number("limits.memory_mb", 300),
        inventory_address=(
            address("cloud.address") if fields.get("cloud.address") else ""
        ),
    )

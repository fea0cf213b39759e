"""Settings of a node, in the product's own words."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """What a node is told at its start and whenever its settings change.

    Attributes:
        node: Name of the node.
        data_centre: Where it stands.
        callers_address: `host:port` at which callers reach it.
        readiness_address: `host:port` at which readiness is asked.
        store_address: `host:port` of the store.
        store_writes_per_s: Writes that the store takes from all nodes.
        store_reads_per_s: Reads that the store takes from all nodes.
        record_most_bytes: Largest record.
        batch_most_bytes: Most bytes of records in one append.
        log_parts: Parts of a log that take appends side by side.
        member_ttl_least_ms: Least time after which a silent member is out.
        lease_most_ms: Longest lease that a worker grants.
        stop_grace_ms: Most time that a stopped run takes to end.
        leave_s: Time between a request to stop and the kill.
        early_ms: How much before its time a task may start.
        visible_ms: Time within which an accepted job must be known.
        keep_ended_s: Time for which an ended job's state is kept.
        pace_ms: Time after which a change of pace has its effect.
        harm_ms: Time for which a lasting task may miss its target.
        notice_ms: Time for which a task not at work counts as away.
        remote_factor: How much longer tasks take away from their rack.
        gang_wait_ms: Time that a gang's first member waits for the others.
        processors: Processors of the machine.
        link_mbps: Bandwidth of the machine's link.
        memory_mb: Memory that the process may use.
        inventory_address: `host:port` of the inventory, empty for none.
    """

    node: str
    data_centre: str
    callers_address: str
    readiness_address: str
    store_address: str
    store_writes_per_s: float
    store_reads_per_s: float
    record_most_bytes: int
    batch_most_bytes: int
    log_parts: int
    member_ttl_least_ms: int
    lease_most_ms: int
    stop_grace_ms: int
    leave_s: float
    early_ms: int
    visible_ms: int
    keep_ended_s: float
    pace_ms: int
    harm_ms: int
    notice_ms: int
    remote_factor: float
    gang_wait_ms: int
    processors: float
    link_mbps: float
    memory_mb: float
    inventory_address: str = ""

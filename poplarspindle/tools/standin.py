"""Runs the stand-in platform as a process of its own."""

from poplarspindle import log, programs, settings
from poplarspindle.tools.fakes import platform

logger = log.get_logger("standin")


def run(values: settings.Values) -> int:
    """Runs the stand-in until SIGTERM or SIGINT."""
    log.set_up(values.log_format, values.log_level)
    plan = platform.Plan(
        service_s=values.service_ms / 1000, hard_slots=values.hard_slots
    )
    fake = platform.Platform(plan, values.address)

    def start() -> None:
        logger.info("Started.", url=fake.start())

    return programs.run_until_stopped(start, fake.stop)


def main() -> None:
    """Runs `poplarspindle-standin`."""
    settings.run_command(
        settings.STANDIN, "Stands in for the platform in tests.", run
    )


if __name__ == "__main__":
    main()

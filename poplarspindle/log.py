"""Structured logs: short sentences with a fixed prefix for each part."""

import logging
import sys

import structlog

LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


def set_up(log_format: str = "text", level: str = "info") -> None:
    """Sets the form and the least level of all log lines.

    Args:
        log_format: `text` or `json`.
        level: A key of LEVELS.
    """
    renderer = (
        structlog.processors.JSONRenderer()
        if log_format == "json"
        else structlog.dev.ConsoleRenderer(colors=False)
    )
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )


def get_logger(part: str) -> structlog.stdlib.BoundLogger:
    """Returns a logger whose lines carry the part's name."""
    return structlog.get_logger(part=part)

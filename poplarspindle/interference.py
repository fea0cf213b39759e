"""Slowdown between services and batch families, learned from late samples."""

SERVICE_PREFIX = "service/"


def name_service(job: str) -> str:
    """Returns the service of a job, empty for a batch job."""
    if not job.startswith(SERVICE_PREFIX):
        return ""
    return job.removeprefix(SERVICE_PREFIX).partition("/")[0]

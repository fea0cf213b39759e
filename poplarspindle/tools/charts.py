"""Charts of replays; needs the optional extra `report`."""

import base64
import io
import pathlib

from poplarspindle.tools import measures

SUFFIXES = (".png", ".html")
SIZE_INCHES = (12, 8)
DOTS_PER_INCH = 100


def draw_report(
    title: str, summaries: list[measures.Summary], path: pathlib.Path
) -> None:
    """Draws one chart per measure, a bar per policy.

    Args:
        title: Name of the trace.
        summaries: One per policy.
        path: Ends in one of SUFFIXES.

    Raises:
        ImportError: matplotlib is not there; install the extra `report`.
    """
    picture = _draw_picture(title, summaries)
    if path.suffix == ".png":
        path.write_bytes(picture)
        return
    encoded = base64.b64encode(picture).decode()
    path.write_text(
        "<!doctype html><meta charset=utf-8>"
        f"<title>{title}</title>"
        f'<img alt="{title}" src="data:image/png;base64,{encoded}">',
        encoding="utf-8",
    )


def _draw_picture(title: str, summaries: list[measures.Summary]) -> bytes:
    from matplotlib.figure import Figure

    panels = (
        ("p99 / target, mean of services", lambda s: s.p99_over_target),
        ("batch work, core-seconds", lambda s: s.batch_core_s),
        ("evictions", lambda s: sum(s.evictions.values())),
        ("work while out, core-seconds", lambda s: s.drain_done_core_s),
    )
    figure = Figure(figsize=SIZE_INCHES)
    figure.suptitle(title)
    names = [summary.policy for summary in summaries]
    for axes, (label, pick) in zip(
        figure.subplots(2, 2).flat, panels, strict=True
    ):
        axes.bar(names, [pick(summary) for summary in summaries])
        axes.set_title(label)
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png", dpi=DOTS_PER_INCH)
    return buffer.getvalue()

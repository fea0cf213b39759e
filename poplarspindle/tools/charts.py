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
    _write(title, _draw_picture(title, summaries), path)


def draw_comparisons(comparisons: list, path: pathlib.Path) -> None:
    """Draws what each mechanism adds, a panel per load.

    Args:
        comparisons: `fleet_replay.Comparison` of all loads, in their order.
        path: Ends in one of SUFFIXES.

    Raises:
        ImportError: matplotlib is not there; install the extra `report`.
    """
    from matplotlib.figure import Figure

    kinds = list(dict.fromkeys(row.load for row in comparisons))
    figure = Figure(figsize=(SIZE_INCHES[0], 3 * len(kinds)))
    panels = figure.subplots(len(kinds), 1, squeeze=False).flat
    for axes, kind in zip(panels, kinds, strict=True):
        rows = [row for row in comparisons if row.load == kind and row.off]
        margins = [row.margin for row in rows]
        axes.barh(
            [row.off for row in rows], [row.worth for row in rows], xerr=margins
        )
        axes.set_title(kind)
    _write("What mechanisms add", _save(figure), path)


def _write(title: str, picture: bytes, path: pathlib.Path) -> None:
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
    return _save(figure)


def _save(figure) -> bytes:
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png", dpi=DOTS_PER_INCH)
    return buffer.getvalue()

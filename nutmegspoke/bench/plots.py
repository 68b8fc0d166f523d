"""Plots of measurements, saved as image files."""

from __future__ import annotations

from typing import TYPE_CHECKING

import matplotlib as mpl

mpl.use('Agg')

from matplotlib import pyplot  # noqa: E402 -- the backend is set first

if TYPE_CHECKING:
    import pathlib

    from nutmegspoke.bench.load_tool import LoadReport

_MS_PER_S = 1000


def plot_latencies(report: LoadReport, path: pathlib.Path) -> None:
    """Plot the latency percentiles of a load run as a bar chart.

    :param report: report of the run.
    :param path: image file to write; the suffix selects the format.
    """
    groups = {
        'first token': report.first_token_s,
        'token gap': report.token_gap_s,
        'whole answer': report.total_s,
    }
    figure, axes = pyplot.subplots()
    for offset, name in enumerate(('p50_s', 'p95_s', 'p99_s')):
        heights = [getattr(each, name) * _MS_PER_S for each in groups.values()]
        positions = [number + offset / 4 for number in range(len(groups))]
        axes.bar(positions, heights, width=0.25, label=name.removesuffix('_s'))
    axes.set_xticks([number + 0.25 for number in range(len(groups))])
    axes.set_xticklabels(groups)
    axes.set_yscale('log')
    axes.set_ylabel('ms')
    axes.set_title(f'{report.tokens_per_s:.0f} tokens/s')
    axes.legend()
    figure.savefig(path)
    pyplot.close(figure)

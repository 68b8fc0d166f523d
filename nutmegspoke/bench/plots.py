"""Plots of measurements, written to files."""

from __future__ import annotations

from typing import TYPE_CHECKING

import matplotlib as mpl

mpl.use('Agg')

from matplotlib import pyplot  # noqa: E402 -- the backend is chosen first

if TYPE_CHECKING:
    import pathlib

    from nutmegspoke.bench.load_tool import LoadReport

_MS_PER_S = 1000


def plot_latencies(report: LoadReport, path: pathlib.Path) -> None:
    """Plot the percentiles of a load run as bars.

    :param report: what the run saw.
    :param path: image file; its suffix chooses the format.
    """
    groups = {
        'first token': report.first_token_s,
        'token gap': report.token_gap_s,
        'whole answer': report.total_s,
    }
    figure, axes = pyplot.subplots()
    for offset, name in enumerate(('p50_s', 'p95_s', 'p99_s')):
        heights = [getattr(each, name) * _MS_PER_S for each in groups.values()]
        places = [number + offset / 4 for number in range(len(groups))]
        axes.bar(places, heights, width=0.25, label=name.removesuffix('_s'))
    axes.set_xticks([number + 0.25 for number in range(len(groups))])
    axes.set_xticklabels(groups)
    axes.set_yscale('log')
    axes.set_ylabel('ms')
    axes.set_title(f'{report.tokens_per_s:.0f} tokens/s')
    axes.legend()
    figure.savefig(path)
    pyplot.close(figure)

"""New cases for the properties that the tests play on the same few hundred each time.

    python -m benchmarks.property_search --count 100000 --jobs 6

Cases drawn anew, `--count` of each property of the follower of etcd and of the merge, in blocks of BLOCK with
a seed each. A case that fails is shrunk and printed with its block's seed, and `--first SEED --count 1`
plays that block again. Exit 0 where none failed. It takes some 12 ms a case and process.
"""

from __future__ import annotations

import argparse
import io
import sys
import time
import traceback
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor, as_completed
from contextlib import redirect_stdout
from dataclasses import dataclass
from multiprocessing import get_context
from typing import Any

from hypothesis import HealthCheck, given, seed, settings
from hypothesis.strategies import SearchStrategy

from tests.core.discovery import test_endpoint_merger_model as merge
from tests.core.discovery.etcd_watcher import test_delivery_properties as follow

BLOCK = 500  # cases of one seed: the search keeps what it has seen of a block


@dataclass(frozen=True)
class Property:
    """A test that takes drawn values, and what to draw them from."""

    test: Callable[..., Any]
    cases: tuple[SearchStrategy[Any], ...]


PROPERTIES = {
    "follower": Property(follow.test_delivery_random_faults_is_always_a_state_that_etcd_had, follow.CASES),
    "merge": Property(merge.test_view_equals_that_of_a_naive_model, merge.CASES),
}


def block(name: str, number: int, cases: int) -> str:
    """Play a block; what failed, or nothing."""
    wanted = PROPERTIES[name]
    drawn = given(*wanted.cases)(wanted.test.hypothesis.inner_test)  # type: ignore[attr-defined]
    ways = settings(
        max_examples=cases,
        deadline=None,
        derandomize=False,
        database=None,
        print_blob=False,
        suppress_health_check=list(HealthCheck),
    )
    said = io.StringIO()
    try:
        with redirect_stdout(said):
            ways(seed(number)(drawn))()
    except Exception as err:
        notes = "\n".join(getattr(err, "__notes__", ()))
        return f"{name}, seed {number}:\n{notes}\n{said.getvalue()}{traceback.format_exc(limit=-2)}"
    return ""


def main(argv: Sequence[str] | None = None) -> int:
    """Play them all; the exit code."""
    parser = argparse.ArgumentParser(
        "python -m benchmarks.property_search", description=__doc__.split("\n")[0]
    )
    parser.add_argument("--count", type=int, default=100_000, help="cases of each property (100000)")
    parser.add_argument("--first", type=int, default=1, help="the first block's seed (1)")
    parser.add_argument("--jobs", type=int, default=4, help="processes (4)")
    parser.add_argument("--property", choices=PROPERTIES, action="append", help="only this one")
    args = parser.parse_args(argv)
    if args.count < 1 or args.jobs < 1:
        parser.error(f"--count is {args.count}, --jobs is {args.jobs}: both have to be 1 or more")
    begun, failed, names = time.monotonic(), 0, args.property or list(PROPERTIES)
    blocks = -(-args.count // BLOCK)
    with ProcessPoolExecutor(args.jobs, mp_context=get_context("spawn")) as pool:
        numbers = range(args.first, args.first + blocks)
        played = [pool.submit(block, name, number, BLOCK) for name in names for number in numbers]
        for done in as_completed(played):
            if text := done.result():
                failed += 1
                print(text, flush=True)
    took = time.monotonic() - begun
    print(f"{blocks * BLOCK} cases each of {', '.join(names)}: {failed} blocks failed, {took:.0f} s")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

"""What the measurements rest on; the measurements themselves are no tests."""

from __future__ import annotations

import asyncio
import math
import socket
from dataclasses import replace

import pytest

from balancer.policy import load_shedding
from balancer.testbed.polled_discovery import max_calls_within
from balancer.testbed.scenario import Row as ScriptRow
from balancer.testbed.scenario import Script
from balancer.testbed.simulation import Scenario
from balancer.testbed.simulation.scenario import Trouble
from balancer.testbed.simulation.world import play
from benchmarks.decision_cost import Subject
from benchmarks.discovery_outage import herd
from benchmarks.fault_scenarios import longer
from benchmarks.proxies import (
    FLOOR,
    Client,
    Figure,
    Line,
    Relay,
    servers,
)
from benchmarks.proxies import table as proxies_table
from benchmarks.restart_recovery import (
    CASES,
    RULES,
    Returning,
    etcd,
    lists,
)
from benchmarks.result_table import (
    Row,
    cores,
    part_of,
    spread,
    table,
)
from benchmarks.sparse_traffic import DAYS, QUESTIONS, other


def test_the_most_within_any_one_second_is_counted() -> None:
    assert max_calls_within([]) == 0
    assert max_calls_within([5000.0, 0.0, 999.0, 1000.0, 1001.0]) == 3  # from 999 on


def test_a_part_of_all_is_at_or_below_the_figure() -> None:
    values = [float(n) for n in range(100, 0, -1)]
    assert part_of(values, 0.99) == 100.0 and part_of(values, 0.5) == 51.0 and part_of([7.0], 0.99) == 7.0
    assert math.isnan(part_of([], 0.5))
    assert spread([3.0, 1.0, 2.0], "ms") == "2.0 ms (1.0 to 3.0)" and spread([1.0], "ms") == "1.0 ms"


def test_cores_are_read() -> None:
    assert cores("1-3,5") == {1, 2, 3, 5}
    with pytest.raises(ValueError):
        cores("1-x")


def test_a_table_is_markdown() -> None:
    lines = table("Title", [Row("a", "10 ms", "20 ms"), Row("longer", "1")])
    assert lines == [
        "### Title",
        "",
        "| what   | figure | aim   |",
        "| ------ | ------ | ----- |",
        "| a      | 10 ms  | 20 ms |",
        "| longer | 1      |       |",
        "",
    ]


def test_nodes_that_lost_their_source_come_back_spread_out() -> None:
    figures = {row.what: row.figure for row in herd(200)}
    most = [int(figure.split()[0]) for what, figure in figures.items() if "any one second" in what]
    assert len(most) == 3 and all(0 < n < 200 for n in most), figures


def test_a_constant_is_set_for_one_play_alone() -> None:
    was = load_shedding.OVERLOAD_REQUESTS_PER_CORE
    with other(load_shedding, "OVERLOAD_REQUESTS_PER_CORE", (1e8, 1e9)):
        assert load_shedding.OVERLOAD_REQUESTS_PER_CORE == (1e8, 1e9)
    assert was == load_shedding.OVERLOAD_REQUESTS_PER_CORE
    for question in QUESTIONS.values():
        assert hasattr(question.module, question.name) and set(question.days) <= set(DAYS)


def test_a_failing_server_answers_what_it_should() -> None:
    some = replace(DAYS["failing"], seconds=6.0, nodes=10, servers=8)
    run = play(replace(some, troubles=(Trouble("fail", 1_000, 5_000, 0, 1.0),)))
    assert run.ok and 0 < run.errors < run.attempts / 8


def test_requests_that_were_refused_are_not_taken_for_fast_ones() -> None:
    subject = Subject(20, 1, 8)
    subject.requests()
    assert len(subject.spent) == 1 and len(subject.live) == 8
    subject.node.state.success_rate = -1.0
    subject.node.state.rng.random = lambda: 0.99  # type: ignore[method-assign]
    with pytest.raises((RuntimeError, IndexError)):
        subject.requests()


class Written:
    """A transport that keeps what was written."""

    def __init__(self) -> None:
        self.requests: list[bytes] = []

    def write(self, data: bytes) -> None:
        self.requests.append(data)


def test_each_answer_counts_once_in_whatever_pieces_it_comes() -> None:
    counts = {"served": 0, "refused": 0, "lost": 0}
    client, written = Client(7, counts), Written()
    client.transport = written  # type: ignore[assignment]
    client.ask()
    for part in (b"HTTP/1.1 200 OK\r\nContent-", b"Length: 3\r\n\r\no", b"k\n"):
        client.data_received(part)
    client.data_received(b"HTTP/1.1 503 No\r\ncontent-length:0\r\n\r\n")
    assert counts == {"served": 1, "refused": 1, "lost": 0} and len(set(written.requests)) == 3


def test_stand_in_servers_have_addresses_of_their_own_and_answer() -> None:
    with servers(3) as addresses:
        assert len({host for host, _ in addresses}) == 3
        for address in addresses:
            with socket.create_connection(address, 5) as one:
                one.sendall(b"GET / HTTP/1.1\r\n\r\n")
                assert one.recv(1000).startswith(b"HTTP/1.1 200 OK\r\n")


def test_medians_of_the_runs_are_told() -> None:
    figures = [Figure(10, 0.5, 900, 1.0, 0), Figure(12, 0.4, 1000, 0.9, 3), Figure(30, 0.3, 1100, 0.8, 0)]
    floor = Line(FLOOR, 1000, [Figure(6, 0.5, 2000, 1.0, 0)])
    table = proxies_table([floor, Line("x", 1000, figures), Line("alone", 4, figures)])
    assert table[3] == "| 1,000 | x | 12.0 (10.0 to 30.0) | 2.00 | 40% | 1,000 | 90% | 3 |"
    assert table[4].startswith("| 4 | alone | 12.0 (10.0 to 30.0) | - |")


def test_the_relay_passes_requests_on_in_turn_and_answers_back() -> None:
    async def ask() -> None:
        async with Relay(set()).run(addresses) as (port, _):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            for _ in range(4):
                writer.write(b"POST /x HTTP/1.1\r\nContent-Length: 0\r\n\r\n")
                head = await reader.readuntil(b"\r\n\r\n")
                assert head.startswith(b"HTTP/1.1 200 OK\r\n") and await reader.readexactly(3) == b"ok\n"
            writer.close()

    with servers(2) as addresses:
        asyncio.run(ask())


def test_a_fleet_that_starts_together_asks_for_its_list_in_turn() -> None:
    rows = [row for row in lists(200, 1) if row[0] == "0 s"]
    calls = {rule: float(row[2]) for rule, row in zip(RULES, rows, strict=True)}
    assert calls["turns"] == 1.0 < calls["watches"], rows


def test_the_follower_of_etcd_asks_in_turn_where_it_is_told_what_that_bears() -> None:
    for row in list(etcd(60, 1))[1:]:
        what, rule, calls, refused, *_, news = row
        if rule == "`bears = 50`":
            assert (calls, refused) == ("1.0", "0.0"), row
            assert what != "watches compacted" or news == "0.3 (0.3)", row
        elif rule == "`bears left out`":
            assert float(calls) > 1.0 or "away" in what, row


def test_nodes_with_a_list_half_wrong_come_back_without_a_breach() -> None:
    wrong = next(case for case in CASES if case.wrong)
    runs = {new: Returning(Scenario(24, 12, 16.0, 0.5, seed=3), wrong, new) for new in (False, True)}
    told = {new: run.run() for new, run in runs.items()}
    assert not any(any(run.rules.counts) for run in runs.values()), [run.rules.told for run in runs.values()]
    assert told[True].lost < told[False].lost and len(told[True].first_ms) >= 8


def test_what_goes_on_over_the_end_of_an_outage_lasts_as_much_longer() -> None:
    rows = [
        ("kill", 1.0, 0.0),
        ("die", 2.0, 0.5),
        ("lists silent", 2.0, 4.0),
        ("stand", 3.0, 2.0),
        ("vanish", 2.5, 5.0),
        ("kill", 5.0, 0.0),
    ]
    fault = tuple(ScriptRow(at_s, kind, for_s=for_s) for kind, at_s, for_s in rows)
    script = longer(Script("x", 9.0, 10.0, 2, 2, fault=fault), 60.0)
    assert script.seconds == 67.0 and [(row.at_s, row.for_s) for row in script.fault] == [
        (1.0, 0.0),
        (2.0, 0.5),
        (2.0, 62.0),
        (3.0, 60.0),
        (2.5, 63.0),
        (63.0, 0.0),
    ]
    still = Script("x", 9.0, 10.0, 2, 2, fault=fault[:2])
    assert longer(still, 60.0) is still

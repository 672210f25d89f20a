"""Scripts of faults: reading them, drawing them, and what is made of the records. Playing: tests/system."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from pathlib import Path

import pytest

from balancer.testbed import scenario as sc
from balancer.testbed.backend_emulator import SeenKeys, Server
from balancer.testbed.event_log import (
    Answered,
    Asked,
    Journal,
    NodeEnded,
    NodeStarted,
    Received,
    Record,
    Told,
    Wanted,
)
from balancer.testbed.service_profile import Site

HEAD = b'name = "x"\nseconds = 5\nrate = 10\nnodes = 4\nservers = 6\n'
SCRIPTS = sorted((Path(sc.__file__).parent / "scenarios").glob("*.toml"))


@pytest.mark.parametrize("path", SCRIPTS, ids=lambda path: path.stem)
def test_the_scripts_that_come_with_the_package_make_sense(path: Path) -> None:
    script = sc.parse(path.read_bytes())
    assert script.name == path.stem and script.least > 0 and sc.draw(script, 1)


def test_all_faults_of_a_script_are_named_at_once() -> None:
    text = HEAD.replace(b"rate = 10", b"rate = -1") + (
        b'[[fault]]\nat_s = 1\nkind = "explode"\n'
        b'[[fault]]\nat_s = 1\nkind = "stand"\ncount = 2\npart = 0.5\n'
        b'[[fault]]\nat_s = "x"\nkind = "kill"\n'
        b'[[fault]]\nat_s = 1\nkind = "kill"\nnode = "n1"\n'
    )
    with pytest.raises(sc.ScriptError) as caught:
        sc.parse(text)
    lines = str(caught.value).splitlines()
    for part in (
        "rate",
        "[0]: kind: found 'explode'; allowed: kill",
        "[1]: for_s",
        "[1]: found 2 of names",
        "[2]:",
        "[3]: Object contains unknown field `node`",
    ):
        assert any(part in line for line in lines), (part, lines)
    both = HEAD + b"state = true\netcd = true\n"
    says = HEAD + b'[[says]]\nnames = ["n9"]\nmemory = "kept"\n'
    table = HEAD + b"[fault]\n"
    for raw, part in (
        (b"\xff", "not TOML"),
        (both, "beside etcd"),
        (b"x = [", "not TOML"),
        (table, "[[fault]]"),
        (says, "says: found it without a memory"),
        (says, "says: names: found 'n9'; allowed: n0 to n3"),
    ):
        with pytest.raises(sc.ScriptError, match=part.replace("[", r"\[")):
            sc.parse(raw)


def test_who_is_not_there_is_named() -> None:
    text = HEAD + (
        b'[[fault]]\nat_s = 1\nkind = "kill"\nnames = ["n9"]\n'
        b'[[fault]]\nat_s = 1\nkind = "reset"\nnodes = ["s1"]\n'
        b'[[fault]]\nat_s = 1\nkind = "die"\nzone = "q"\n'
        b'[[fault]]\nat_s = 1\nkind = "die"\nnodes = ["n1"]\n'
        b'[[fault]]\nat_s = 1\nkind = "cut"\nfor_s = 1\nnames = ["discovery", "etcd"]\n'
        b'[[fault]]\nat_s = 1\nkind = "reset"\nway = "back"\n'
        b'[[fault]]\nat_s = 1\nkind = "stand"\nfor_s = 1\nwipe = true\nvalue = -1\n'
        b'[[fault]]\nat_s = 1\nkind = "disk swapped"\ncount = 1\n'
        b'[[fault]]\nat_s = 1\nkind = "peers cut"\nfor_s = 1\nnames = ["s1"]\n'
    )
    with pytest.raises(sc.ScriptError) as caught:
        sc.parse(text)
    lines = str(caught.value).splitlines()
    for line, part in zip(
        lines[4:],
        (
            "names: found 'etcd'; allowed: s1 to s6, discovery",
            "way: found it beside 'reset'; allowed: silent",
            "wipe: found it beside 'stand'; allowed: kill, terminate",
            "value: found -1 beside 'stand'",
            "found one node",
            "names: found 's1'; allowed: n0 to n3",
        ),
        strict=True,
    ):
        assert part in line, line
    assert len(lines) == 10 and "n0 to n3" in lines[0] and "n0 to n3" in lines[1] and "a, b" in lines[2]
    assert "strikes no path" in lines[3]


def test_a_seed_strikes_the_same_and_another_one_others() -> None:
    script = sc.parse(
        HEAD + b'[[fault]]\nat_s = 1\nkind = "kill"\npart = 0.5\nspread_s = 2\n'
        b'[[fault]]\nat_s = 2\nkind = "reset"\nzone = "b"\n'
    )
    first = sc.draw(script, 1)
    assert first == sc.draw(script, 1)
    assert len({tuple(sc.draw(script, seed)) for seed in range(20)}) > 3
    assert [one.at_s for one in first] == [1.0, 2.0, 3.0]
    (reset,) = [one for one in first if one.kind == "reset"]
    assert reset.names == ("s2", "s4", "s6") and reset.nodes == ("n0", "n1", "n2", "n3")
    assert str(reset) == "  2.00 s  reset s2 s4 s6 at n0 n1 n2 n3"


def request(number: int, at: float, served: float | None) -> list[Record]:
    name = f"r{number}"
    out: list[Record] = [Wanted(name, "c", at, at + 100, 1.0)]
    out.append(Asked(name, name, "n0", "c", "", "", "", at, at + 200))
    if served is not None:
        out.append(Answered(name, at + served, 200, True))
    return out


def test_the_time_to_full_service_is_until_a_second_is_as_good_as_before() -> None:
    records: list[Record] = []
    for number in range(100):  # ten a second for ten seconds; from 3 to 5 s all are late
        at = number * 100.0
        records += request(number, at, 500.0 if 3_000 <= at < 5_000 else 20.0)
    assert sc.full_service(records, 3_000.0, 3_000.0) == 2_000.0
    assert sc.full_service(records, 3_000.0, 6_000.0) == 0.0
    late = [r for n in range(100) for r in request(n, n * 100.0, 20.0 if n < 30 else None)]
    assert sc.full_service(late, 3_000.0, 3_000.0) is None and sc.full_service([], 0.0, 0.0) is None


def test_what_each_process_had_been_told_is_shown_as_of_the_breach() -> None:
    got = Received("s1", 1, 1, "a", "r", "", "", 1.0, 500.0, 501.0)
    records: list[Record] = [
        NodeStarted("n0", 0.0),
        NodeStarted("n1", 0.0),
        Told("n0", "platform", "x", 41, "s1", "up", 10.0),
        Told("n1", "platform", "x", 41, "s1", "up", 10.0),
        Told("n1", "platform", "x", 42, "s1", "gone", 300.0),
        NodeEnded("n0", 400.0, -9),
        Told("n0", "platform", "x", 43, "s1", "gone", 600.0),
        Told("n0", "platform", "x", 42, "s2", "up", 20.0),
    ]
    assert sc.beliefs(records, [got]) == [
        "n0, down, had been told: s1 up since 490 ms, revision 41 of platform",
        "n1, up, had been told: s1 gone since 200 ms, revision 42 of platform",
    ]
    assert sc.beliefs(records, []) == []


def test_a_script_that_fails_is_cut_down_to_what_makes_it_fail() -> None:
    strikes = [sc.Strike(float(n), "kill", (f"n{n}",)) for n in range(11)]
    played = 0

    async def fails(some: Sequence[sc.Strike]) -> bool:
        nonlocal played
        played += 1
        return {"n3", "n8"} <= {name for one in some for name in one.names}

    left = asyncio.run(sc.shrink(strikes, fails))
    assert [one.names for one in left] == [("n3",), ("n8",)] and played < 40


def test_what_is_over_a_scripts_own_bounds_is_said() -> None:
    def got(server: str, at: float) -> Received:
        return Received(server, 1, 1, "a", "r", "", "", 1.0, at, at)

    strikes = [
        sc.Strike(1.0, "fail", ("s1",), for_s=1.0),
        sc.Strike(3.0, "vanish", ("s2",)),
        sc.Strike(0.0, "drain", ("s3",)),
    ]
    times = (("s1", 1_900.0), ("s1", 2_000.0), ("s1", 2_999.0), ("s2", 3_999.0), ("s2", 4_000.0), ("s3", 5.0))
    records: list[Record] = [got(server, at) for server, at in times]
    assert sc.spent(records, strikes, 1_000.0) == (3, 6)
    records += [Answered(f"r{n}", 1.0, status, True) for n, status in enumerate((200, 429, 503, 500))]
    script = sc.parse(HEAD + b"spent = 0.5\nfailed = 0.25\npushed = 0.4\n")
    assert not list(sc._over(script, records, (3, 6), 0.4))
    lines = list(sc._over(script, [*records, Answered("r", 1.0, 0, False)], (4, 6), 0.41))
    assert lines == [
        "4 of 6 attempts came to servers that were made to fail, 50.0% is the most",
        "2 of 5 answers were failures, 25.0% is the most",
        "a cold server was sent 0.41 of what it may be sent, 0.40 is the most",
    ]


def test_what_nodes_say_of_their_return_and_what_servers_took_is_held_against_the_script() -> None:
    text = b'connects = 2\nstate = true\n[[says]]\nnames = ["n0", "n1", "n2"]\nmemory = "older"\nlife = 2\n'
    script = sc.parse(HEAD + text)
    good = {"memory": "older", "incarnation": 2, "state": "confirmed"}
    told = {"n0": good, "n1": good | {"memory": "kept"}, "n2": good | {"state": "provisional"}}
    assert [line.split(";")[0] for line in sc._said(script, told)] == [
        "n1 says memory kept, life 2, confirmed",
        "n2 says memory older, life 2, provisional",
    ]
    told |= {"n1": good, "n2": good | {"incarnation": 1}}
    assert len([*sc._said(script, told)]) == 1 and len([*sc._said(script, {})]) == 3
    assert not [*sc._said(script, told | {"n2": good})]
    quiet, busy = (Server(name, Site(), Journal(), SeenKeys()) for name in ("s1", "s2"))
    quiet.busiest, busy.busiest = 2, 3
    assert [*sc._crowded(script, (quiet, busy))] == ["s2 took 3 connections within a second, 2 is the most"]

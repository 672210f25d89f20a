"""The command line: its words, what each of them reads and prints, exit codes. Nothing is decided here.

- `run`, also without a word: one node, as the platform asks. `check`: both files, every fault.
- `members`: what the sources say of whom. `demo`: a small fleet on stand-ins; `lab`: scripts of faults on
  one.
- `timeline`, `events`, `why`, `report`: what a running node recorded (`dillport.cli_timeline`).

Exit code 0 is well, 1 a running node that cannot be asked, 2 files or words that make no sense. What a node
needs is imported by `run` alone, so that the other words answer at once.
"""

from __future__ import annotations

import argparse
import importlib
import importlib.util
import json
import os
import signal
import sys
from collections.abc import Callable, Iterable, Sequence
from pathlib import Path
from typing import Any

import dillport
from dillport.members import Address
from dillport.net.config import CONFIG, read
from dillport.operators import Operators, OperatorsError
from dillport.operators import load as load_operators

SETTINGS = "DILLPORT_SETTINGS"

_EPILOG = f"""\
environment:
  {CONFIG}        the JSON file in which the platform configures a node; needed by run and check
  PROXY_NAME, PROXY_LISTEN, PROXY_DISCOVERY
                      go before the file's own name, listen and discovery
  {SETTINGS}   the operators' settings where --settings is not given; without either, all that
                      they could switch on is off

signals of a running node:
  SIGTERM             answer what was taken, then end with exit code 0
  SIGHUP              read both files again; a bad one changes nothing and is named in the log

exit codes: 0 well; 1 a running node that cannot be asked; 2 files or words that make no sense

See deploy/dillport.toml for every key of the operators' settings.
"""


class Trouble(Exception):
    """What ends a command early: an exit code, and lines for standard error."""

    def __init__(self, code: int, *lines: str) -> None:
        super().__init__(*lines)
        self.code, self.lines = code, lines


def main(argv: Sequence[str] | None = None) -> int:
    """Carry out a command line; the exit code."""
    parser = _parser()
    args, rest = parser.parse_known_args(argv)
    if rest and args.command not in (_demo, _lab):
        parser.error(f"unknown: {' '.join(rest)}")
    if args.version:
        print(f"dillport {_version()}")
        return 0
    try:
        code = (args.command or _run)(args, rest)
        sys.stdout.flush()
    except Trouble as trouble:
        for line in trouble.lines:
            print(f"dillport: {line}", file=sys.stderr)
        return trouble.code
    except BrokenPipeError:  # as in `dillport members | head`
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return 0
    return int(code)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="dillport",
        description="A load-balancer node. Without a word it does what run does.",
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
        allow_abbrev=False,
    )
    _settings(parser, None)
    parser.add_argument("--version", action="store_true", help="print the version and end")
    parser.set_defaults(command=None)
    words = parser.add_subparsers(title="words", metavar="WORD")

    def word(name: str, command: Callable[..., int], text: str, **over: Any) -> argparse.ArgumentParser:
        out = words.add_parser(name, help=text, description=text, allow_abbrev=False, **over)
        out.set_defaults(command=command)
        return out

    _settings(word("run", _run, "run one node until SIGTERM or SIGINT"), argparse.SUPPRESS)
    check = word("check", _check, "check the settings and the configuration, and say what is on")
    _settings(check, argparse.SUPPRESS)
    members = word("members", _members, "show which servers the sources list, as a running node sees it")
    _settings(members, argparse.SUPPRESS)
    members.add_argument(
        "--control", metavar="PATH", type=Path,
        help="the node's control socket; without it that of the settings is asked, and if no node answers "
        "there, the servers that the configuration knows at the start are shown",
    )  # fmt: skip
    members.add_argument("--json", action="store_true", help="print JSON")
    line = word("timeline", _timeline, "show what servers did and what was decided about them")
    text = "a server's id, zone:NAME, class:NAME or node; without one, an overview"
    line.add_argument("servers", metavar="SERVER", nargs="*", help=text)
    text = "09:30, 09:30:15, 2026-12-01T09:30 or 15m (ago), which it is by default"
    line.add_argument("--from", dest="since", metavar="TIME", type=_moment, help=text)
    line.add_argument("--to", dest="until", metavar="TIME", type=_moment, help="now by default")
    line.add_argument("--class", dest="class_name", metavar="CLASS", help="answer times of this class alone")
    text = "show which servers departed from the usual, since when, by how much"
    events = word("events", _events, text)
    events.add_argument("--follow", action="store_true", help="go on with what comes")
    why = word("why", _why, "show each decision about a request, with its reason")
    why.add_argument("request", metavar="REQUEST-ID")
    report = word("report", _report, "write what servers did as one HTML file that opens without a network")
    report.add_argument("--html", metavar="FILE", type=Path, required=True, help="the file to write")
    text = "09:30, 09:30:15, 2026-12-01T09:30 or 15m (ago), which it is by default"
    report.add_argument("--from", dest="since", metavar="TIME", type=_moment, help=text)
    report.add_argument("--to", dest="until", metavar="TIME", type=_moment, help="now by default")
    for one in (line, events, why, report):
        _settings(one, argparse.SUPPRESS)
        text = "the node's control socket; that of the settings by default"
        one.add_argument("--control", metavar="PATH", type=Path, help=text)
        if one is not report:
            one.add_argument("--json", action="store_true", help="print JSON, one object a line")
    text = "play scripts of faults on real processes; see lab --help"
    word("lab", _lab, text, add_help=False)
    word("demo", _demo, "run a small fleet on stand-ins and judge it; see demo --help", add_help=False)
    return parser


def _settings(parser: argparse.ArgumentParser, default: object) -> None:
    text = f"the operators' settings, a TOML file (or {SETTINGS})"
    parser.add_argument("--settings", metavar="FILE", type=Path, default=default, help=text)


def _version() -> str:
    from importlib import metadata

    try:
        return metadata.version("dillport")
    except metadata.PackageNotFoundError:  # run from its folder, not installed
        return dillport.__version__


# --- files --------------------------------------------------------------------------------------------


def _operators_path(args: argparse.Namespace) -> Path | None:
    named = args.settings or os.environ.get(SETTINGS)
    return Path(named).absolute() if named else None


def _read_operators(args: argparse.Namespace) -> tuple[Path | None, Operators, list[str]]:
    """Where the operators' settings are, what they are, and what is wrong with them."""
    path = _operators_path(args)
    try:
        return path, load_operators(path) if path else Operators(), []
    except OperatorsError as err:
        return path, Operators(), [f"{path}: {line}" for line in str(err).splitlines()]


# --- words --------------------------------------------------------------------------------------------


def _run(args: argparse.Namespace, rest: list[str]) -> int:
    hung_up: list[int] = []  # as in __main__
    signal.signal(signal.SIGHUP, lambda number, frame: hung_up.append(number))
    path, operators, wrong = _read_operators(args)
    config, faults = read(os.environ)
    if config is None or wrong:
        raise Trouble(2, *(["; ".join(faults)] if faults else []), *wrong)
    from dillport.net import assemble

    return assemble.run(config, path, None if path is None else operators, hung_up)


def _check(args: argparse.Namespace, rest: list[str]) -> int:
    path, operators, wrong = _read_operators(args)
    config, faults = read(os.environ)
    if config is not None:
        print(f"configuration {os.environ[CONFIG]}: no fault")
        print(f"  {_cell(config.name or 'a node without a name')} listens on {_at(config.listen)}")
        print(f"  discovery is at {_at(config.discovery)}")
        print(f"  {_count(len(config.known.members), 'server')} known at the start")
        names = ", ".join(cls.name for cls in config.settings.classes)
        print(f"  {_count(len(config.settings.classes), 'class', 'es')}: {names}")
        for fault in config.known.faults:
            print(f"  the server {_cell(fault.key)} cannot be read and is left out: {_cell(fault.reason)}")
    if path is None:
        print(f"settings: none (neither --settings nor {SETTINGS}): all that they could switch on is off")
    elif not wrong:
        print(f"settings {path}: no fault")
        for line in operators.on() or ["nothing is on"]:
            print(f"  {line}")
    if faults or wrong:
        raise Trouble(2, *(f"configuration: {fault}" for fault in faults), *wrong)
    return 0


def _members(args: argparse.Namespace, rest: list[str]) -> int:
    from dillport.net.control import ControlError, ask

    told: dict[str, Any] | None = None
    if args.control is not None:
        try:
            told = ask(args.control, "members")
        except ControlError as err:
            raise Trouble(1, str(err)) from None
    else:
        _, operators, wrong = _read_operators(args)
        if wrong:
            raise Trouble(2, *wrong)
        if operators.control is not None:
            try:
                told = ask(operators.control.socket, "members")
            except ControlError as err:
                print(f"dillport: {err}; what the files say instead:", file=sys.stderr)
    if told is None:
        told = _members_of_files()
    if args.json:
        print(json.dumps(told, indent=1))
    else:
        _show(told)
    return 0


def _members_of_files() -> dict[str, Any]:
    """The servers that the configuration knows at the start, in the form in which a node tells its own."""
    config, faults = read(os.environ)
    if config is None:
        raise Trouble(2, *faults)
    known = config.known
    return {
        "members": [
            {
                "id": member.id,
                "address": _at(member.address),
                "phase": member.entry.phase.value,
                "zone": member.entry.zone,
                "weight": member.entry.weight,
                "sources": {"configuration": member.entry.phase.value},
            }
            for member in known.members
        ],
        "faults": [{"source": "configuration", "key": f.key, "reason": f.reason} for f in known.faults],
    }


def _moment(text: str) -> float:
    from dillport.cli_timeline import moment

    try:
        return moment(text)
    except ValueError:
        raise argparse.ArgumentTypeError(f"{text!r} is no time: 09:30, 2026-12-01T09:30 or 15m") from None


def _asked(args: argparse.Namespace, ask: Callable[[Path], None]) -> int:
    """Ask the node at the control socket that the words or the settings name."""
    from dillport.net.control import ControlError

    path = args.control
    if path is None:
        _, operators, wrong = _read_operators(args)
        if wrong:
            raise Trouble(2, *wrong)
        if operators.control is None:
            raise Trouble(2, "no node to ask: name its socket by --control, or settings with [control]")
        path = operators.control.socket
    try:
        ask(path)
    except ControlError as err:
        raise Trouble(1, str(err)) from None
    except KeyboardInterrupt:
        pass
    return 0


def _timeline(args: argparse.Namespace, rest: list[str]) -> int:
    from dillport import cli_timeline as told

    more = {"from": args.since, "to": args.until, "class": args.class_name}
    given = {key: value for key, value in more.items() if value is not None}
    return _asked(args, lambda path: told.timeline(path, args.servers, given, args.json, _columns))


def _events(args: argparse.Namespace, rest: list[str]) -> int:
    from dillport import cli_timeline as told

    return _asked(args, lambda path: told.events(path, args.follow, args.json))


def _why(args: argparse.Namespace, rest: list[str]) -> int:
    from dillport import cli_timeline as told

    return _asked(args, lambda path: told.why(path, args.request, args.json, _columns))


def _report(args: argparse.Namespace, rest: list[str]) -> int:
    from dillport import cli_timeline as told

    if importlib.util.find_spec("matplotlib") is None:
        raise Trouble(2, "report: no package matplotlib: the install `dillport[report]` has it")
    given = {k: v for k, v in (("from", args.since), ("to", args.until)) if v is not None}

    def write(path: Path) -> None:
        try:
            count = told.report(path, args.html, given)
        except OSError as err:
            raise Trouble(2, f"report: {args.html}: {err.strerror}") from None
        print(f"{args.html}: {_count(count, 'server')}")

    return _asked(args, write)


def _demo(args: argparse.Namespace, rest: list[str]) -> int:
    return _stand_ins("demo", rest)


def _lab(args: argparse.Namespace, rest: list[str]) -> int:
    return _stand_ins("play", rest)


def _stand_ins(module: str, rest: list[str]) -> int:
    """What runs on the stand-in world, which an installation may lack."""
    name = f"dillport.lab.{module}"
    try:
        found = importlib.import_module(name)
    except ModuleNotFoundError as err:
        if err.name == "msgspec":
            raise Trouble(2, "lab: no package msgspec: the install `dillport[timeline]` has it") from None
        if err.name not in (name, "dillport.lab"):
            raise
        raise Trouble(2, f"{module}: there is no {name} in this installation") from None
    return int(found.main(rest))


# --- tables -------------------------------------------------------------------------------------------


def _at(address: Address) -> str:
    host, port = address
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def _count(number: int, what: str, plural: str = "s") -> str:
    return f"{number} {what}{'' if number == 1 else plural}"


def _show(told: dict[str, Any]) -> None:
    """The sources and the members as tables, a column for what each source says; then what is unreadable."""
    if about := told.get("sources", []):
        keys = ["name", "role", "state", "revision", "members", "unreadable", "not_applied", "reason"]
        head = ["SOURCE", *(key.upper().replace("_", " ") for key in keys[1:])]
        _columns([head, *([_cell(source.get(key)) for key in keys] for source in about)])
        print()
    members = told.get("members", [])
    sources = sorted({source for member in members for source in member.get("sources", {})})
    columns = ["id", "address", "phase", "zone", "weight"]
    rows = [[name.upper() for name in columns] + [f"BY {source.upper()}" for source in sources]]
    for member in members:
        says = member.get("sources", {})
        rows.append([_cell(member.get(c)) for c in columns] + [_cell(says.get(s)) for s in sources])
    _columns(rows)
    print(_count(len(members), "server"))
    for fault in told.get("faults", []):
        print(f"cannot be read, from {fault['source']}: {_cell(fault['key'])}: {_cell(fault['reason'])}")


def _cell(value: object) -> str:
    """A value on one line; guards the terminal against what a list may hold."""
    text = "-" if value is None or value == "" else str(value)
    return text if text.isprintable() else repr(text)


def _columns(rows: Iterable[list[str]]) -> None:
    rows = list(rows)
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    for row in rows:
        print("  ".join(text.ljust(width) for text, width in zip(row, widths, strict=True)).rstrip())

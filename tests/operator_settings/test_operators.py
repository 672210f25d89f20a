"""The operators' file: what is read, every fault named with its key at once, no secret shown."""

from __future__ import annotations

import datetime
import os
import re
import tomllib
from dataclasses import fields
from pathlib import Path
from typing import Any

import pytest
import trustme
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from hypothesis import given, settings
from hypothesis import strategies as st

from balancer.net.etcd_component import etcd_config
from balancer.operator_settings import (
    ControlSettings,
    EtcdSettings,
    MetricsSettings,
    OperatorSettings,
    OperatorSettingsError,
    PeersSettings,
    TimelineSettings,
    changes,
    load,
    parse,
)

ROOT = Path(__file__).parents[2]
SECRET = "hunter2-never-shown"


@pytest.fixture(scope="module")
def folder(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """A folder with a password file, files to point at, a certificate and its key."""
    out = tmp_path_factory.mktemp("operators")
    (out / "password").write_text(f"{SECRET}\r\nnot this line\n")
    (out / "empty").write_text("\nsecond line\n")
    (out / "long").write_text("x" * 4097)
    (out / "latin").write_bytes(b"\xe4\n")
    (out / "plain").write_text("no certificate\n")
    made = trustme.CA().issue_cert("localhost")
    made.private_key_pem.write_to_path(out / "tls.key")
    made.cert_chain_pems[0].write_to_path(out / "tls.crt")
    return out


def test_the_example_switches_nothing_on_and_explains_every_key(tmp_path: Path) -> None:
    path = ROOT / "deploy" / "operators.toml"
    assert load(path) == OperatorSettings()
    lines = path.read_text(encoding="utf-8").splitlines()
    keys = [line.removeprefix("# ") for line in lines if re.match(r"# (\[|\w+ = )", line)]
    told: Any = tomllib.loads("\n".join(keys))
    assert set(told["membership"]["etcd"]) == {f.name for f in fields(EtcdSettings) if f.repr}
    assert set(told["control"]) == {f.name for f in fields(ControlSettings)}
    bare = EtcdSettings()
    for name in ("endpoints", "prefix", "format", "epoch", "role"):
        value = told["membership"]["etcd"][name]
        assert (tuple(value) if isinstance(value, list) else value) == getattr(bare, name), name
    assert told["control"]["socket"] == str(ControlSettings().socket)
    assert told["metrics"] == {"listen": "{}:{}".format(*MetricsSettings().listen)}
    assert told["timeline"] == {"memory_mb": TimelineSettings().memory_mb}
    assert told["state"] == {"directory": "state", "max_age": 86_400, "every": 10}
    assert set(told["peers"]) == {f.name for f in fields(PeersSettings) if f.repr}
    assert told["peers"]["listen"] == "{}:{}".format(*PeersSettings().listen)


def renewed(cert: Path, key: Path) -> bytes:
    """The certificate once more, for the same key, signed by itself: another number and an end of its own."""
    old = x509.load_pem_x509_certificate(cert.read_bytes())
    mine = serialization.load_pem_private_key(key.read_bytes(), None)
    assert isinstance(mine, ec.EllipticCurvePrivateKey)
    new = x509.CertificateBuilder(
        old.subject,
        old.subject,
        mine.public_key(),
        x509.random_serial_number(),
        old.not_valid_before_utc,
        old.not_valid_after_utc - datetime.timedelta(days=1),
    )
    return new.sign(mine, hashes.SHA256()).public_bytes(serialization.Encoding.PEM)


def etcd(**keys: object) -> dict[str, object]:
    """A file's tables with these keys in `[membership.etcd]`."""
    return {"membership": {"etcd": keys}}


def faults(raw: dict[str, object], folder: Path) -> dict[str, str]:
    """What is said of each path."""
    with pytest.raises(OperatorSettingsError) as caught:
        parse(raw, folder)
    found = [(fault.path, str(fault)) for fault in caught.value.faults]
    assert len(dict(found)) == len(found), f"one place is named twice: {found}"
    assert str(caught.value).splitlines() == [line for _, line in found], "one line a fault"
    assert SECRET not in str(caught.value)
    return dict(found)


def test_an_empty_file_switches_nothing_on(folder: Path) -> None:
    assert parse({}, folder) == OperatorSettings() and OperatorSettings().enabled_tables() == []


def test_a_table_that_is_there_is_on(folder: Path) -> None:
    got = parse(etcd(), folder).membership.etcd
    assert got is not None
    assert (got.endpoints, got.prefix) == (("http://127.0.0.1:2379",), "/dillport/members/")
    assert (got.format, got.epoch, got.role, got.user, got.password) == ("member", 0, "full", None, "")


def test_every_key_of_etcd_arrives(folder: Path) -> None:
    told = etcd(
        endpoints=["https://Etcd-1:2379/", "https://[::1]:2380"],
        prefix="svc/",
        format="grpc-naming",
        ca="tls.crt",
        cert=str(folder / "tls.crt"),
        key="tls.key",
        user="node",
        password_file="password",
        epoch=3,
        role="remove",
        bears=50,
    )
    whole = parse(told, folder)
    got = whole.membership.etcd
    assert got is not None
    assert got.endpoints == ("https://etcd-1:2379", "https://[::1]:2380") and got.prefix == "svc/"
    assert got.ca == got.cert == folder / "tls.crt" and got.key == folder / "tls.key"
    assert (got.format, got.user, got.password, got.epoch, got.role, got.bears) == (
        "grpc-naming",
        "node",
        SECRET,
        3,
        "remove",
        50,
    )
    assert etcd_config(got).bears == 50 and "50 whole lists a second" in got.summary()
    assert SECRET not in repr(whole) + str(whole) + "".join(whole.enabled_tables())


def test_control(tmp_path: Path) -> None:
    got = parse({"control": {"socket": f"{tmp_path}/c.sock"}}, tmp_path).control
    assert got is not None and got.socket == tmp_path / "c.sock"


HTTPS = {"endpoints": ["https://a:1"]}
BAD: dict[str, list[tuple[object, str]]] = {
    "endpoints": [
        ("http://a:1", r"found 'http://a:1'; allowed: an array of 1 to 16"),
        ([], "found an array of 0"),
        ([f"http://a:{n}" for n in range(1, 18)], "found an array of 17"),
    ],
    "prefix": [("", "1 to 512"), ("/members", 'ends in "/"'), ("a\n/", "printable"), (7, "found 7")],
    "format": [("etcd", 'found \'etcd\'; allowed: "member" or "grpc-naming"'), ([], "allowed")],
    "ca": [("nowhere", "nowhere': No such file"), (".", "no plain file"), ("a\0", "null"), (7, "a number")],
    "cert": [("nowhere", "nowhere': No such file")],
    "key": [("nowhere", "nowhere': No such file"), ("", "found ''")],
    "user": [("", "1 to 256"), (True, "found True")],
    "password_file": [
        ("nowhere", "No such file"),
        ("empty", "an empty first line"),
        ("long", "at most 4096 bytes"),
        ("latin", "not UTF-8"),
        ({"password": SECRET}, "found a table"),
    ],
    "epoch": [
        (-1, "found -1; allowed: a whole number from 0 on"),
        (1.0, "found 1.0"),
        (True, "found True"),
        (2**400, "a number of 401 bits"),
    ],
    "bears": [(0, "found 0; allowed: a whole number from 1 on"), (2.5, "found 2.5"), ("50", "found '50'")],
    "role": [("both", '"full" or "add" or "remove"'), (datetime.date(2026, 1, 1), "found datetime.date")],
}
GOOD: dict[str, object] = HTTPS | {
    "prefix": "p/",
    "format": "member",
    "ca": "tls.crt",
    "cert": "tls.crt",
    "key": "tls.key",
    "user": "u",
    "password_file": "password",
    "epoch": 1,
    "role": "add",
    "bears": 50,
}


@pytest.mark.parametrize(("name", "value", "named"), [(k, v, n) for k, rows in BAD.items() for v, n in rows])
def test_each_bad_key_is_named(folder: Path, name: str, value: object, named: str) -> None:
    found = faults(etcd(**GOOD | {name: value}), folder)
    assert list(found) == [f"membership.etcd.{name}"]
    assert named in found[f"membership.etcd.{name}"]


@pytest.mark.parametrize(
    "url",
    [
        "a:1",
        "ftp://a:1",
        "http://a",
        "http://:1",
        "http://a:0",
        "http://a:65536",
        "http://a:1/x",
        "http://a:1?x",
        "http://[::::]:1",
        "http://a b:1",
        "//a:1",
        "http://[::1:2",
        5,
        "",
    ],
)
def test_a_url_needs_scheme_host_port_and_nothing_else(folder: Path, url: object) -> None:
    found = faults(etcd(endpoints=["http://ok:1", url]), folder)
    assert list(found) == ["membership.etcd.endpoints[1]"]
    assert "allowed: http://HOST:PORT or https://HOST:PORT" in found["membership.etcd.endpoints[1]"]


def test_a_password_in_a_wrong_place_is_not_shown(folder: Path) -> None:
    found = faults(etcd(endpoints=[f"http://root:{SECRET}@a:1"], password=SECRET), folder)
    assert "with a user or a password in it" in found["membership.etcd.endpoints[0]"]
    assert '(the nearest is "password_file")' in found["membership.etcd.password"]


@pytest.mark.parametrize(
    ("keys", "paths"),
    [
        ({"endpoints": ["http://a:1", "https://a:2"]}, ["endpoints"]),
        ({"endpoints": ["http://a:1", "http://b:1", "http://A:1/"]}, ["endpoints[2]"]),
        ({"ca": "tls.crt"}, ["ca"]),
        ({"cert": "tls.crt", "key": "tls.key"}, ["cert", "key"]),
        (HTTPS | {"cert": "tls.crt"}, ["cert"]),
        (HTTPS | {"key": "tls.key"}, ["key"]),
        (HTTPS | {"ca": "plain"}, ["ca"]),
        (HTTPS | {"cert": "plain", "key": "tls.key"}, ["cert"]),
        ({"user": "u"}, ["user"]),
        ({"password_file": "password"}, ["password_file"]),
    ],
)
def test_what_has_to_go_together(folder: Path, keys: dict[str, object], paths: list[str]) -> None:
    assert list(faults(etcd(**keys), folder)) == [f"membership.etcd.{path}" for path in paths]


def test_a_key_behind_a_password_is_a_fault_and_asks_nobody(
    folder: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    key = serialization.load_pem_private_key((folder / "tls.key").read_bytes(), None)
    (folder / "locked.key").write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.TraditionalOpenSSL,
            serialization.BestAvailableEncryption(b"x"),
        )
    )
    assert list(faults(etcd(**HTTPS, cert="tls.crt", key="locked.key"), folder)) == ["membership.etcd.cert"]
    assert "pass phrase" not in "".join(capfd.readouterr())


@pytest.mark.parametrize(
    "socket", ["c.sock", "", "/", "/nowhere-at-all/c.sock", "/tmp/" + "x" * 96, 5, "/tmp/\0"]
)
def test_a_bad_socket_is_named(tmp_path: Path, socket: object) -> None:
    assert "at most 100 bytes" in faults({"control": {"socket": socket}}, tmp_path)["control.socket"]


@pytest.mark.parametrize("value", [1, 0, -5, 5_000, 1.5, "16", True])
def test_a_time_line_of_no_size_is_named(tmp_path: Path, value: object) -> None:
    assert list(faults({"timeline": {"memory_mb": value}}, tmp_path)) == ["timeline.memory_mb"]


@pytest.mark.parametrize(
    "listen", ["", "x", "localhost:1", "127.0.0.1", "127.0.0.1:70000", "::1:80", "[127.0.0.1]:1", 5]
)
def test_an_address_that_is_none_is_named(tmp_path: Path, listen: object) -> None:
    assert list(faults({"timeline": {}, "metrics": {"listen": listen}}, tmp_path)) == ["metrics.listen"]


def test_metrics_need_the_time_line_and_say_who_may_read_them(tmp_path: Path) -> None:
    assert list(faults({"metrics": {}}, tmp_path)) == ["metrics"]
    on = parse({"timeline": {}, "metrics": {"listen": "[::]:9"}}, tmp_path).enabled_tables()
    assert any("http://[::]:9/metrics; ANYBODY" in line for line in on)
    assert not any(
        "ANYBODY" in line for line in parse({"timeline": {}, "metrics": {}}, tmp_path).enabled_tables()
    )


def test_a_time_line_without_its_package_is_named(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("importlib.util.find_spec", lambda name: None)
    assert "snowloom-balancer[timeline]" in faults({"timeline": {}}, tmp_path)["timeline"]


KNOWN = {
    "control": "membership, control, timeline, metrics, state, peers",
    "etcd": "etcd",
    "endpoints": "endpoints, prefix, format, ca, cert, key, user, password_file, epoch, role, bears",
}


@pytest.mark.parametrize(
    ("raw", "path", "near"),
    [
        ({"controll": {}}, "controll", "control"),
        ({"membership": {"ectd": {}}}, "membership.ectd", "etcd"),
        (etcd(endpoint=[]), "membership.etcd.endpoint", "endpoints"),
    ],
)
def test_an_unknown_key_names_the_nearest(
    tmp_path: Path, raw: dict[str, object], path: str, near: str
) -> None:
    named = f'found an unknown key; allowed: {KNOWN[near]} (the nearest is "{near}")'
    assert named in faults(raw, tmp_path)[path]


@pytest.mark.parametrize("raw", [{"membership": 5}, {"membership": {"etcd": [1]}}, {"control": "x"}])
def test_a_table_has_to_be_one(tmp_path: Path, raw: dict[str, object]) -> None:
    assert "allowed: a table" in next(iter(faults(raw, tmp_path).values()))


@settings(max_examples=60, deadline=None)
@given(data=st.data())
def test_all_faults_are_named_at_once_and_no_other(folder: Path, data: st.DataObject) -> None:
    broken = data.draw(st.sets(st.sampled_from(sorted(BAD))))
    keys: dict[str, object] = dict(GOOD)
    for name in broken:
        keys[name] = data.draw(st.sampled_from([value for value, _ in BAD[name]]))
    unknown = data.draw(st.sets(st.from_regex(r"[a-z]{1,8}", fullmatch=True), max_size=3)) - set(GOOD)
    raw = etcd(**keys, **dict.fromkeys(unknown, 1))
    if broken | unknown:
        assert set(faults(raw, folder)) == {f"membership.etcd.{name}" for name in broken | unknown}
    else:
        assert parse(raw, folder).membership.etcd


NAMES = st.sampled_from(["membership", "etcd", "control", "socket", *BAD]) | st.text(max_size=5)
VALUES = st.recursive(
    st.sampled_from([None, True, 2**400, datetime.date(2026, 1, 1)])
    | st.integers()
    | st.floats()
    | st.text(max_size=9),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(NAMES, inner, max_size=4),
    max_leaves=12,
)


@settings(max_examples=300, deadline=None)
@given(st.dictionaries(NAMES, VALUES) | st.builds(lambda d: etcd(**d), st.dictionaries(NAMES, VALUES)))
def test_anything_is_settings_or_named_faults(folder: Path, raw: dict[str, object]) -> None:
    try:
        got: object = parse(raw, folder)
    except OperatorSettingsError as err:
        assert len(str(err).splitlines()) == len(err.faults) > 0
        assert all(fault.path and fault.found and fault.allowed for fault in err.faults)
        got = err
    unknown = raw.keys() - {"membership", "control"}
    named = {fault.path for fault in got.faults} if isinstance(got, OperatorSettingsError) else set()
    assert all(any(path in (name, repr(name)) for path in named) for name in unknown)


def test_faults_are_bounded(tmp_path: Path) -> None:
    with pytest.raises(OperatorSettingsError) as caught:
        parse({f"key{n}": 1 for n in range(5000)}, tmp_path)
    lines = str(caught.value).splitlines()
    assert len(lines) == 101 and lines[-1] == "and 4900 more"


@pytest.mark.parametrize(
    ("content", "named"),
    [
        (b"a = 1\nb = '\xff'\n", "line 2: not UTF-8"),
        (b"[control]\nsocket = x\n", "line 2: not TOML: Invalid value"),
        (b"[control]\n\nsocket = '/x", "line 3: not TOML"),
        (b"\na = " + b"9" * 5000, "line 2: a number too long"),
        (b"\na = [\n" + b"[" * 5000, "line 3: arrays or tables nested too deep"),
        (b"[membership.etcd]\nepoch = 0x" + b"f" * 5000, "epoch: found a number of 20000 bits"),
        (b"#" * (256 * 1024 + 1), "longer than 256 KiB"),
    ],
)
def test_a_spoiled_file_is_one_plain_fault(tmp_path: Path, content: bytes, named: str) -> None:
    path = tmp_path / "s.toml"
    path.write_bytes(content)
    with pytest.raises(OperatorSettingsError) as caught:
        load(path)
    assert named in str(caught.value) and len(str(caught.value).splitlines()) == 1


def test_a_file_that_is_not_there_is_named(tmp_path: Path) -> None:
    with pytest.raises(OperatorSettingsError, match=r"s\.toml': No such file"):
        load(tmp_path / "s.toml")


def test_a_pipe_holds_nobody_up(tmp_path: Path) -> None:
    os.mkfifo(tmp_path / "s.toml")
    with pytest.raises(OperatorSettingsError, match="no plain file"):
        load(tmp_path / "s.toml")


def test_relative_paths_start_at_the_files_folder(folder: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    (folder / "s.toml").write_text('[membership.etcd]\nuser = "u"\npassword_file = "password"\n')
    monkeypatch.chdir(folder.parent)
    got = load(Path(folder.name) / "s.toml").membership.etcd
    assert got is not None and got.password == SECRET and got.password_file == folder / "password"


def test_changes_are_told_and_no_secret_with_them(folder: Path, tmp_path: Path) -> None:
    (tmp_path / "password").write_text("another")
    keys: dict[str, Any] = {"user": "u", "password_file": "password"}
    old, new = parse(etcd(**keys), folder), parse(etcd(**keys, epoch=2), tmp_path)
    lines = changes(old, new)
    assert lines[1:] == ["membership.etcd.epoch is 2, was 0", "membership.etcd.password changed"]
    assert lines[0].startswith("membership.etcd.password_file is ")
    assert changes(old, old) == []
    assert changes(old, OperatorSettings()) == ["membership.etcd is off"]
    assert changes(OperatorSettings(), old)[0].startswith(
        "membership.etcd is on: etcd at http://127.0.0.1:2379"
    )


def test_a_certificate_renewed_in_its_place_is_a_change(folder: Path, tmp_path: Path) -> None:
    """Guards against a node that goes on with a certificate until it runs out, as its path is the same."""
    for name in ("tls.crt", "tls.key"):
        (tmp_path / name).write_bytes((folder / name).read_bytes())
    told = etcd(endpoints=["https://a:1"], ca="tls.crt", cert="tls.crt", key="tls.key")
    old = parse(told, tmp_path)
    assert changes(old, parse(told, tmp_path)) == []
    (tmp_path / "tls.crt").write_bytes(renewed(tmp_path / "tls.crt", tmp_path / "tls.key"))
    new = parse(told, tmp_path)
    assert changes(old, new) == ["membership.etcd.certificates changed"] and old != new
    assert new.membership.etcd is not None and new.membership.etcd.certificates not in repr(new)


KEY, OLDER = "0123456789abcdef" * 2, "fedcba98" * 8


def peers(folder: Path, text: str = KEY, mode: int = 0o600, **keys: Any) -> dict[str, object]:
    """A file's tables with these keys in `[peers]`, beside a key file."""
    (folder / "peers.key").write_bytes(text.encode("latin-1"))
    (folder / "peers.key").chmod(mode)
    return {"peers": {"key_file": "peers.key", **keys}}


def test_peers_arrive_with_their_keys_which_nobody_is_shown(tmp_path: Path) -> None:
    raw = peers(
        tmp_path,
        f"# new\n{KEY}\n{OLDER}\n",
        listen="0.0.0.0:7000",
        address="10.0.0.1:7001",
        seeds=["10.0.0.1:7001", "10.0.0.2:7001"],
    )
    one, other = parse(raw, tmp_path), parse(peers(tmp_path, OLDER), tmp_path)
    got = one.peers
    assert got is not None and KEY in got.keys and got.address == ("10.0.0.1", 7001)
    assert got.seeds == (("10.0.0.1", 7001), ("10.0.0.2", 7001))
    lines = changes(other, one)
    assert "peers.keys changed" in lines
    said = "\n".join([*one.enabled_tables(), *lines, repr(one)])
    assert KEY not in said and OLDER not in said and "10.0.0.2:7001" in said


@pytest.mark.parametrize(("mode", "open_"), [(0o600, False), (0o640, False), (0o644, True), (0o660, True)])
def test_a_key_file_that_others_may_use_is_told(tmp_path: Path, mode: int, open_: bool) -> None:
    said = parse(peers(tmp_path, mode=mode), tmp_path).enabled_tables()[0]
    assert ("WARNING" in said) is open_ and (f"{mode:04o}" in said) is open_


@pytest.mark.parametrize(
    ("keys", "text", "path", "named"),
    [
        ({}, "secret\n", "key_file", "line 1: not a key"),
        ({}, "\n", "key_file", "0 keys"),
        ({}, f"{KEY}\nsecret\n", "key_file", "line 2: not a key"),
        ({}, "\xe4", "key_file", "not ASCII"),
        ({}, "#" * 4097, "key_file", "a longer file"),
        ({"listen": "0.0.0.0:1"}, KEY, "address", "nothing beside listen at 0.0.0.0"),
        ({"address": "0.0.0.0:1"}, KEY, "address", "of one machine"),
        ({"seeds": ["10.0.0.1:1", "10.0.0.1:0"]}, KEY, "seeds[1]", "a port from 1 on"),
        ({"seeds": [f"10.0.0.1:{n}" for n in range(1, 18)]}, KEY, "seeds", "an array of 17"),
        ({"seeds": ["[::1]:1"]}, KEY, "seeds", "all IPv4 or all IPv6"),
        ({"listen": "[::1]:1", "address": "10.0.0.1:1"}, KEY, "address", "all IPv4 or all IPv6"),
    ],
)
def test_peers_that_make_no_sense_are_named(
    tmp_path: Path, keys: dict[str, Any], text: str, path: str, named: str
) -> None:
    found = faults(peers(tmp_path, text, **keys), tmp_path)
    assert list(found) == [f"peers.{path}"] and named in found[f"peers.{path}"]
    assert "secret" not in found[f"peers.{path}"]


def test_peers_need_a_key(tmp_path: Path) -> None:
    assert list(faults({"peers": {}}, tmp_path)) == ["peers.key_file"]

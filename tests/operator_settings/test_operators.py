"""The operators' file: parsing, faults with the paths of their keys, changes, and no secret is shown."""

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
    """A folder with a password file, invalid files, a certificate and its key."""
    directory = tmp_path_factory.mktemp("operators")
    (directory / "password").write_text(f"{SECRET}\r\nnot this line\n")
    (directory / "empty").write_text("\nsecond line\n")
    (directory / "long").write_text("x" * 4097)
    (directory / "latin").write_bytes(b"\xe4\n")
    (directory / "plain").write_text("no certificate\n")
    certificate = trustme.CA().issue_cert("localhost")
    certificate.private_key_pem.write_to_path(directory / "tls.key")
    certificate.cert_chain_pems[0].write_to_path(directory / "tls.crt")
    return directory


def test_example_file_enables_nothing_and_explains_every_key(tmp_path: Path) -> None:
    path = ROOT / "deploy" / "operators.toml"
    assert load(path) == OperatorSettings()
    lines = path.read_text(encoding="utf-8").splitlines()
    keys = [line.removeprefix("# ") for line in lines if re.match(r"# (\[|\w+ = )", line)]
    raw: Any = tomllib.loads("\n".join(keys))
    assert set(raw["membership"]["etcd"]) == {
        table_field.name for table_field in fields(EtcdSettings) if table_field.repr
    }
    assert set(raw["control"]) == {table_field.name for table_field in fields(ControlSettings)}
    defaults = EtcdSettings()
    for name in ("endpoints", "prefix", "format", "epoch", "role"):
        value = raw["membership"]["etcd"][name]
        assert (tuple(value) if isinstance(value, list) else value) == getattr(defaults, name), name
    assert raw["control"]["socket"] == str(ControlSettings().socket)
    assert raw["metrics"] == {"listen": "{}:{}".format(*MetricsSettings().listen)}
    assert raw["timeline"] == {"memory_mb": TimelineSettings().memory_mb}
    assert raw["state"] == {"directory": "state", "max_age": 86_400, "every": 10}
    assert set(raw["peers"]) == {
        table_field.name for table_field in fields(PeersSettings) if table_field.repr
    }
    assert raw["peers"]["listen"] == "{}:{}".format(*PeersSettings().listen)


def renewed_certificate(cert: Path, key: Path) -> bytes:
    """A self-signed certificate for the same key, with another serial number and another end."""
    old_certificate = x509.load_pem_x509_certificate(cert.read_bytes())
    private_key = serialization.load_pem_private_key(key.read_bytes(), None)
    assert isinstance(private_key, ec.EllipticCurvePrivateKey)
    builder = x509.CertificateBuilder(
        old_certificate.subject,
        old_certificate.subject,
        private_key.public_key(),
        x509.random_serial_number(),
        old_certificate.not_valid_before_utc,
        old_certificate.not_valid_after_utc - datetime.timedelta(days=1),
    )
    return builder.sign(private_key, hashes.SHA256()).public_bytes(serialization.Encoding.PEM)


def etcd_tables(**keys: object) -> dict[str, object]:
    """The tables of a file with these keys in `[membership.etcd]`."""
    return {"membership": {"etcd": keys}}


def faults_by_path(raw: dict[str, object], folder: Path) -> dict[str, str]:
    """The text of each fault by its path."""
    with pytest.raises(OperatorSettingsError) as error:
        parse(raw, folder)
    found = [(fault.path, str(fault)) for fault in error.value.faults]
    assert len(dict(found)) == len(found), f"a path has two faults: {found}"
    assert str(error.value).splitlines() == [line for _, line in found], "each fault has one line"
    assert SECRET not in str(error.value)
    return dict(found)


def test_parse_empty_file_enables_nothing(folder: Path) -> None:
    assert parse({}, folder) == OperatorSettings() and OperatorSettings().enabled_tables() == []


def test_parse_present_table_is_enabled(folder: Path) -> None:
    settings = parse(etcd_tables(), folder).membership.etcd
    assert settings is not None
    assert (settings.endpoints, settings.prefix) == (("http://127.0.0.1:2379",), "/dillport/members/")
    assert (settings.format, settings.epoch, settings.role, settings.user, settings.password) == (
        "member",
        0,
        "full",
        None,
        "",
    )


def test_parse_etcd_every_key_is_parsed(folder: Path) -> None:
    raw = etcd_tables(
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
    operator_settings = parse(raw, folder)
    etcd_settings = operator_settings.membership.etcd
    assert etcd_settings is not None
    assert (
        etcd_settings.endpoints == ("https://etcd-1:2379", "https://[::1]:2380")
        and etcd_settings.prefix == "svc/"
    )
    assert (
        etcd_settings.ca == etcd_settings.cert == folder / "tls.crt"
        and etcd_settings.key == folder / "tls.key"
    )
    assert (
        etcd_settings.format,
        etcd_settings.user,
        etcd_settings.password,
        etcd_settings.epoch,
        etcd_settings.role,
        etcd_settings.bears,
    ) == (
        "grpc-naming",
        "node",
        SECRET,
        3,
        "remove",
        50,
    )
    assert etcd_config(etcd_settings).bears == 50 and "50 whole lists a second" in etcd_settings.summary()
    assert SECRET not in repr(operator_settings) + str(operator_settings) + "".join(
        operator_settings.enabled_tables()
    )


def test_parse_control_socket_is_parsed(tmp_path: Path) -> None:
    control_settings = parse({"control": {"socket": f"{tmp_path}/c.sock"}}, tmp_path).control
    assert control_settings is not None and control_settings.socket == tmp_path / "c.sock"


HTTPS_KEYS = {"endpoints": ["https://a:1"]}
INVALID_VALUES: dict[str, list[tuple[object, str]]] = {
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
VALID_KEYS: dict[str, object] = HTTPS_KEYS | {
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


@pytest.mark.parametrize(
    ("name", "value", "expected_fault"), [(k, v, n) for k, rows in INVALID_VALUES.items() for v, n in rows]
)
def test_parse_etcd_invalid_value_is_named(
    folder: Path, name: str, value: object, expected_fault: str
) -> None:
    found = faults_by_path(etcd_tables(**VALID_KEYS | {name: value}), folder)
    assert list(found) == [f"membership.etcd.{name}"]
    assert expected_fault in found[f"membership.etcd.{name}"]


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
def test_parse_url_without_scheme_host_and_port_is_named(folder: Path, url: object) -> None:
    found = faults_by_path(etcd_tables(endpoints=["http://ok:1", url]), folder)
    assert list(found) == ["membership.etcd.endpoints[1]"]
    assert "allowed: http://HOST:PORT or https://HOST:PORT" in found["membership.etcd.endpoints[1]"]


def test_parse_misplaced_password_is_not_shown(folder: Path) -> None:
    found = faults_by_path(etcd_tables(endpoints=[f"http://root:{SECRET}@a:1"], password=SECRET), folder)
    assert "with a user or a password in it" in found["membership.etcd.endpoints[0]"]
    assert '(the nearest is "password_file")' in found["membership.etcd.password"]


@pytest.mark.parametrize(
    ("keys", "paths"),
    [
        ({"endpoints": ["http://a:1", "https://a:2"]}, ["endpoints"]),
        ({"endpoints": ["http://a:1", "http://b:1", "http://A:1/"]}, ["endpoints[2]"]),
        ({"ca": "tls.crt"}, ["ca"]),
        ({"cert": "tls.crt", "key": "tls.key"}, ["cert", "key"]),
        (HTTPS_KEYS | {"cert": "tls.crt"}, ["cert"]),
        (HTTPS_KEYS | {"key": "tls.key"}, ["key"]),
        (HTTPS_KEYS | {"ca": "plain"}, ["ca"]),
        (HTTPS_KEYS | {"cert": "plain", "key": "tls.key"}, ["cert"]),
        ({"user": "u"}, ["user"]),
        ({"password_file": "password"}, ["password_file"]),
    ],
)
def test_parse_etcd_inconsistent_keys_are_named(
    folder: Path, keys: dict[str, object], paths: list[str]
) -> None:
    assert list(faults_by_path(etcd_tables(**keys), folder)) == [f"membership.etcd.{path}" for path in paths]


def test_parse_encrypted_key_is_named_without_a_prompt(
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
    assert list(faults_by_path(etcd_tables(**HTTPS_KEYS, cert="tls.crt", key="locked.key"), folder)) == [
        "membership.etcd.cert"
    ]
    assert "pass phrase" not in "".join(capfd.readouterr())


@pytest.mark.parametrize(
    "socket", ["c.sock", "", "/", "/nowhere-at-all/c.sock", "/tmp/" + "x" * 96, 5, "/tmp/\0"]
)
def test_parse_control_invalid_socket_is_named(tmp_path: Path, socket: object) -> None:
    assert "at most 100 bytes" in faults_by_path({"control": {"socket": socket}}, tmp_path)["control.socket"]


@pytest.mark.parametrize("value", [1, 0, -5, 5_000, 1.5, "16", True])
def test_parse_timeline_invalid_size_is_named(tmp_path: Path, value: object) -> None:
    assert list(faults_by_path({"timeline": {"memory_mb": value}}, tmp_path)) == ["timeline.memory_mb"]


@pytest.mark.parametrize(
    "listen", ["", "x", "localhost:1", "127.0.0.1", "127.0.0.1:70000", "::1:80", "[127.0.0.1]:1", 5]
)
def test_parse_metrics_invalid_address_is_named(tmp_path: Path, listen: object) -> None:
    assert list(faults_by_path({"timeline": {}, "metrics": {"listen": listen}}, tmp_path)) == [
        "metrics.listen"
    ]


def test_parse_metrics_require_the_timeline_and_warn_of_other_readers(tmp_path: Path) -> None:
    assert list(faults_by_path({"metrics": {}}, tmp_path)) == ["metrics"]
    enabled_tables = parse({"timeline": {}, "metrics": {"listen": "[::]:9"}}, tmp_path).enabled_tables()
    assert any("http://[::]:9/metrics; ANYBODY" in line for line in enabled_tables)
    assert not any(
        "ANYBODY" in line for line in parse({"timeline": {}, "metrics": {}}, tmp_path).enabled_tables()
    )


def test_parse_timeline_without_its_package_is_named(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("importlib.util.find_spec", lambda name: None)
    assert "snowloom-balancer[timeline]" in faults_by_path({"timeline": {}}, tmp_path)["timeline"]


ALLOWED_KEYS = {
    "control": "membership, control, timeline, metrics, state, peers",
    "etcd": "etcd",
    "endpoints": "endpoints, prefix, format, ca, cert, key, user, password_file, epoch, role, bears",
}


@pytest.mark.parametrize(
    ("raw", "path", "nearest_key"),
    [
        ({"controll": {}}, "controll", "control"),
        ({"membership": {"ectd": {}}}, "membership.ectd", "etcd"),
        (etcd_tables(endpoint=[]), "membership.etcd.endpoint", "endpoints"),
    ],
)
def test_parse_unknown_key_names_the_nearest(
    tmp_path: Path, raw: dict[str, object], path: str, nearest_key: str
) -> None:
    expected_fault = (
        f'found an unknown key; allowed: {ALLOWED_KEYS[nearest_key]} (the nearest is "{nearest_key}")'
    )
    assert expected_fault in faults_by_path(raw, tmp_path)[path]


@pytest.mark.parametrize("raw", [{"membership": 5}, {"membership": {"etcd": [1]}}, {"control": "x"}])
def test_parse_value_in_place_of_a_table_is_named(tmp_path: Path, raw: dict[str, object]) -> None:
    assert "allowed: a table" in next(iter(faults_by_path(raw, tmp_path).values()))


@settings(max_examples=60, deadline=None)
@given(data=st.data())
def test_parse_all_faults_and_no_others_are_named(folder: Path, data: st.DataObject) -> None:
    broken = data.draw(st.sets(st.sampled_from(sorted(INVALID_VALUES))))
    keys: dict[str, object] = dict(VALID_KEYS)
    for name in broken:
        keys[name] = data.draw(st.sampled_from([value for value, _ in INVALID_VALUES[name]]))
    unknown = data.draw(st.sets(st.from_regex(r"[a-z]{1,8}", fullmatch=True), max_size=3)) - set(VALID_KEYS)
    raw = etcd_tables(**keys, **dict.fromkeys(unknown, 1))
    if broken | unknown:
        assert set(faults_by_path(raw, folder)) == {f"membership.etcd.{name}" for name in broken | unknown}
    else:
        assert parse(raw, folder).membership.etcd


KEY_NAMES = st.sampled_from(["membership", "etcd", "control", "socket", *INVALID_VALUES]) | st.text(
    max_size=5
)
VALUES = st.recursive(
    st.sampled_from([None, True, 2**400, datetime.date(2026, 1, 1)])
    | st.integers()
    | st.floats()
    | st.text(max_size=9),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(KEY_NAMES, inner, max_size=4),
    max_leaves=12,
)


@settings(max_examples=300, deadline=None)
@given(
    st.dictionaries(KEY_NAMES, VALUES)
    | st.builds(lambda d: etcd_tables(**d), st.dictionaries(KEY_NAMES, VALUES))
)
def test_parse_any_tables_yield_settings_or_faults(folder: Path, raw: dict[str, object]) -> None:
    try:
        result: object = parse(raw, folder)
    except OperatorSettingsError as err:
        assert len(str(err).splitlines()) == len(err.faults) > 0
        assert all(fault.path and fault.found and fault.allowed for fault in err.faults)
        result = err
    unknown = raw.keys() - {"membership", "control"}
    named = {fault.path for fault in result.faults} if isinstance(result, OperatorSettingsError) else set()
    assert all(any(path in (name, repr(name)) for path in named) for name in unknown)


def test_parse_many_faults_are_bounded(tmp_path: Path) -> None:
    with pytest.raises(OperatorSettingsError) as error:
        parse({f"key{n}": 1 for n in range(5000)}, tmp_path)
    lines = str(error.value).splitlines()
    assert len(lines) == 101 and lines[-1] == "and 4900 more"


@pytest.mark.parametrize(
    ("content", "expected_fault"),
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
def test_load_malformed_file_is_one_fault(tmp_path: Path, content: bytes, expected_fault: str) -> None:
    path = tmp_path / "s.toml"
    path.write_bytes(content)
    with pytest.raises(OperatorSettingsError) as error:
        load(path)
    assert expected_fault in str(error.value) and len(str(error.value).splitlines()) == 1


def test_load_missing_file_is_named(tmp_path: Path) -> None:
    with pytest.raises(OperatorSettingsError, match=r"s\.toml': No such file"):
        load(tmp_path / "s.toml")


def test_load_named_pipe_does_not_block(tmp_path: Path) -> None:
    os.mkfifo(tmp_path / "s.toml")
    with pytest.raises(OperatorSettingsError, match="no plain file"):
        load(tmp_path / "s.toml")


def test_load_relative_paths_are_relative_to_the_file(folder: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    (folder / "s.toml").write_text('[membership.etcd]\nuser = "u"\npassword_file = "password"\n')
    monkeypatch.chdir(folder.parent)
    etcd_settings = load(Path(folder.name) / "s.toml").membership.etcd
    assert (
        etcd_settings is not None
        and etcd_settings.password == SECRET
        and etcd_settings.password_file == folder / "password"
    )


def test_changes_are_listed_without_secrets(folder: Path, tmp_path: Path) -> None:
    (tmp_path / "password").write_text("another")
    keys: dict[str, Any] = {"user": "u", "password_file": "password"}
    old, new = parse(etcd_tables(**keys), folder), parse(etcd_tables(**keys, epoch=2), tmp_path)
    lines = changes(old, new)
    assert lines[1:] == ["membership.etcd.epoch is 2, was 0", "membership.etcd.password changed"]
    assert lines[0].startswith("membership.etcd.password_file is ")
    assert changes(old, old) == []
    assert changes(old, OperatorSettings()) == ["membership.etcd is off"]
    assert changes(OperatorSettings(), old)[0].startswith(
        "membership.etcd is on: etcd at http://127.0.0.1:2379"
    )


def test_changes_renewed_certificate_with_the_same_path_is_listed(folder: Path, tmp_path: Path) -> None:
    """Its path is the same, so a node that compares paths would use the old certificate until it expires."""
    for name in ("tls.crt", "tls.key"):
        (tmp_path / name).write_bytes((folder / name).read_bytes())
    raw = etcd_tables(endpoints=["https://a:1"], ca="tls.crt", cert="tls.crt", key="tls.key")
    old = parse(raw, tmp_path)
    assert changes(old, parse(raw, tmp_path)) == []
    (tmp_path / "tls.crt").write_bytes(renewed_certificate(tmp_path / "tls.crt", tmp_path / "tls.key"))
    new = parse(raw, tmp_path)
    assert changes(old, new) == ["membership.etcd.certificates changed"] and old != new
    assert new.membership.etcd is not None and new.membership.etcd.certificates not in repr(new)


KEY, OLD_KEY = "0123456789abcdef" * 2, "fedcba98" * 8


def peers_tables(folder: Path, text: str = KEY, mode: int = 0o600, **keys: Any) -> dict[str, object]:
    """The tables of a file with these keys in `[peers]`; also writes the key file."""
    (folder / "peers.key").write_bytes(text.encode("latin-1"))
    (folder / "peers.key").chmod(mode)
    return {"peers": {"key_file": "peers.key", **keys}}


def test_parse_peers_keys_are_parsed_and_not_shown(tmp_path: Path) -> None:
    raw = peers_tables(
        tmp_path,
        f"# new\n{KEY}\n{OLD_KEY}\n",
        listen="0.0.0.0:7000",
        address="10.0.0.1:7001",
        seeds=["10.0.0.1:7001", "10.0.0.2:7001"],
    )
    new, old = parse(raw, tmp_path), parse(peers_tables(tmp_path, OLD_KEY), tmp_path)
    peers_settings = new.peers
    assert (
        peers_settings is not None
        and KEY in peers_settings.keys
        and peers_settings.address == ("10.0.0.1", 7001)
    )
    assert peers_settings.seeds == (("10.0.0.1", 7001), ("10.0.0.2", 7001))
    lines = changes(old, new)
    assert "peers.keys changed" in lines
    shown_text = "\n".join([*new.enabled_tables(), *lines, repr(new)])
    assert KEY not in shown_text and OLD_KEY not in shown_text and "10.0.0.2:7001" in shown_text


@pytest.mark.parametrize(
    ("mode", "has_warning"), [(0o600, False), (0o640, False), (0o644, True), (0o660, True)]
)
def test_summary_warns_if_others_can_access_the_key_file(
    tmp_path: Path, mode: int, has_warning: bool
) -> None:
    summary = parse(peers_tables(tmp_path, mode=mode), tmp_path).enabled_tables()[0]
    assert ("WARNING" in summary) is has_warning and (f"{mode:04o}" in summary) is has_warning


@pytest.mark.parametrize(
    ("keys", "text", "path", "expected_fault"),
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
def test_parse_peers_invalid_value_is_named(
    tmp_path: Path, keys: dict[str, Any], text: str, path: str, expected_fault: str
) -> None:
    found = faults_by_path(peers_tables(tmp_path, text, **keys), tmp_path)
    assert list(found) == [f"peers.{path}"] and expected_fault in found[f"peers.{path}"]
    assert "secret" not in found[f"peers.{path}"]


def test_parse_peers_without_a_key_file_is_named(tmp_path: Path) -> None:
    assert list(faults_by_path({"peers": {}}, tmp_path)) == ["peers.key_file"]

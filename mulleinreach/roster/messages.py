"""The messages between nodes as typed values, and their Cap'n Proto form."""

from __future__ import annotations

from dataclasses import dataclass, field, fields
from pathlib import Path

import capnp

SCHEMA_PATH = Path(__file__).with_name("peer.capnp")
capnp.remove_import_hook()
_schema = capnp.load(str(SCHEMA_PATH))


@dataclass(frozen=True)
class Hello:
    """First message of each side of a connection; ``nonce`` is fresh and random."""

    node: str
    incarnation: str
    nonce: bytes


@dataclass(frozen=True)
class Proof:
    """Second message of each side: shows that it holds the key ``key_id``."""

    key_id: str
    digest: bytes


@dataclass(frozen=True)
class Demand:
    """What callers of an organisation ask for at the sender; rate in requests/s."""

    organisation: str
    rate: float
    running: float


@dataclass(frozen=True)
class Grant:
    """A part of the sender's share, lent to the receiver for a fixed time."""

    organisation: str
    rate: float
    slots: int


@dataclass(frozen=True)
class ReplicaReport:
    """What the sender knows of a group that it watches; ``age_ms`` in milliseconds.

    The epoch names the group: each is given out once.
    """

    epoch: int
    whole: bool
    age_ms: int
    running: int
    waiting: int
    slots: int
    sent: int


@dataclass(frozen=True)
class HostReport:
    """What the sender last read from an engine, ``age_ms`` milliseconds ago."""

    host: str
    incarnation: int
    replica: str
    epoch: int
    state: str
    last_order: str
    age_ms: int
    in_flight: int = 0


@dataclass(frozen=True)
class Ping:
    """Asks a peer for evidence and load."""

    seq: int
    config_version: int
    demands: list[Demand] = field(default_factory=list)
    wants_hosts: bool = False


@dataclass(frozen=True)
class Pong:
    """Answers the ping ``seq``; ``vouches`` is false until the sender has read the table."""

    seq: int
    config_version: int
    vouches: bool
    replicas: list[ReplicaReport] = field(default_factory=list)
    hosts: list[HostReport] = field(default_factory=list)
    grants: list[Grant] = field(default_factory=list)
    leaving: bool = False
    leaving_hosts: list[str] = field(default_factory=list)


@dataclass(frozen=True)
class Withdrawal:
    """The sender saw that a replica is no longer whole; voids earlier evidence."""

    replica: str
    epoch: int
    reason: str


@dataclass(frozen=True)
class ConfigPush:
    """A configuration that the receiver doesn't have yet, as JSON."""

    version: int
    document: str


Message = Hello | Proof | Ping | Pong | Withdrawal | ConfigPush

_MESSAGE_NAMES: dict[type, str] = {
    Hello: "hello",
    Proof: "proof",
    Ping: "ping",
    Pong: "pong",
    Withdrawal: "withdrawal",
    ConfigPush: "config",
}
_MESSAGE_TYPES = {name: message_type for message_type, name in _MESSAGE_NAMES.items()}
_STRUCT_LIST_FIELDS = {
    "demands": Demand,
    "grants": Grant,
}
_TEXT_LIST_FIELDS = {"leaving_hosts"}
# Sent a column a field: one call for each column costs less than one for each value.
_COLUMNAR_FIELDS = {"replicas": ReplicaReport, "hosts": HostReport}


def _to_camel_case(name: str) -> str:
    head, *rest = name.split("_")
    return head + "".join(part.capitalize() for part in rest)


_FIELD_NAMES = {
    message_type: [(f.name, _to_camel_case(f.name)) for f in fields(message_type)]
    for message_type in [*_MESSAGE_NAMES, *_STRUCT_LIST_FIELDS.values(), *_COLUMNAR_FIELDS.values()]
}


def encode(message: Message) -> bytes:
    """Return ``message`` packed, without the length before it.

    Examples
    ========

    >>> decode(encode(Withdrawal("r1", 3, "host lost")))
    Withdrawal(replica='r1', epoch=3, reason='host lost')
    """
    envelope = _schema.Envelope.new_message()
    _write_struct(envelope.init(_MESSAGE_NAMES[type(message)]), message)
    return envelope.to_bytes_packed()


def _write_struct(builder, value) -> None:
    for name, wire_name in _FIELD_NAMES[type(value)]:
        field_value = getattr(value, name)
        if name in _COLUMNAR_FIELDS:
            _write_columns(builder.init(wire_name), _COLUMNAR_FIELDS[name], field_value)
            continue
        if name not in _STRUCT_LIST_FIELDS:
            setattr(builder, wire_name, field_value)
            continue
        items = builder.init(wire_name, len(field_value))
        for index, item in enumerate(field_value):
            _write_struct(items[index], item)


def _write_columns(builder, message_type: type, rows: list) -> None:
    if not rows:
        return
    for name, wire_name in _FIELD_NAMES[message_type]:
        setattr(builder, wire_name, [getattr(row, name) for row in rows])


def _read_columns(message_type: type, reader) -> list:
    """Return the rows; a message whose columns differ in length is refused."""
    names = [wire_name for _, wire_name in _FIELD_NAMES[message_type]]
    if len(getattr(reader, names[0])) == 0:
        # Most answers carry no hosts: eight empty lists would cost as much as ten rows.
        return []
    columns = [list(getattr(reader, wire_name)) for wire_name in names]
    if len({len(column) for column in columns}) > 1:
        raise ValueError(f"columns of {message_type.__name__} differ in length")
    return [message_type(*row) for row in zip(*columns, strict=True)]


def decode(packed: bytes) -> Message:
    """Read one message; raises ``ValueError`` on anything that isn't one."""
    try:
        envelope = _schema.Envelope.from_bytes_packed(packed)
        name = str(envelope.which)
        return _read_struct(_MESSAGE_TYPES[name], getattr(envelope, name))
    except (capnp.KjException, KeyError, UnicodeDecodeError) as error:
        raise ValueError(f"{len(packed)} bytes are not a message: {error}") from error


def _read_struct(message_type: type, reader):
    values = {}
    for name, wire_name in _FIELD_NAMES[message_type]:
        field_value = getattr(reader, wire_name)
        if name in _COLUMNAR_FIELDS:
            field_value = _read_columns(_COLUMNAR_FIELDS[name], field_value)
        elif name in _STRUCT_LIST_FIELDS:
            field_value = [_read_struct(_STRUCT_LIST_FIELDS[name], item) for item in field_value]
        elif name in _TEXT_LIST_FIELDS:
            field_value = list(field_value)
        values[name] = field_value
    return message_type(**values)

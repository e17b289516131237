"""Schema of a node's settings file."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, field_validator

from mulleinreach.common import Address

Name = Annotated[str, Field(pattern=r"^[a-z0-9]([a-z0-9._-]{0,62}[a-z0-9])?$")]
Sha256 = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]


class StrictModel(BaseModel):
    """Base class of the sections of a settings file; unknown keys are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)


def _check_address(text: str) -> str:
    Address.parse(text)
    return text


class NodeIdentity(StrictModel):
    """Name and location of the node."""

    name: Name
    hall: Name
    region: Name


class ListenSettings(StrictModel):
    """The three addresses a node listens on, each ``host:port``."""

    callers: str
    operators: str
    peers: str

    _check = field_validator("callers", "operators", "peers")(_check_address)


class PlatformSettings(StrictModel):
    """Addresses of the platform's services, each ``host:port``."""

    table: str
    objects: str
    host_list: str

    _check = field_validator("table", "objects", "host_list")(_check_address)


class OperatorSettings(StrictModel):
    """One operator: a role and the SHA-256 of the bearer token, in hexadecimal."""

    name: Name
    role: Literal["viewer", "operator"]
    token_sha256: Sha256


class PeerKeySettings(StrictModel):
    """A key shared by all nodes, and the source of its secret.

    Explanation
    ===========

    ``secret`` is ``env:NAME`` or ``file:PATH``. A node signs with the first key of
    the list and accepts every key of the list. To rotate a key, append the new key
    on all nodes, move it to the front on all nodes, then remove the old one.
    """

    id: Name
    secret: Annotated[str, Field(pattern=r"^(env|file):.+$")]

    def read_secret(self) -> bytes:
        """Return the secret; raises ``KeyError`` or ``OSError`` if it is missing."""
        kind, _, location = self.secret.partition(":")
        if kind == "env":
            return os.environ[location].encode()
        return Path(location).read_bytes().strip()


class TimingSettings(StrictModel):
    """Intervals and lifetimes in seconds; all nodes must use the same values."""

    table_poll_s: float = Field(0.5, gt=0, le=10)
    peer_ping_s: float = Field(0.5, gt=0, le=10)
    host_poll_s: float = Field(0.5, gt=0, le=10)
    host_list_poll_s: float = Field(1.0, gt=0, le=60)
    evidence_fresh_s: float = Field(2.0, gt=0, le=60)
    whole_fresh_s: float = Field(2.0, gt=0, le=60)
    host_lost_s: float = Field(3.0, gt=0, le=600)
    lease_s: float = Field(6.0, gt=0, le=600)
    clock_rate_error: float = Field(0.02, ge=0, le=0.2)
    claim_interval_s: float = Field(0.25, gt=0, le=5)
    drain_deadline_s: float = Field(120.0, gt=0, le=3600)
    first_token_s: float = Field(10.0, gt=0, le=600)
    token_gap_s: float = Field(5.0, gt=0, le=600)


class LimitSettings(StrictModel):
    """Limits on requests of callers and on the data that a node stores.

    Explanation
    ===========

    ``client_connections`` and ``client_memory_bytes`` bound the connections of clients, and the
    requests and untaken answers that they make a node hold, at each of its two interfaces.
    ``head_timeout_s`` is the time from the first byte of a request's head to its end,
    ``idle_timeout_s`` that between two requests, and to take some bytes of an answer.
    """

    body_bytes: int = Field(4_000_000, ge=1024, le=64_000_000)
    json_depth: int = Field(32, ge=2, le=200)
    answer_bytes: int = Field(16_000_000, ge=1024, le=256_000_000)
    resume_bytes: int = Field(1_000_000, ge=0, le=64_000_000)
    queue_length: int = Field(256, ge=0, le=100_000)
    explained_requests: int = Field(10_000, ge=10, le=1_000_000)
    client_connections: int = Field(2000, ge=8, le=100_000)
    client_memory_bytes: int = Field(128_000_000, ge=1_000_000)
    head_timeout_s: float = Field(10.0, gt=0, le=3600)
    idle_timeout_s: float = Field(75.0, gt=0, le=3600)


class EngineSettings(StrictModel):
    """Properties of the model engines of this deployment.

    Explanation
    ===========

    Engines in ``unchecked_domains`` don't check the epoch of an order, so orders to
    them need additional checks. ``load_streams`` is the number of hosts that can load
    weights concurrently at full speed; ``host_load_s`` is the time that one host then
    takes, in seconds.
    """

    unchecked_domains: list[Name] = []
    load_streams: int = Field(8, ge=1, le=1000)
    host_load_s: float = Field(60.0, gt=0, le=7200)


class NodeSettings(StrictModel):
    """Settings file of one node."""

    kind: Literal["node"]
    deployment: Name
    node: NodeIdentity
    listen: ListenSettings
    platform: PlatformSettings
    operators: list[OperatorSettings] = Field(min_length=1)
    peer_keys: list[PeerKeySettings] = Field(min_length=1)
    timing: TimingSettings = TimingSettings()
    limits: LimitSettings = LimitSettings()
    engines: EngineSettings = EngineSettings()

    @field_validator("timing")
    @classmethod
    def _check_timing(cls, timing: TimingSettings) -> TimingSettings:
        if timing.evidence_fresh_s <= 2 * timing.peer_ping_s:
            raise ValueError(
                f"evidence_fresh_s {timing.evidence_fresh_s} must exceed"
                f" twice peer_ping_s {timing.peer_ping_s}"
            )
        return timing

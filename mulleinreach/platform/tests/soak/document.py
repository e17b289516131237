"""What operators of the soak's deployment write: its configuration."""

from __future__ import annotations

from dataclasses import asdict, dataclass

MODEL_SERVICE, PLAIN_SERVICE = "soak-model", "soak-desk"
CALLER_HOST = "soak.example"
# Seconds for which a host is cold, and the requests a second that it bears then: less than
# a model's only head is sent (11 a second), about what each of three is sent.
COLD_S = 5.0
COLD_PER_S = 2.0
# The bound on a cold host: COLD_PER_S times the overage, and the slack, in any second.
COLD_OVERAGE = 1.5
COLD_SLACK = 1.0
STREAM_MAX_ATTEMPTS = 2
# How long requests for the plain service may take.
PLAIN_TIMEOUT_S = 3.0
# Requests for the plain service that may be repeated.
STOCK_PREFIX = "/stock/"
# Streams of so many events crash the replicas that run them, where a soak has such requests.
FATAL_PIECES = 13
# The prompt part that crashes the replicas which write on it, where a soak has one.
FATAL_PART = "fa7a1"


@dataclass(frozen=True)
class CallerLimits:
    """Limits on callers' requests; those of a gateway's own defaults aren't written."""

    max_header_bytes: int | None = None
    max_body_bytes: int | None = None
    header_timeout_ms: int | None = None

    def to_document(self) -> dict:
        """Return the limits that are set, as operators write them."""
        return {name: value for name, value in asdict(self).items() if value is not None}


@dataclass(frozen=True)
class DocumentOptions:
    """What operators change in a configuration beside its keys."""

    idle_timeout_ms: int = 15_000
    stream_timeout_ms: int = 8_000
    plain_timeout_s: float = PLAIN_TIMEOUT_S
    has_extra_route: bool = False
    are_streams_resumable: bool = True
    limits: CallerLimits = CallerLimits()


def make_document(
    version: int, keys: list[str], options: DocumentOptions = DocumentOptions()
) -> dict:
    """Return the operator's configuration."""
    model = {
        "kind": "streaming",
        "service": MODEL_SERVICE,
        "resumable": options.are_streams_resumable,
        "max_attempts": STREAM_MAX_ATTEMPTS,
    }
    plain = {"service": PLAIN_SERVICE}
    common = {"host": CALLER_HOST, "priority": 1, "target_latency_ms": 500}
    timeout = {"timeout_ms": options.stream_timeout_ms}
    extra = {**common, **model, **timeout, "name": "x", "path_prefix": "/extra/"}
    return {
        "version": version,
        "limits": {"idle_timeout_ms": options.idle_timeout_ms, **options.limits.to_document()},
        "routes": [
            *([extra] if options.has_extra_route else []),
            {**common, **model, **timeout, "name": "s", "path_prefix": "/stream/"},
            {
                **common,
                **plain,
                "name": "u",
                "path_prefix": "/order/",
                "kind": "unsafe",
                "timeout_ms": int(1000 * options.plain_timeout_s),
            },
            {
                **common,
                **plain,
                "name": "r",
                "path_prefix": STOCK_PREFIX,
                "kind": "safe",
                "max_attempts": 2,
                "timeout_ms": int(1000 * options.plain_timeout_s),
            },
        ],
        "services": [
            {
                "name": MODEL_SERVICE,
                "cold_s": COLD_S,
                "cold_per_s": COLD_PER_S,
                "engine": {
                    "slots": 13,
                    "step_ms": 6.0,
                    "read_per_s": 46000.0,
                    "loads_per_s": 8.0,
                    "loads_at_once": 8,
                    "models": [
                        {"name": "large", "size": 4, "share": 0.67, "load_s": 0.4, "warm_s": 0.2},
                        {"name": "small", "size": 2, "share": 0.33, "load_s": 0.4, "warm_s": 0.2},
                    ],
                },
            },
            {"name": PLAIN_SERVICE},
        ],
        "tenants": [{"name": "soak", "api_keys": keys}],
    }

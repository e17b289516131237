"""The guards against values from outside that the code behind them can't bear."""

from __future__ import annotations

from benchmarks.breakage import Breakage

COMMON = "mulleinreach/common"
DOCUMENTS = "mulleinreach/platform/tests/test_odd_documents.py"
HEADERS = "mulleinreach/platform/tests/test_odd_headers.py"
ADDRESSES = f"{COMMON}/tests/test_address.py"
CONNECT = "create_connection(protocol_factory, address.host, address.port)\n"

VALUE_BREAKAGES = [
    Breakage(
        "ROWS",
        "a duty that failed runs again",
        f"{COMMON}/tasks.py",
        'logging.error("event=task_restarted task=%s error=%r", name, error, exc_info=error)',
        "raise",
        f"{DOCUMENTS} -k duties",
    ),
    Breakage(
        "ROWS",
        "documents are not nested deeper than they can be written again",
        f"{COMMON}/checked.py",
        "> MAX_DEPTH and _depth(document) > MAX_DEPTH",
        "< 0",
        f"{DOCUMENTS} -k standard_json",
    ),
    Breakage(
        "CONFIG",
        "a configuration that can't be read is passed on to nobody",
        "mulleinreach/platform/sources.py",
        'document = b"" if configuration is None else pack_document(row.value)',
        "document = pack_document(row.value)",
        f"{DOCUMENTS} -k leaves_no_document",
    ),
    Breakage(
        "ROWS",
        "numbers of headers are bounded",
        f"{COMMON}/http_fields.py",
        "return number if abs(number) <= MAX_NUMBER else None",
        "return number",
        HEADERS,
    ),
    Breakage(
        "ROWS",
        "counts have few digits",
        f"{COMMON}/http_fields.py",
        " and len(text) <= MAX_COUNT_DIGITS",
        "",
        f"{DOCUMENTS} -k era",
    ),
    Breakage(
        "ROWS",
        "the address of a server is one that can be connected to",
        f"{COMMON}/checked.py",
        "if not address.is_connectable():",
        "if False:",
        ADDRESSES,
    ),
    Breakage(
        "BUDGET",
        "a host that can't be resolved fails like one that nobody answers at",
        f"{COMMON}/net.py",
        f"{CONNECT}        except ValueError as error:",
        f"{CONNECT}        except ArithmeticError as error:",
        f"{ADDRESSES} -k resolved",
    ),
]

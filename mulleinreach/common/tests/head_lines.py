"""Sound and malformed lines in the head of a message, after RFC 9112, section 5."""

PLACES = ["first", "between", "last"]
CONTROLS = [*range(0x20), 0x7F]
SEPARATORS = b' "(),/;<=>?@[\\]{}'
NOT_ASCII = b"\x80\xff"
NOT_IN_NAMES = [*CONTROLS, *SEPARATORS, *NOT_ASCII]
# A line feed ends the line, and what follows it is no field.
NOT_IN_VALUES = [byte for byte in CONTROLS if byte != ord("\t")]
# aiohttp's C parser looks for these names itself.
KNOWN_NAMES = [b"Connection", b"Proxy-Connection", b"Upgrade", b"Content-Length"]
MALFORMED_LINES = [
    *(b"X-O%cdd: a" % byte for byte in NOT_IN_NAMES),
    *(b"%cX-Odd: a" % byte for byte in NOT_IN_NAMES if byte != ord("\n")),
    *(b"X-Odd%c: a" % byte for byte in NOT_IN_NAMES),
    *(name + blanks + b": 4" for name in KNOWN_NAMES for blanks in (b" ", b"  ", b"\t")),
    *(b"X-Odd: a%cb" % byte for byte in NOT_IN_VALUES),
    b"Transfer-Encoding : chunked",
    b": a",
    b"X-Odd",
    b" ",
]
SOUND_LINES = [
    b"!#$%&'*+-.^_`|~0Az: a",
    b"X-Odd:",
    b"X-Odd:a",
    b"X-Odd: \t a : b \t",
    b"X-Odd: caf\xe9",
    b"connection: close",
]

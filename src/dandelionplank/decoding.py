"""Decoding of bytes and text that other programs have written."""

# What a decoder, or the conversion of a decoded value, may raise for input of
# an unexpected form. msgspec's and Unicode's errors are subclasses of
# ValueError; deep nesting is a RecursionError, and a number that does not fit
# the type it is converted to is an OverflowError, an ArithmeticError.
DECODE_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    MemoryError,
    RecursionError,
    TypeError,
    ValueError,
)


def parse_count(text: str, most: int) -> int | None:
    """Parse a count in ASCII digits; a larger one is cut to a limit.

    :param text: digits, with any spaces around them
    :param most: the limit
    :return: None if the text is no count
    """
    digits = text.strip()
    if not (digits.isascii() and digits.isdecimal()):
        return None
    significant = digits.lstrip('0') or '0'
    if len(significant) > len(str(most)):
        return most
    return min(most, int(significant))


def escape_bytes(text: str) -> str:
    """Return a text with escapes in place of bytes that are no UTF-8.

    Headers are decoded so that their bytes can be restored; such a text can be
    encoded neither in a message nor in a log line.
    """
    if text.isascii():
        return text
    encoded = text.encode('utf-8', 'surrogateescape')
    return encoded.decode('utf-8', 'backslashreplace')

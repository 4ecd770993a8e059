"""Errors of decoders, for bytes and text that other programs have written."""

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

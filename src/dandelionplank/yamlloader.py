"""Loads YAML documents whose fields other programs may have filled in."""

import re
from typing import Any

import yaml

MS_PER_SECOND = 1000
# Numbers with an exponent and no sign in it, or no point, which JSON writes and
# YAML 1.1 reads as text.
_FLOAT = re.compile(r'^[-+]?(\.\d+|\d+(\.\d*)?)([eE][-+]?\d+)$')


class DocumentLoader(yaml.SafeLoader):
    """Loads YAML with the numbers of JSON, ``!ms`` and ``!field``."""


def load_document(text: str) -> Any:
    """Load a YAML text.

    An empty field is left out, so that it has its default. A number after
    ``!ms`` is converted from milliseconds to seconds. ``!field`` before a list
    of a name and a table stands for that field of the table, which may be
    missing there.

    :raises yaml.YAMLError: the text is not valid
    :raises ValueError: a value is not valid
    :raises RecursionError: the text nests too deeply
    """
    return _without_empty(yaml.load(text, Loader=DocumentLoader))


def _seconds(loader: yaml.SafeLoader, node: yaml.Node) -> float | None:
    """Convert milliseconds to seconds; an empty value stays empty."""
    found = yaml.load(str(node.value), Loader=DocumentLoader)
    if found is None:
        return None
    if isinstance(found, bool) or not isinstance(found, int | float):
        raise yaml.constructor.ConstructorError(
            None, None, 'milliseconds are a number', node.start_mark
        )
    return found / MS_PER_SECOND


def _field(loader: yaml.SafeLoader, node: yaml.Node) -> Any:
    """Return a field of a table, none if it or the table is missing."""
    found = None
    if isinstance(node, yaml.SequenceNode):
        found = loader.construct_sequence(node, deep=True)
    match found:
        case [str(name), dict(table)]:
            return table.get(name)
        case [str()] | [str(), None]:
            return None
    raise yaml.constructor.ConstructorError(
        None, None, 'a name and a table are expected', node.start_mark
    )


def _without_empty(document: Any) -> Any:
    """Return a document without its empty fields."""
    if isinstance(document, dict):
        return {
            name: _without_empty(field)
            for name, field in document.items()
            if field is not None
        }
    if isinstance(document, list):
        return [_without_empty(entry) for entry in document]
    return document


DocumentLoader.add_implicit_resolver(
    'tag:yaml.org,2002:float', _FLOAT, list('-+.0123456789')
)
DocumentLoader.add_constructor('!ms', _seconds)
DocumentLoader.add_constructor('!field', _field)

"""Formatting of tables as aligned text and as JSON."""

import msgspec

from dandelionplank.operators.statements import Table


def format_table(table: Table) -> str:
    """Return a table as text with aligned columns."""
    rows = [table.columns, *(tuple(map(str, row)) for row in table.rows)]
    widths = [
        max(len(row[index]) for row in rows)
        for index in range(len(table.columns))
    ]
    lines = [_format_row(row, widths) for row in rows]
    lines.insert(1, '  '.join('-' * width for width in widths))
    if table.note:
        lines.append(table.note)
    return '\n'.join(lines)


def format_json(table: Table) -> str:
    """Return a table as a JSON document."""
    document = {
        'rows': [
            dict(zip(table.columns, row, strict=True)) for row in table.rows
        ],
        'note': table.note,
    }
    return msgspec.json.format(msgspec.json.encode(document)).decode()


def _format_row(row: tuple[str, ...], widths: list[int]) -> str:
    """Return a row as one aligned line."""
    cells = [text.ljust(width) for text, width in zip(row, widths, strict=True)]
    return '  '.join(cells).rstrip()

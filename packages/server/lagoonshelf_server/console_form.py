"""Conversion between the configuration document and the fields of the console form.

Field names have the form ``<section>-<row>-<field>``, such as ``teams-0-share``.
"""

import re
from collections.abc import Mapping
from dataclasses import dataclass, field

from lagoonshelf_core.document import FieldError
from lagoonshelf_core.ids import KeyId, TeamId
from lagoonshelf_core.keys import new_key

BLANK_ROWS = 1
FIELD_NAME_PATTERN = re.compile(r"^(teams|keys|queues)-(\d{1,4})-([a-z_]+)$")
SECTIONS: dict[str, tuple[str, ...]] = {
    "teams": ("id", "share", "limit_tasks", "limit_cpu_milli"),
    "queues": (
        "id",
        "work_class",
        "team",
        "max_queued",
        "reserve_slots",
        "finish_by",
        "warm_floor",
        "cold_start_ms",
    ),
    "keys": ("id", "team"),
}
TEXT_FIELDS = frozenset({"work_class", "team", "finish_by"})
STORED_KEY_FIELDS = ("salt", "digest")
DEFAULTS = {
    "teams": {"share": "1"},
    "queues": {"work_class": "normal", "max_queued": "1000"},
    "keys": {},
}


@dataclass(slots=True)
class Row:
    """One row of a section, with the values as typed.

    :param errors: error messages by field
    """

    values: dict[str, str]
    remove: bool = False
    errors: dict[str, str] = field(default_factory=dict)


Form = dict[str, list[Row]]


def document_to_form(document: Mapping[str, Mapping]) -> Form:
    """Return the rows of a document, and blank rows for new entries."""
    form: Form = {}
    for section, fields in SECTIONS.items():
        rows = []
        for name, entry in document[section].items():
            values = {key: _format_value(entry.get(key)) for key in fields}
            values["id"] = name
            if section == "keys":
                values.update({key: entry[key] for key in STORED_KEY_FIELDS})
            rows.append(Row(values))
        form[section] = rows + blank_rows(section)
    return form


def blank_rows(section: str) -> list[Row]:
    """Return blank rows of a section, filled with its defaults."""
    return [
        Row(dict.fromkeys(SECTIONS[section], "") | DEFAULTS[section]) for _ in range(BLANK_ROWS)
    ]


def parse_form(fields: Mapping[str, str]) -> Form:
    """Return the rows of a posted form.

    :param fields: posted values by field name; unknown fields are ignored
    """
    rows: dict[str, dict[int, Row]] = {section: {} for section in SECTIONS}
    for name, value in fields.items():
        match = FIELD_NAME_PATTERN.match(name)
        if match is None:
            continue
        section, number, key = match[1], int(match[2]), match[3]
        row = rows[section].setdefault(number, Row({}))
        if key == "remove":
            row.remove = True
        else:
            row.values[key] = str(value).strip()
    return {section: [found[n] for n in sorted(found)] for section, found in rows.items()}


def form_to_document(form: Form) -> tuple[dict, dict[str, str]]:
    """Return the raw document of a form, and the texts of new keys by id.

    Rows without an id are skipped. Duplicate ids are reported by
    :func:`find_duplicate_ids`.
    """
    document: dict[str, dict] = {section: {} for section in SECTIONS}
    secrets: dict[str, str] = {}
    for section, rows in form.items():
        for row in rows:
            name = row.values.get("id", "")
            if not name or row.remove:
                continue
            document[section][name] = _row_to_entry(section, row)
            if section == "keys" and not row.values.get("digest"):
                text, entry = new_key(KeyId(name), TeamId(row.values.get("team", "")))
                document[section][name] = entry.model_dump() if entry else {}
                secrets[name] = text
    return document, secrets


def find_duplicate_ids(form: Form) -> list[FieldError]:
    """Return an error for each id that occurs in more than one row of a section."""
    errors = []
    for section, rows in form.items():
        names = [row.values.get("id", "") for row in rows if not row.remove]
        duplicates = {name for name in names if name and names.count(name) > 1}
        errors += [
            FieldError((section, name, "id"), "this id stands twice") for name in duplicates
        ]
    return errors


def assign_errors(form: Form, errors: list[FieldError]) -> list[str]:
    """Attach errors to the rows they belong to; return the messages that match no row."""
    rest = []
    for error in errors:
        row = _find_row(form, error.path)
        if row is None:
            rest.append(f"{'.'.join(error.path)}: {error.text}")
            continue
        name = error.path[2] if len(error.path) > 2 else "id"
        row.errors[name if name in row.values else "id"] = error.text
    return rest


def _find_row(form: Form, path: tuple[str, ...]) -> Row | None:
    if len(path) < 2 or path[0] not in form:
        return None
    return next((row for row in form[path[0]] if row.values.get("id") == path[1]), None)


def _row_to_entry(section: str, row: Row) -> dict:
    entry: dict[str, object] = {}
    for key in SECTIONS[section]:
        text = row.values.get(key, "")
        if key == "id" or text == "":
            continue
        entry[key] = text if key in TEXT_FIELDS else _parse_number(text)
    if section == "keys":
        entry.update({key: row.values.get(key, "") for key in STORED_KEY_FIELDS})
    return entry


def _parse_number(text: str) -> object:
    """Return an integer, or the text unchanged so that validation reports it."""
    return int(text) if re.fullmatch(r"-?\d{1,15}", text) else text


def _format_value(value: object) -> str:
    return "" if value is None else str(value)

"""Web console in which operators edit the configuration document."""

import hashlib
import hmac
from collections.abc import Callable
from dataclasses import dataclass, field

import cherrypy
import orjson
from jinja2 import Environment, PackageLoader, select_autoescape

from lagoonshelf_core.document import check_document, create_merge_patch
from lagoonshelf_core.errors import LagoonshelfError, ResultCode
from lagoonshelf_server.bridge import Bridge
from lagoonshelf_server.console_form import (
    SECTIONS,
    Form,
    assign_errors,
    blank_rows,
    document_to_form,
    find_duplicate_ids,
    form_to_document,
    parse_form,
)
from lagoonshelf_server.http_api import ApiBackend

CALL_TIMEOUT_S = 10.0
MAX_FORM_BYTES = 1024 * 1024
REALM = "lagoonshelf console"
CSP = "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'"
SECRET_FIELDS = ("salt", "digest")


@dataclass(slots=True)
class Page:
    """Data for the page template.

    :param base: revision that the form is based on
    :param notices: messages above the form
    :param change: preview of the difference, empty if not computed
    :param secrets: texts of new keys by id, shown once when they are in force
    """

    base: int
    form: Form
    notices: list[str] = field(default_factory=list)
    change: str = ""
    secrets: dict[str, str] = field(default_factory=dict)


class Console:
    """Pages under ``/console``, served on CherryPy's threads."""

    def __init__(self, bridge: Bridge, backend: ApiBackend, token_secret: str) -> None:
        """Create the console.

        :param token_secret: secret from which the form token is derived; the same in all
            processes, so that a form may be posted to another process
        """
        self._bridge = bridge
        self._backend = backend
        self._form_token = hmac.new(token_secret.encode(), b"console", hashlib.sha256).hexdigest()
        loader = PackageLoader("lagoonshelf_server")
        env = Environment(loader=loader, autoescape=select_autoescape(), trim_blocks=True)
        self._template = env.get_template("console.html")

    @cherrypy.expose
    def index(self) -> str:
        """Return the page for the configuration in force."""
        current = self._current_config()
        return self._render(Page(current["revision"], document_to_form(current["document"])))

    @cherrypy.expose
    @cherrypy.tools.allow(methods=["POST"])
    def preview(self, **fields: str) -> str:
        """Return a preview of the change that a form makes, or its errors."""
        self._check_token(fields)
        page, _ = self._build_preview(fields)
        return self._render(page)

    @cherrypy.expose
    @cherrypy.tools.allow(methods=["POST"])
    def apply(self, **fields: str) -> str:
        """Store the document of a form as the next revision."""
        self._check_token(fields)
        page, raw = self._build_preview(fields)
        if raw is None:
            return self._render(page)
        document, secrets = raw
        try:
            revision = self._wait(self._backend.put_config(page.base, document))
        except LagoonshelfError as exc:
            return self._render(self._add_refusal(page, exc))
        current = self._current_config()
        done = Page(revision, document_to_form(current["document"]), secrets=secrets)
        done.notices.append(f"Revision {revision} is accepted.")
        return self._render(done)

    def _build_preview(self, fields: dict[str, str]) -> tuple[Page, tuple[dict, dict] | None]:
        form = parse_form(fields)
        base = fields.get("base", "")
        page = Page(int(base) if base.isdigit() else 0, form)
        document, secrets = form_to_document(form)
        parsed, errors = check_document(document)
        errors += find_duplicate_ids(form)
        page.notices += assign_errors(form, errors)
        self._add_blank_rows(form)
        if errors or parsed is None:
            page.notices.insert(0, "Nothing was changed: the form has errors.")
            return page, None
        current = self._current_config()
        # The form does not show evacuations, and must not end them.
        if "evacuations" in current["document"]:
            document["evacuations"] = current["document"]["evacuations"]
        if page.base != current["revision"]:
            page.notices.append(_conflict_text(page.base, current["revision"]))
        change = create_merge_patch(
            {name: current["document"][name] for name in SECTIONS}, parsed.model_dump()
        )
        page.change = _format_change(change)
        return page, (document, secrets)

    def _add_refusal(self, page: Page, exc: LagoonshelfError) -> Page:
        """Add a fault to the page, with advice on a conflict; all typed values are kept."""
        fault = exc.fault
        page.notices.insert(0, str(fault))
        if fault.code is ResultCode.CONFIG_CONFLICT:
            page.notices.append("Compare the change below, then set the base revision and apply.")
        return page

    def _add_blank_rows(self, form: Form) -> None:
        for section, rows in form.items():
            if not rows or rows[-1].values.get("id"):
                rows += blank_rows(section)

    def _render(self, page: Page) -> str:
        cherrypy.response.headers["Content-Security-Policy"] = CSP
        cherrypy.response.headers["Cache-Control"] = "no-store"
        return self._template.render(page=page, sections=SECTIONS, token=self._form_token)

    def _check_token(self, fields: dict[str, str]) -> None:
        if not hmac.compare_digest(str(fields.pop("token", "")), self._form_token):
            raise cherrypy.HTTPError(403, "the form is not from this console")

    def _current_config(self) -> dict:
        return self._wait(self._backend.get_config())

    def _wait(self, coro: object) -> object:
        return self._bridge.run_on_loop(coro, CALL_TIMEOUT_S)


def mount_console(console: Console, check_operator: Callable[[str | None], None]) -> None:
    """Mount the console behind HTTP basic authentication with the operator key.

    :param check_operator: raises if the operator key is wrong
    """

    def is_operator(realm: str, user: str, password: str) -> bool:
        del realm, user
        try:
            check_operator(password)
        except LagoonshelfError:
            return False
        return True

    settings = {
        "request.body.maxbytes": MAX_FORM_BYTES,
        "tools.auth_basic.on": True,
        "tools.auth_basic.realm": REALM,
        "tools.auth_basic.checkpassword": is_operator,
        "tools.auth_basic.accept_charset": "UTF-8",
        "request.show_tracebacks": False,
    }
    cherrypy.tree.mount(console, "/console", {"/": settings})


def _conflict_text(base: int, current: int) -> str:
    return (
        f"Another operator made revision {current}; this form is based on {base}. "
        "Nothing that you typed is lost."
    )


def _format_change(change: object) -> str:
    """Return a merge patch as text, without the salts and digests of keys."""
    if not change:
        return "no change"
    shown = orjson.loads(orjson.dumps(change))
    for entry in (shown.get("keys") or {}).values():
        for name in SECRET_FIELDS:
            if entry:
                entry.pop(name, None)
    return orjson.dumps(shown, option=orjson.OPT_INDENT_2).decode()

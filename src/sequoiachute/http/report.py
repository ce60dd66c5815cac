"""``GET /v1/report/burn``: the report on service-level burn."""

import falcon

from sequoiachute import clock
from sequoiachute.coordination.entry import Entry
from sequoiachute.http.keys import Keyring
from sequoiachute.report.burn import create_report
from sequoiachute.report.html import format_html
from sequoiachute.report.text import format_text
from sequoiachute.transport.web import problem, write_json


class BurnReportResource:
    """Serves the report as JSON, text or HTML."""

    def __init__(self, entry: Entry, keyring: Keyring) -> None:
        self._entry = entry
        self._keyring = keyring

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        """Answer with the report in the ``format`` asked for."""
        self._keyring.require_operator(request)
        report = create_report(
            self._entry.service_levels.periods,
            self._entry.configuration.catalogue,
            clock.wall_time(),
        )
        wanted = request.get_param("format", default="json")
        if wanted == "json":
            write_json(response, report)
        elif wanted == "text":
            response.content_type = falcon.MEDIA_TEXT
            response.text = format_text(report)
        elif wanted == "html":
            response.content_type = falcon.MEDIA_HTML
            response.text = format_html(report)
        else:
            remedy = "ask for json, text or html"
            raise problem(400, f"format {wanted!r} is not known", remedy)

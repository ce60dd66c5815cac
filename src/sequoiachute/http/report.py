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
        """Return the report in the requested ``format``."""
        self._keyring.require_operator(request)
        report = create_report(
            self._entry.service_levels.periods,
            self._entry.configuration.catalogue,
            clock.wall_time(),
        )
        report_format = request.get_param("format", default="json")
        if report_format == "json":
            write_json(response, report)
        elif report_format == "text":
            response.content_type = falcon.MEDIA_TEXT
            response.text = format_text(report)
        elif report_format == "html":
            response.content_type = falcon.MEDIA_HTML
            response.text = format_html(report)
        else:
            remedy = "request json, text or html"
            raise problem(400, f"format {report_format!r} is not supported", remedy)

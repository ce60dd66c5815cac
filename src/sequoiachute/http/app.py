"""Routes and WSGI application of an entry instance."""

from collections.abc import Callable
from typing import Any

from sequoiachute.coordination.entry import Entry
from sequoiachute.http.context import RequestMiddleware, with_request_id
from sequoiachute.http.description import DescriptionResource
from sequoiachute.http.health import LivenessResource, ReadinessResource
from sequoiachute.http.jobs import JobResource, JobsResource
from sequoiachute.http.keys import Keyring
from sequoiachute.http.metrics import MetricsResource, create_entry_metrics
from sequoiachute.http.operators import CatalogueResource, DataCentreResource
from sequoiachute.http.report import BurnReportResource
from sequoiachute.http.requests import RequestsResource
from sequoiachute.http.workers import WorkersResource
from sequoiachute.state.metrics import Metrics
from sequoiachute.transport.web import create_app


def create_routes(entry: Entry, metrics: Metrics) -> dict[str, Any]:
    """Return the resources that serve ``entry``, keyed by path template."""
    keyring = Keyring(entry.settings.keys)
    return {
        "/livez": LivenessResource(),
        "/readyz": ReadinessResource(entry),
        "/metrics": MetricsResource(metrics),
        "/openapi.json": DescriptionResource(),
        "/v1/requests": RequestsResource(entry, keyring),
        "/v1/jobs": JobsResource(entry, keyring),
        "/v1/jobs/{job_id}": JobResource(entry, keyring),
        "/v1/report/burn": BurnReportResource(entry, keyring),
        "/v1/workers": WorkersResource(entry, keyring),
        "/v1/catalogue": CatalogueResource(entry, keyring),
        "/v1/data-centres/{data_centre}/drain": DataCentreResource(
            entry, keyring, in_service=False
        ),
        "/v1/data-centres/{data_centre}/restore": DataCentreResource(
            entry, keyring, in_service=True
        ),
    }


def create_entry_app(entry: Entry) -> Callable[..., Any]:
    """Return the WSGI application of ``entry``."""
    metrics = create_entry_metrics(entry)
    app = create_app(create_routes(entry, metrics), RequestMiddleware(metrics))
    return with_request_id(app)

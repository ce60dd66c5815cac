"""The routes of an entry instance."""

import falcon

from sequoiachute.coordination.entry import Entry
from sequoiachute.http.health import LivenessResource, ReadinessResource
from sequoiachute.http.jobs import JobResource, JobsResource
from sequoiachute.http.keys import Keyring
from sequoiachute.http.operators import CatalogueResource, DataCentreResource
from sequoiachute.http.report import BurnReportResource
from sequoiachute.http.requests import RequestsResource
from sequoiachute.transport.web import create_app


def create_entry_app(entry: Entry) -> falcon.App:
    """Return the WSGI application of ``entry``."""
    keyring = Keyring(entry.settings.keys)
    return create_app(
        {
            "/livez": LivenessResource(),
            "/readyz": ReadinessResource(entry),
            "/v1/requests": RequestsResource(entry, keyring),
            "/v1/jobs": JobsResource(entry, keyring),
            "/v1/jobs/{job_id}": JobResource(entry, keyring),
            "/v1/report/burn": BurnReportResource(entry, keyring),
            "/v1/catalogue": CatalogueResource(entry, keyring),
            "/v1/data-centres/{data_centre}/drain": DataCentreResource(
                entry, keyring, in_service=False
            ),
            "/v1/data-centres/{data_centre}/restore": DataCentreResource(
                entry, keyring, in_service=True
            ),
        }
    )

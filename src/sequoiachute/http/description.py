"""``/openapi.json``: the OpenAPI description of the HTTP interface."""

from importlib.resources import files

import falcon

OPENAPI_FILE_NAME = "openapi.json"


def read_description() -> bytes:
    """Return the OpenAPI description that ships with the package."""
    return files("sequoiachute").joinpath(OPENAPI_FILE_NAME).read_bytes()


class DescriptionResource:
    """Serves the OpenAPI description."""

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        """Return the description as JSON."""
        response.content_type = falcon.MEDIA_JSON
        response.data = read_description()
